"""Tests of the sums of loads that followers tell the holder of the duties."""

from __future__ import annotations

import pytest
from thrift.TSerialization import deserialize, serialize

from jayyoke.core.error import PeerProtocolError
from jayyoke.duties.scaling import DomainLoad, choose_load
from jayyoke.edge.loadsummary import LoadSummary, decode_loads, encode_loads
from jayyoke.wire.gen import ttypes

LOADS = {"desk": DomainLoad(4, 32, 20.25, 0.75), "engines": DomainLoad(1, 8, 0.0, 0.0)}


class TestMessage:
    def test_loads_survive_their_transfer(self):
        """Guards against orders on loads of another service or in other units."""
        raw = serialize(encode_loads(LOADS))
        assert decode_loads(deserialize(ttypes.DomainLoads(), raw)) == LOADS

    def test_disturbance_is_told(self):
        """Guards against orders down while a follower sees a domain fail."""
        loads = {"desk": DomainLoad(4, 32, 20.0, 1.0, disturbed=True)}
        assert decode_loads(encode_loads(loads))["desk"].disturbed

    @pytest.mark.parametrize(
        "columns", [([0], [8], [1], [0]), ([4], [-1], [1], [0]), ([4], [8], [1], [5]), ([],) * 4]
    )
    def test_loads_that_cannot_be_are_left_out(self, columns):
        """Guards against orders on a malformed message."""
        assert decode_loads(ttypes.DomainLoads(["desk"], *columns)) == {}
        assert decode_loads(ttypes.DomainLoads()) == {}

    def test_unreadable_query_is_reported(self):
        """Guards against a process that ends on a malformed message."""
        summary = LoadSummary(None, None, lambda: 0.0)
        for raw in (b"", serialize(ttypes.LoadQuery())):
            with pytest.raises(PeerProtocolError):
                summary.answer(raw)


class TestChoice:
    def test_view_with_more_fresh_loads_counts(self):
        """Guards against orders by a holder that hears little of another domain."""
        own, heard = DomainLoad(4, 32, 1.0, 0.25), DomainLoad(4, 32, 30.0, 1.0)
        assert choose_load(own, heard) == heard
        assert choose_load(heard, own) == heard
        assert choose_load(own, None) == own

    def test_either_view_may_tell_of_a_disturbance(self):
        """Guards against orders down since the holder reaches a domain that others do not."""
        own, heard = DomainLoad(4, 32, 1.0, 0.25, disturbed=True), DomainLoad(4, 32, 30.0, 1.0)
        assert choose_load(own, heard).disturbed
