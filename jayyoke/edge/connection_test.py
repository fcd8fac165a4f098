"""Tests the sending of requests to upstreams."""

from __future__ import annotations

import asyncio
import socket

from jayyoke.edge.connection import SENT_BYTES, UpstreamConnection

BODY = bytes(range(256)) * (4 << 12)


async def open_pair() -> tuple[UpstreamConnection, socket.socket]:
    """Return a connection and the upstream's end; the system keeps little of what is sent."""
    listening = socket.create_server(("127.0.0.1", 0))
    listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
    loop = asyncio.get_running_loop()
    _, connection = await loop.create_connection(
        lambda: UpstreamConnection(loop), *listening.getsockname()
    )
    opened = connection.transport.get_extra_info("socket")
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
    upstream, _ = listening.accept()
    upstream.setblocking(False)
    listening.close()
    return connection, upstream


class TestLargeBody:
    """Tests bodies that the upstream takes slowly."""

    def test_transport_copies_one_part_at_most(self):
        """Guards against a second copy of each body that an upstream does not read."""

        async def main() -> None:
            connection, upstream = await open_pair()
            connection.send("POST", b"head", BODY)
            assert 0 < connection.transport.get_write_buffer_size() <= SENT_BYTES + 4
            assert connection.unsent_bytes > len(BODY) // 2
            assert not connection.reusable
            loop, received = asyncio.get_running_loop(), b""
            while len(received) < len(BODY) + 4:
                received += await loop.sock_recv(upstream, 1 << 16)
                assert connection.transport.get_write_buffer_size() <= SENT_BYTES + 4
            assert received == b"head" + BODY
            assert connection.unsent_bytes == 0
            connection.abort()
            upstream.close()

        asyncio.run(main())

    def test_body_is_not_kept(self):
        """Guards against idle connections that keep the bodies of earlier requests."""

        async def main() -> None:
            connection, upstream = await open_pair()
            body = bytearray(SENT_BYTES)
            connection.send("POST", b"head", body)
            # A buffer with views cannot be resized.
            body.append(0)
            connection.abort()
            upstream.close()

        asyncio.run(main())

    def test_end_of_the_connection_drops_the_rest(self):
        """Guards against bodies that are kept for connections which have ended."""

        async def main() -> None:
            connection, upstream = await open_pair()
            connection.send("POST", b"head", BODY)
            upstream.close()
            async with asyncio.timeout(10):
                while connection.transport is not None:
                    await asyncio.sleep(0.01)
            assert connection.unsent_bytes == 0

        asyncio.run(main())
