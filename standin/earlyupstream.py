"""Stand-in of an upstream that answers and ends its connection before it has read the request."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct

from standin.entryupstream import EntryUpstream, answer_whole

# What the upstream does once it has sent a part of its answer.
ENDINGS = ("close", "reset", "half-close-then-read", "half-close-then-reset")
PAUSE_S = 0.15
RECEIVE_BUFFER_BYTES = 16 << 10


class EarlyUpstream(EntryUpstream):
    """Reads the head and some of the body, sends `part` and ends the connection as `ending` says.

    `{id}` in the part becomes the request's id.
    """

    def __init__(self, name: str, part: bytes, ending: str, read_bytes: int = 0):
        super().__init__(name, answer_whole)
        self._part = part
        self._ending = ending
        self._read_bytes = read_bytes
        self.requests = 0

    async def start(self, port: int = 0) -> None:
        """Listen on a free port with small buffers, so that requests are not taken unread."""
        listening = socket.socket()
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        listening.bind(("127.0.0.1", port))
        self._server = await asyncio.start_server(self._serve, sock=listening, limit=4096)
        self.address = f"127.0.0.1:{listening.getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            self.requests += 1
            await reader.readexactly(self._read_bytes)
            writer.write(self._part.replace(b"{id}", _find_id(head)))
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
            await self._end(reader, writer)
        self._tasks.discard(task)
        writer.transport.abort()

    async def _end(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        if self._ending.startswith("half-close"):
            writer.write_eof()
            await asyncio.sleep(PAUSE_S)
        if self._ending.endswith("read"):
            while await reader.read(1 << 20):
                pass
        if self._ending.endswith("reset"):
            linger = struct.pack("ii", 1, 0)
            opened: socket.socket = writer.get_extra_info("socket")
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def _find_id(head: bytes) -> bytes:
    for line in head.split(b"\r\n"):
        name, _, value = line.partition(b":")
        if name.lower() in (b"request-id", b"x-request-id"):
            return value.strip()
    return b""
