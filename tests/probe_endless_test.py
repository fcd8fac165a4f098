"""Tests of probes and orders of `jayyoked` before engines whose bodies have no end."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from jayyoke.core.upstream import Upstream
from jayyoke.ops.orders import MAX_STATE_BYTES, read_engine_state
from jayyoke.utils.connector import BoundedConnector

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
STARTS = {
    "chunks": HEAD + b"Transfer-Encoding: chunked\r\n\r\n",
    "no-length": HEAD + b"\r\n",
}
# What the kernel's buffers may hold beyond what was read.
BUFFERED_BYTES = 16 << 20


class TestEngineState:
    """Tests reading the state that an engine reports."""

    @pytest.mark.parametrize("name", STARTS)
    def test_body_without_end_is_not_kept(self, name):
        """Guards against an instance whose probe fills its memory until the timeout."""
        sent = 0

        async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            nonlocal sent
            try:
                await reader.readuntil(b"\r\n\r\n")
                writer.write(STARTS[name])
                while True:
                    writer.write(b"4000\r\n" + b"1" * 0x4000 + b"\r\n")
                    await writer.drain()
                    sent += 0x4000
            except ConnectionError:
                pass
            finally:
                writer.close()

        async def main() -> None:
            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            upstream = Upstream("one", "pool", "a", f"127.0.0.1:{port}")
            async with server, aiohttp.ClientSession(connector=BoundedConnector()) as http:
                assert await read_engine_state(http, upstream) is None

        asyncio.run(main())
        assert sent <= MAX_STATE_BYTES + BUFFERED_BYTES
