"""Tests of tables that an instance fetches from another one over a narrow link."""

from __future__ import annotations

import asyncio
import random

import aiohttp
import pytest
from aiohttp import web

from jayyoke.core.error import PeerUnavailable
from jayyoke.edge.loadexchange import LoadExchange
from jayyoke.edge.relay import RELAY_PATH, TRANSFER_TIMEOUT_S, RelayClient, RelayServer
from jayyoke.edge.view import FleetView
from jayyoke.platform import names
from jayyoke.platform.table import Row
from jayyoke.server.listener import Listener
from standin.port import find_free_address

# Incompressible row of the size of the grown deployments' configuration; their narrowest link.
LARGE_ROW = Row(names.CONFIG_KEY, random.Random(1).randbytes(512 << 10), 3)
NARROW_LINK_BYTES_PER_S = 5_000_000 / 8
STEP_S = 0.05


def fetch_slowly(stops_after_bytes: int | None) -> list:
    """Return the tables that a client gets over a narrow link, which may go silent."""

    async def run() -> list:
        view = FleetView(lambda: 10.0)
        view.tables[names.OPERATOR_TABLE].apply_snapshot([LARGE_ROW], 3)
        relay = RelayServer(view, LoadExchange(lambda: 10.0, lambda load: None))
        stopped = asyncio.Event()

        async def answer(request: web.Request) -> web.StreamResponse:
            raw = await relay.answer(await request.read())
            response = web.StreamResponse(headers={"Content-Length": str(len(raw))})
            await response.prepare(request)
            step = int(NARROW_LINK_BYTES_PER_S * STEP_S)
            for start in range(0, len(raw), step):
                if stops_after_bytes is not None and start >= stops_after_bytes:
                    await stopped.wait()
                await response.write(raw[start : start + step])
                await asyncio.sleep(STEP_S)
            return response

        app = web.Application()
        app.router.add_post(RELAY_PATH, answer)
        listener = Listener(app)
        address = find_free_address()
        await listener.start(address)
        try:
            async with aiohttp.ClientSession() as http, asyncio.timeout(2 * TRANSFER_TIMEOUT_S):
                return (await RelayClient(http, lambda: 10.0).fetch(address, {})).tables
        finally:
            stopped.set()
            await listener.close()

    return asyncio.run(run())


class TestNarrowLink:
    def test_answer_that_takes_longer_than_a_call_is_awaited(self):
        """Guards against an instance that gets no large configuration while the store is down."""
        tables = {table.name: table for table in fetch_slowly(None)}
        assert tables[names.OPERATOR_TABLE].rows == (LARGE_ROW,)

    def test_silence_within_an_answer_ends_a_call(self):
        """Guards against waiting without end for a peer that has gone silent."""
        with pytest.raises(PeerUnavailable):
            fetch_slowly(len(LARGE_ROW.value) // 2)
