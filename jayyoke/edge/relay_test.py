"""Tests of relaying tables between instances."""

from __future__ import annotations

import asyncio
import json
import random
import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st
from thrift.TSerialization import serialize

from jayyoke.core.error import PeerProtocolError, PeerUnavailable
from jayyoke.edge import relay
from jayyoke.edge.loadexchange import LoadExchange, ReportedLoad
from jayyoke.edge.relay import RelayServer
from jayyoke.edge.relaymessage import MAX_ROW_BYTES, RelayedTable, decode_peer_answer
from jayyoke.edge.view import FleetView
from jayyoke.platform.table import Row
from jayyoke.wire.gen import ttypes
from jayyoke.wire.gen.ttypes import FetchTables, RelayedRow


def ignore(load: ReportedLoad) -> None:
    """Do nothing with a load."""


def read_tables(body: bytes) -> dict[str, RelayedTable]:
    return {table.name: table for table in decode_peer_answer("peer", body, 10.0).tables}


def build_view() -> FleetView:
    view = FleetView(lambda: 10.0)
    view.merge("servers", (Row("u", b"{", 4),), (), 4, whole=True, confirmed_s=9.5, source="store")
    return view


def ask(view: FleetView, known: dict[str, int]) -> bytes:
    return asyncio.run(
        RelayServer(view, LoadExchange(lambda: 10.0, ignore)).answer(
            serialize(FetchTables(known=known))
        )
    )


class TestRelay:
    def test_newer_rows_are_sent_with_their_age(self):
        body = ask(build_view(), {"servers": 2})
        tables = read_tables(body)
        assert tables["servers"].rows == (Row("u", b"{", 4),)
        assert tables["servers"].age_s == 0.5
        assert tables["op"].revision == -1

    def test_known_rows_are_left_out(self):
        body = ask(build_view(), {"servers": 4})
        tables = read_tables(body)
        assert tables["servers"].rows is None

    @given(st.binary(max_size=200))
    def test_garbage_is_an_error_and_nothing_else(self, data):
        """Guards against a peer whose bytes crash the process."""
        try:
            asyncio.run(RelayServer(build_view(), LoadExchange(lambda: 10.0, ignore)).answer(data))
        except PeerProtocolError:
            pass
        try:
            decode_peer_answer("peer", data, 10.0)
        except PeerUnavailable:
            pass

    def test_truncated_answer_is_an_error(self):
        body = ask(build_view(), {})
        with pytest.raises(PeerUnavailable):
            decode_peer_answer("peer", body[:-9], 10.0)

    def test_only_changes_are_sent_and_removals_too(self):
        """Guards against whole tables on small links whenever one row changes."""
        view = build_view()
        rows, removed = (Row("v", b"{", 6),), (Row("u", b"", 7),)
        view.merge("servers", rows, removed, 7, whole=False, confirmed_s=9.9, source="store")
        tables = read_tables(ask(view, {"servers": 4}))
        found = tables["servers"]
        assert (found.rows, found.removed, found.whole) == (rows, removed, False)

    def test_asker_older_than_the_known_removals_gets_the_table(self):
        """Guards against a row that stays with a peer because its removal was forgotten."""
        tables = read_tables(ask(build_view(), {"servers": 1}))
        assert tables["servers"].whole

    def test_large_rows_are_compressed(self):
        """Guards against a change that takes seconds to instances with narrow links."""
        routes = [{"name": f"r-{n:x}", "prefix": f"/p{n * 7919:x}/"} for n in range(6000)]
        large = Row("config", json.dumps({"routes": routes}).encode(), 6)
        view = build_view()
        view.merge("op", (large,), (), 6, whole=True, confirmed_s=9.9, source="store")
        body = ask(view, {"servers": 4})
        assert len(body) < len(large.value) / 4
        assert read_tables(body)["op"].rows == (large,)

    def test_large_row_is_compressed_once_for_all_peers(self, monkeypatch):
        """Guards against 14 peers that each cost a follower the time of a compression."""
        packed = []
        compress = relay.zlib.compress
        monkeypatch.setattr(
            relay.zlib, "compress", lambda *args: packed.append(1) or compress(*args)
        )
        view = build_view()
        server = RelayServer(view, LoadExchange(lambda: 10.0, ignore))
        for revision in (6, 7):
            large = Row("config", b"x" * 300_000, revision)
            view.merge("op", (large,), (), revision, whole=True, confirmed_s=9.9, source="store")
            for _ in range(3):
                asyncio.run(server.answer(serialize(FetchTables(known={}))))
        assert len(packed) == 2

    @pytest.mark.parametrize("size", [MAX_ROW_BYTES + 1, 40 * MAX_ROW_BYTES])
    def test_row_that_decompresses_to_too_much_is_an_error(self, size):
        """Guards against a peer whose few bytes fill the memory."""
        row = RelayedRow("config", zlib.compress(bytes(size)), 6, packed=True)
        table = ttypes.RelayedTable("op", 6, 0, rows=[row])
        with pytest.raises(PeerUnavailable):
            decode_peer_answer("peer", serialize(ttypes.FetchedTables([table])), 10.0)

    def test_waiting_peer_is_answered_at_once(self):
        """Guards against changes that wait for the end of a long poll."""

        async def test() -> None:
            view = build_view()
            server = RelayServer(view, LoadExchange(lambda: 10.0, ignore))
            request = FetchTables(known={"servers": 4}, wait_ms=5000)
            waiting = asyncio.create_task(server.answer(serialize(request)))
            await asyncio.sleep(0)
            view.merge(
                "servers", (Row("v", b"{", 6),), (), 6, whole=False, confirmed_s=9.9, source="store"
            )
            tables = read_tables(await waiting)
            assert tables["servers"].rows == (Row("v", b"{", 6),)

        asyncio.run(test())


class TestDamagedAnswer:
    """Tests peers' answers that are damaged but can still be parsed."""

    def build_answer(self) -> bytes:
        view = build_view()
        entry = json.dumps({"backend": "p", "address": "10.0.0.1:80", "az": "a", "state": "ready"})
        rows = [Row(f"u{number}", entry.encode(), 5 + number) for number in range(3)]
        removed = [Row("gone", b"", 9)]
        view.merge("servers", rows, removed, 9, whole=False, confirmed_s=9.6, source="store")
        return ask(view, {})

    def damage(self, body: bytes, source: random.Random) -> bytes:
        found = bytearray(body)
        for _ in range(source.randrange(1, 5)):
            at = source.randrange(len(found))
            match source.randrange(3):
                case 0:
                    found[at] = source.randrange(256)
                case 1:
                    del found[at : at + source.randrange(1, 20)]
                case 2:
                    found[at:at] = source.randbytes(source.randrange(1, 9))
        return bytes(found)

    def test_is_rejected_or_can_be_merged(self):
        """Guards against a field that thrift leaves unset, which ended the task that merges.

        2000 damaged answers, seed 1.
        """
        source = random.Random(1)
        body = self.build_answer()
        merged = 0
        for _ in range(2000):
            try:
                tables = decode_peer_answer("peer", self.damage(body, source), 10.0).tables
            except PeerUnavailable:
                continue
            view = build_view()
            for table in tables:
                if table.name not in view.tables or table.revision < 0 or table.rows is None:
                    continue
                view.merge(
                    table.name,
                    table.rows,
                    table.removed,
                    table.revision,
                    whole=table.whole,
                    confirmed_s=10.0 - table.age_s,
                    source="peer",
                )
                merged += 1
            ask(view, {})
        assert merged > 100
