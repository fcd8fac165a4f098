"""Tests of the end of a listener's connections."""

from __future__ import annotations

import asyncio
import socket
import threading
import time
from collections.abc import Callable

import pytest
from aiohttp import web

from jayyoke.server.listener import Listener

ANSWER_BYTES = 50_000
BUFFER_BYTES = 4096
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


class TestClose:
    """Tests answers that are not yet sent when the process closes its listener and ends."""

    @pytest.mark.parametrize("size", [ANSWER_BYTES, 40 * ANSWER_BYTES])
    def test_slow_reader_gets_the_whole_answer(self, size):
        """Guards against the loss of what lies in the buffer of a connection at the end."""

        def read(client: socket.socket) -> bytes:
            time.sleep(0.5)
            return read_all(client)

        assert len(run_until_closed(size, read)) > size

    @pytest.mark.parametrize("delay_s", [0.1, 0.6])
    def test_answer_survives_input_that_nobody_reads(self, delay_s):
        """Guards against a reset that drops the rest of an answer.

        The caller sends its next request before it has read the answer.
        """

        def read(client: socket.socket) -> bytes:
            time.sleep(delay_s)
            client.sendall(REQUEST)
            time.sleep(0.3)
            return read_all(client)

        assert len(run_until_closed(ANSWER_BYTES, read)) > ANSWER_BYTES

    def test_answer_that_closes_its_connection_while_draining_survives_input(self):
        """Guards against the same reset while the listener still accepts connections."""

        def read(client: socket.socket) -> bytes:
            time.sleep(0.3)
            client.sendall(REQUEST)
            time.sleep(0.3)
            return read_all(client)

        received = run_until_closed(ANSWER_BYTES, read, open_s=0.8)
        assert len(received) > ANSWER_BYTES

    def test_request_that_came_before_the_close_is_answered(self):
        """Guards against requests that a busy process has not read when it closes connections."""

        def read(client: socket.socket) -> bytes:
            client.recv(1 << 16)
            time.sleep(0.3)
            client.sendall(REQUEST)
            return read_all(client)

        assert run_until_closed(1, read, busy_s=0.5).startswith(b"HTTP/1.1 200")

    def test_reader_that_stops_does_not_hold_up_the_end(self):
        """Guards against a process that outlives its grace for one caller."""
        began_s = time.monotonic()

        def read(client: socket.socket) -> bytes:
            time.sleep(2.0)
            return b""

        run_until_closed(ANSWER_BYTES, read, timeout_s=0.5)
        assert time.monotonic() - began_s < 4.0


def run_until_closed(
    size: int,
    read: Callable[[socket.socket], bytes],
    timeout_s: float = 5.0,
    open_s: float = 0.0,
    busy_s: float = 0.0,
) -> bytes:
    """Answer one request with `size` bytes, close, and return what `read` returns.

    If `open_s` is set, the answer closes its connection, and the listener closes that much later.
    The server reads nothing in the last `busy_s` before that.

    The server runs in a thread, whose end of the event loop stands for the end of the process.
    """
    ports: list[int] = []
    listening = threading.Event()

    async def serve() -> None:
        answering = asyncio.Event()

        async def answer(request: web.Request) -> web.Response:
            answering.set()
            response = web.Response(body=b"x" * size)
            if open_s:
                response.force_close()
                return response
            sock = request.transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
            return response

        app = web.Application()
        app.router.add_get("/", answer)
        listener = Listener(app)
        await listener.start("127.0.0.1:0")
        listener.drain()
        ports.append(listener.port)
        listening.set()
        await answering.wait()
        await asyncio.sleep(0.2 + open_s)
        asyncio.get_running_loop().call_soon(time.sleep, busy_s)
        await asyncio.sleep(0)
        await listener.close(timeout_s)

    server = threading.Thread(target=asyncio.run, args=(serve(),))
    server.start()
    listening.wait()
    with socket.socket() as client:
        client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
        client.connect(("127.0.0.1", ports[0]))
        client.sendall(REQUEST)
        received = read(client)
    server.join()
    return received


def read_all(client: socket.socket) -> bytes:
    """Return what arrives until the end, a reset or a long silence."""
    client.settimeout(3.0)
    received = b""
    while True:
        try:
            part = client.recv(8192)
        except (ConnectionResetError, TimeoutError):
            return received
        if not part:
            return received
        received += part
