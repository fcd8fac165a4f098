"""Clients that keep no limits: each sends one form of input without end."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from dataclasses import dataclass

BLOCK_BYTES = 16 << 10
# What the system takes for a client that does not read.
UNREAD_BYTES = 4 << 10


@dataclass(frozen=True, slots=True)
class Form:
    """Holds what a client sends first, and what it repeats; `pause_s` lies between blocks.

    A client that is not `reading` leaves answers where the system holds them.
    """

    opening: bytes
    block: bytes
    pause_s: float = 0.0
    reading: bool = True


def build_forms(head: str, post_head: str, slow_pause_s: float = 0.05) -> dict[str, Form]:
    """Return every form; the heads are a GET's and a POST's without their last empty line."""
    get, post = head.encode(), post_head.encode()
    whole = get + b"\r\n"
    chunked = post + b"Transfer-Encoding: chunked\r\n\r\n"
    large = get + _format_fields(100, 150) + b"\r\n"
    fields = _format_fields(BLOCK_BYTES // 36, 20)
    forms = {
        "heads-over-the-limit": Form(b"", get + b"X: " + b"v" * (256 << 10) + b"\r\n\r\n"),
        "one-field-without-end": Form(get + b"X: ", b"v" * BLOCK_BYTES),
        "one-line-without-end": Form(b"GET /", b"a" * BLOCK_BYTES),
        "fields-without-end": Form(get, fields),
        "few-fields-at-the-limit": Form(get, b"X: " + b"v" * 4000 + b"\r\n"),
        "trailers": Form(chunked + b"1\r\nx\r\n0\r\n", fields),
        "chunk-sizes": Form(chunked, b"0" * BLOCK_BYTES),
        "chunk-extensions": Form(chunked + b"1", b";a=b" * (BLOCK_BYTES // 4)),
        "empty-lines": Form(b"", b"\r\n" * (BLOCK_BYTES // 2)),
        "empty-lines-after-a-request": Form(whole, b"\r\n" * (BLOCK_BYTES // 2)),
        "empty-lines-between-requests": Form(b"", whole + b"\r\n" * (BLOCK_BYTES // 2)),
        "pipelined-requests": Form(b"", whole * (BLOCK_BYTES // len(whole))),
        "pipelined-large-heads": Form(b"", large),
        "pipelined-bodies": Form(b"", post + b"Content-Length: 9000\r\n\r\n" + b"b" * 9000),
        "body-without-end": Form(post + b"Content-Length: 9000\r\n\r\n", b"b", 1.0),
        "chunks-of-one-byte": Form(chunked, b"1\r\nx\r\n" * (BLOCK_BYTES // 6)),
    }
    for name in ("one-field-without-end", "trailers", "empty-lines", "chunk-extensions"):
        form = forms[name]
        forms[f"slow-{name}"] = Form(form.opening, form.block[:1024], slow_pause_s)
    return forms


def _format_fields(count: int, value_bytes: int) -> bytes:
    return b"".join(b"X-Field-%06d: %s\r\n" % (n, b"v" * value_bytes) for n in range(count))


class Crowd:
    """Opens many connections that send one form, and keeps those open that are not closed."""

    def __init__(self, port: int, form: Form, count: int, bytes_each: int):
        self._port = port
        self._form = form
        self._count = count
        self._bytes_each = bytes_each
        self._tasks: list[asyncio.Task[None]] = []
        self._writers: list[asyncio.StreamWriter] = []
        self.sent_bytes = 0
        self.ended = 0

    async def send(self, limit_s: float) -> None:
        """Send until every client is done, closed or blocked for good, at most `limit_s`.

        Clients that do not read stay as long, since their answers go on.
        """
        loop = asyncio.get_running_loop()
        end_s = loop.time() + limit_s
        self._tasks = [asyncio.create_task(self._run_client()) for _ in range(self._count)]
        await asyncio.wait(self._tasks, timeout=limit_s)
        if not self._form.reading:
            await asyncio.sleep(max(0.0, end_s - loop.time()))

    async def close(self) -> None:
        """Close every connection."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for writer in self._writers:
            writer.transport.abort()

    async def _connect(self) -> asyncio.StreamWriter:
        """Return a new connection; raise OSError."""
        if self._form.reading:
            _, writer = await asyncio.open_connection("127.0.0.1", self._port)
            return writer
        opened = socket.socket()
        opened.setblocking(False)
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BYTES)
        try:
            await asyncio.get_running_loop().sock_connect(opened, ("127.0.0.1", self._port))
        except OSError:
            opened.close()
            raise
        _, writer = await asyncio.open_connection(sock=opened)
        writer.transport.pause_reading()
        return writer

    async def _run_client(self) -> None:
        with contextlib.suppress(OSError):
            writer = await self._connect()
            self._writers.append(writer)
            writer.write(self._form.opening)
            sent_bytes = 0
            while sent_bytes < self._bytes_each:
                if writer.transport.is_closing():
                    break
                writer.write(self._form.block)
                await writer.drain()
                sent_bytes += len(self._form.block)
                self.sent_bytes += len(self._form.block)
                if self._form.pause_s:
                    await asyncio.sleep(self._form.pause_s)
            return
        self.ended += 1
