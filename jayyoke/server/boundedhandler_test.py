"""Tests what is counted of a client's input."""

from __future__ import annotations

import asyncio
import zlib
from contextlib import asynccontextmanager

from aiohttp import web

from jayyoke.server.boundedhandler import DECODER_BYTES
from jayyoke.server.inputguard import InputGuard, build_guard
from jayyoke.server.listener import Listener

HEAD = b"POST / HTTP/1.1\r\nHost: a\r\n"
BODY_BYTES = 8000
BODY = b"Content-Length: %d\r\n\r\n" % BODY_BYTES + b"b" * BODY_BYTES
BEHIND = 5


@asynccontextmanager
async def open_connection(**options: bool):
    """Yield the guard and a connection to a listener whose handler reads, then does not answer."""

    async def handle(request: web.Request) -> web.Response:
        await request.read()
        await asyncio.sleep(60.0)
        return web.Response()

    app = web.Application(client_max_size=1 << 20)
    app.router.add_post("/", handle)
    guard = build_guard()
    listener = Listener(app, guard=guard, **options)
    await listener.start("127.0.0.1:0")
    _, writer = await asyncio.open_connection("127.0.0.1", listener.port)
    try:
        yield guard, writer
    finally:
        writer.close()
        await listener.close(0.1)


async def wait_until_held(guard: InputGuard, size: int) -> None:
    """Wait until at least this much is counted; raise TimeoutError."""
    async with asyncio.timeout(10):
        while guard.budget.total_bytes < size:
            await asyncio.sleep(0.01)


class TestHeldInput:
    """Tests the memory that the input of one client takes."""

    def test_bodies_of_waiting_requests_count(self):
        """Guards against pipelined bodies behind a request that takes long."""

        async def main() -> None:
            async with open_connection() as (guard, writer):
                writer.write((HEAD + BODY) * (1 + BEHIND))
                await wait_until_held(guard, BEHIND * BODY_BYTES)

        asyncio.run(main())

    def test_body_that_a_handler_has_read_counts(self):
        """Guards against whole bodies at ports whose applications do not bound them."""

        async def main() -> None:
            async with open_connection() as (guard, writer):
                writer.write(HEAD + BODY)
                await wait_until_held(guard, BODY_BYTES)
                await asyncio.sleep(0.1)
                assert guard.budget.total_bytes > BODY_BYTES

        asyncio.run(main())

    def test_decoder_counts(self):
        """Guards against compressed bodies that begin and do not end."""

        async def main() -> None:
            async with open_connection() as (guard, writer):
                writer.write(
                    HEAD + b"Content-Encoding: deflate\r\nContent-Length: 9\r\n\r\n\x78\x9c"
                )
                await wait_until_held(guard, DECODER_BYTES)

        asyncio.run(main())

    def test_body_is_not_decoded_where_that_is_off(self):
        """Guards against a little input that becomes much at ports that need no compression."""

        async def main() -> None:
            packed = zlib.compress(bytes(100_000))
            length = b"Content-Length: %d\r\n\r\n" % len(packed)
            async with open_connection(decompresses=False) as (guard, writer):
                writer.write(HEAD + b"Content-Encoding: deflate\r\n" + length + packed)
                await wait_until_held(guard, len(packed))
                await asyncio.sleep(0.1)
                assert guard.budget.total_bytes < 50_000

        asyncio.run(main())
