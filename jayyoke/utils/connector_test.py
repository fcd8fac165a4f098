"""Tests of a client's connections to servers that send without end."""

from __future__ import annotations

import asyncio
import contextlib

import aiohttp
import pytest

from jayyoke.utils.connector import BoundedConnector, BoundedHandler, read_limited

INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n" * 1000
ANSWERS = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n" * 1000
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def run_client(blocks: list[bytes], test) -> None:
    """Run a test with a session and the address of a server that repeats the last block."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
            for block in blocks:
                writer.write(block)
            while blocks[-1]:
                writer.write(blocks[-1])
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def main() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with server, aiohttp.ClientSession(connector=BoundedConnector(limit=0)) as http:
            async with asyncio.timeout(20):
                await test(http, f"http://127.0.0.1:{port}/")

    asyncio.run(main())


class TestBoundedHandler:
    """Tests what a connection keeps."""

    def test_connections_are_bounded(self):
        """Guards against an update of aiohttp that makes its own handler of connections again."""

        async def main() -> None:
            async with BoundedConnector() as connector:
                assert isinstance(connector._factory(), BoundedHandler)

        asyncio.run(main())

    def test_interim_answers_without_end_are_broken_off(self):
        """Guards against a client that reads interim answers until its deadline."""

        async def test(http: aiohttp.ClientSession, url: str) -> None:
            with pytest.raises(aiohttp.ClientError):
                await http.get(url)

        run_client([INTERIM], test)

    def test_own_answer_before_others_is_read(self):
        """Guards against an answer that is lost for what follows it."""

        async def test(http: aiohttp.ClientSession, url: str) -> None:
            async with http.get(url) as answer:
                assert await answer.read() == b"ok"

        run_client([b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", b""], test)

    def test_answers_to_no_request_close_the_connection(self):
        """Guards against thousands of answers that are kept for the next request."""

        async def main() -> None:
            ports = set()

            async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
                ports.add(writer.get_extra_info("peername")[1])
                try:
                    while await reader.readuntil(b"\r\n\r\n"):
                        writer.write(ANSWERS)
                        await writer.drain()
                except (ConnectionError, asyncio.IncompleteReadError):
                    pass
                finally:
                    writer.close()

            server = await asyncio.start_server(serve, "127.0.0.1", 0)
            port = server.sockets[0].getsockname()[1]
            async with server, aiohttp.ClientSession(connector=BoundedConnector()) as http:
                for _ in range(3):
                    with contextlib.suppress(aiohttp.ClientError):
                        async with http.get(f"http://127.0.0.1:{port}/") as answer:
                            await answer.read()
            assert len(ports) == 3

        asyncio.run(main())


class TestReadLimited:
    """Tests reading of bodies."""

    def test_body_without_end_is_broken_off(self):
        """Guards against a body without a length that fills the memory."""

        async def test(http: aiohttp.ClientSession, url: str) -> None:
            async with http.get(url) as answer:
                with pytest.raises(aiohttp.ClientPayloadError):
                    await read_limited(answer, 100_000)

        run_client([CHUNKED, b"4000\r\n" + b"x" * 0x4000 + b"\r\n"], test)

    def test_body_within_the_limit_is_returned(self):
        async def test(http: aiohttp.ClientSession, url: str) -> None:
            async with http.get(url) as answer:
                assert await read_limited(answer, 5) == b"hello"

        run_client([CHUNKED, b"5\r\nhello\r\n0\r\n\r\n", b""], test)
