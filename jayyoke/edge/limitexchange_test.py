"""Tests of the limits that instances tell each other."""

from __future__ import annotations

import asyncio

import pytest
from thrift.TSerialization import deserialize, serialize

from jayyoke.core.clock import ManualClock
from jayyoke.core.error import PeerProtocolError, PeerUnavailable
from jayyoke.edge.limitexchange import LimitExchange, decode_limits, encode_limits
from jayyoke.edge.loadexchange import MAX_SHARED, LoadExchange, ReportedLoad
from jayyoke.edge.relay import MAX_REQUEST_BYTES, RelayServer
from jayyoke.edge.relaymessage import decode_peer_answer, encode_fetch_request
from jayyoke.edge.view import TABLES, FleetView
from jayyoke.ops.requestlimit import LimitReport, RequestLimits
from jayyoke.wire.gen.ttypes import FetchedTables, FetchTables, HeardLimits


def build_limits(clock: ManualClock) -> RequestLimits:
    return RequestLimits("i0", lambda: ["i0", "i1"], clock.now_s, clock.now_s)


def build_server(clock: ManualClock, limits: RequestLimits) -> RelayServer:
    loads = LoadExchange(clock.now_s, lambda load: None)
    return RelayServer(FleetView(clock.now_s), loads, LimitExchange(limits))


class TestMessages:
    """Tests the reports as they are sent."""

    def test_reports_come_as_they_were_sent(self):
        """Guards against a limit, its end or its time that changes on the way."""
        reports = [
            LimitReport("a", 4.5, 99.0),
            LimitReport("b", None, 98.0),
            LimitReport("c", 0.0, 100.0),
        ]
        assert decode_limits(encode_limits(reports, 100.0), 100.0) == reports
        assert encode_limits([], 100.0) is None

    @pytest.mark.parametrize("limit_per_s", [float("nan"), float("inf"), -2.0, 1e16])
    def test_impossible_limit_is_left_out(self, limit_per_s):
        """Guards against a peer's value that no upstream can have named."""
        assert decode_limits(HeardLimits(["a"], [limit_per_s], [0]), 100.0) == []

    @pytest.mark.parametrize("age_ms", [-1, 2_000_000_000])
    def test_impossible_age_is_left_out(self, age_ms):
        """Guards against a report of the future that no later one can replace."""
        assert decode_limits(HeardLimits(["a"], [1.0], [age_ms]), 100.0) == []

    def test_broken_lists_are_refused(self):
        """Guards against an instance that ends at a message that is broken."""
        clock = ManualClock(100.0)
        broken = HeardLimits(["a", "b"], [1.0], [0, 0])
        server = build_server(clock, build_limits(clock))
        with pytest.raises(PeerProtocolError):
            asyncio.run(server.answer(serialize(FetchTables(known={}, limits=broken))))
        with pytest.raises(PeerUnavailable):
            decode_peer_answer("peer", serialize(FetchedTables(tables=[], limits=broken)), 100.0)


class TestExchange:
    """Tests reports on their way between two instances."""

    @pytest.mark.parametrize("wait_s", [0.0, 0.01])
    def test_both_sides_learn(self, wait_s):
        """Guards against news that goes one way only."""
        clock = ManualClock(100.0)
        asking, answering = build_limits(clock), build_limits(clock)
        asking.record("a", 4.0)
        answering.record("b", 5.0)
        request = encode_fetch_request({}, wait_s, (), 100.0, asking.list_reports())
        body = asyncio.run(build_server(clock, answering).answer(request))
        LimitExchange(asking).merge(decode_peer_answer("peer", body, 100.0).limits)
        for limits in (asking, answering):
            assert (limits.find_limit("a"), limits.find_limit("b")) == (4.0, 5.0)

    def test_instances_of_an_older_release_are_understood(self):
        """Guards against a roll-out during which instances do not exchange rows."""
        clock = ManualClock(100.0)
        limits = build_limits(clock)
        limits.record("a", 4.0)
        server = build_server(clock, limits)
        answer = deserialize(
            FetchedTables(), asyncio.run(server.answer(serialize(FetchTables(known={}))))
        )
        assert answer.limits is not None
        assert decode_peer_answer("peer", serialize(FetchedTables(tables=[])), 100.0).limits == []

    def test_old_reports_are_left_out(self):
        """Guards against an age that no message can hold, which would fail every exchange."""
        clock = ManualClock(100.0)
        limits = build_limits(clock)
        limits.record("a", 4.0)
        clock.advance(40 * 86400.0)
        assert encode_limits(limits.list_reports(), clock.now_s()) is None

    def test_message_fits_beside_the_loads(self):
        """Guards against requests that a peer refuses for their size."""
        clock = ManualClock(100.0)
        limits = build_limits(clock)
        names = [f"i-{number:016x}@1791239600012" for number in range(500)]
        for name in names:
            limits.record(name, 4.0)
        loads = [ReportedLoad(name, 9, 100.0, own=True) for name in names[:MAX_SHARED]]
        known = dict.fromkeys(TABLES, 1000000)
        request = encode_fetch_request(known, 0.4, loads, 100.0, limits.list_reports())
        assert len(request) < MAX_REQUEST_BYTES
