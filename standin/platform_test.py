"""Tests of the platform clients against the stand-ins."""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from jayyoke.core.error import Conflict, Effect, StoreUnavailable
from jayyoke.platform.objects import Objects
from jayyoke.platform.table import Put, Table
from standin.objects import ObjectServer
from standin.table import TableServer


@asynccontextmanager
async def serve(server, client):
    server.faults.writes_per_s = server.faults.reads_per_s = 0
    async with TestServer(server.build()) as http, aiohttp.ClientSession() as session:
        yield client(session, str(http.make_url("")).rstrip("/"))


class TestTable:
    def test_answers_name_the_effect_of_a_write(self):
        """Guards against a write reported as without effect after a lost or malformed answer."""

        async def run() -> None:
            server = TableServer()
            async with serve(server, Table) as table:
                for fault in ("lose_answers", "malformed"):
                    setattr(server.faults, fault, 1)
                    with pytest.raises(StoreUnavailable) as caught:
                        await table.commit([Put(fault, b"1", 0)])
                    assert caught.value.effect is Effect.UNKNOWN
                    assert (await table.get(fault)).value == b"1"
                server.faults.down = True
                with pytest.raises(StoreUnavailable) as caught:
                    await table.commit([Put("down", b"1", 0)])
                assert caught.value.effect is Effect.NONE
                assert "down" not in server.rows

        asyncio.run(run())

    def test_conflict_writes_nothing(self):
        """Guards against a commit that applies some of its puts."""

        async def run() -> None:
            server = TableServer()
            async with serve(server, Table) as table:
                await table.commit([Put("a", b"1", 0)])
                with pytest.raises(Conflict) as caught:
                    await table.commit([Put("b", b"2", 0), Put("a", b"2", 0)])
                assert caught.value.indexes == (1,)
                assert set(server.rows) == {"a"}

        asyncio.run(run())

    def test_malformed_rows_and_rate_limits_raise(self):
        """Guards against a crash on rows that lack fields, and against a missing rate limit."""

        async def run() -> None:
            server = TableServer()
            async with serve(server, Table) as table:
                for read in (table.get, table.scan):
                    server.faults.malformed = 1
                    with pytest.raises(StoreUnavailable):
                        await read("a")
                server.faults.reads_per_s = 0.001
                with pytest.raises(StoreUnavailable, match="429"):
                    await table.get("a")

        asyncio.run(run())


class TestObjects:
    def test_answers_name_the_effect_of_a_write(self):
        """Guards against a write that is reported done after the object store's answer was lost."""

        async def run() -> None:
            server = ObjectServer()
            async with serve(server, Objects) as objects:
                assert await objects.get("a/b") is None
                server.faults.lose_answers = 1
                with pytest.raises(StoreUnavailable) as caught:
                    await objects.put("a/b", b"1")
                assert caught.value.effect is Effect.UNKNOWN
                assert await objects.get("a/b") == b"1"
                server.faults.down = True
                with pytest.raises(StoreUnavailable):
                    await objects.get("a/b")

        asyncio.run(run())

    def test_large_answers_are_refused(self, monkeypatch):
        """Guards against an answer that exhausts an instance's memory."""

        async def run() -> None:
            monkeypatch.setattr("jayyoke.platform.objects.MAX_OBJECT_BYTES", 10)
            server = ObjectServer()
            server.objects["big"] = b"x" * 11
            async with serve(server, Objects) as objects:
                with pytest.raises(StoreUnavailable, match="exceeds"):
                    await objects.get("big")

        asyncio.run(run())
