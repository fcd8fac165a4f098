"""Tests of the tables that instances pass to each other."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st
from thrift.TSerialization import serialize

from jayyoke.core.error import PeerProtocolError, PeerUnavailable
from jayyoke.edge.relay import answer_question, decode_tables
from jayyoke.edge.view import FleetView
from jayyoke.platform.table import Row
from jayyoke.wire.gen.ttypes import FetchTables


def build_view() -> FleetView:
    view = FleetView(lambda: 10.0)
    view.take("servers", (Row("u", b"{", 4),), (), 4, whole=True, confirmed_s=9.5, source="store")
    return view


class TestRelay:
    def test_newer_rows_are_sent_with_their_age(self):
        body = answer_question(build_view(), serialize(FetchTables(known={"servers": 2})))
        tables = {table.name: table for table in decode_tables("peer", body)}
        assert tables["servers"].rows == (Row("u", b"{", 4),)
        assert tables["servers"].age_s == 0.5
        assert tables["op"].revision == -1

    def test_known_rows_are_left_out(self):
        body = answer_question(build_view(), serialize(FetchTables(known={"servers": 4})))
        tables = {table.name: table for table in decode_tables("peer", body)}
        assert tables["servers"].rows is None

    @given(st.binary(max_size=200))
    def test_garbage_is_an_error_and_nothing_else(self, data):
        """Guards against a peer whose bytes end the process."""
        try:
            answer_question(build_view(), data)
        except PeerProtocolError:
            pass
        try:
            decode_tables("peer", data)
        except PeerUnavailable:
            pass

    def test_truncated_answer_is_an_error(self):
        body = answer_question(build_view(), serialize(FetchTables(known={})))
        with pytest.raises(PeerUnavailable):
            decode_tables("peer", body[:-9])
