"""Upstreams that let the requests of a crowd pile up at the instance."""

from __future__ import annotations

import asyncio
import itertools
import socket

from jayyoke.utils.task import cancel_tasks
from standin.entryupstream import (
    EntryUpstream,
    ReceivedRequest,
    format_answer,
    format_chunk,
    format_stream_head,
)

RECEIVE_BYTES = 4 << 10
ANSWER_BYTES = 200_000
EVENT_BYTES = 100_000


class StuckUpstream(EntryUpstream):
    """Reads the head of each request and nothing more."""

    def __init__(self, name: str):
        super().__init__(name, _wait)

    async def start(self, port: int = 0) -> None:
        """Listen with buffers that take little of a body."""
        listening = socket.create_server(("127.0.0.1", port), backlog=512)
        listening.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES)
        self._server = await asyncio.start_server(self._serve, sock=listening, limit=RECEIVE_BYTES)
        self.address = f"127.0.0.1:{listening.getsockname()[1]}"

    async def close(self) -> None:
        """Stop listening and end every connection."""
        if self._server is not None:
            self._server.close()
        await cancel_tasks(self._tasks)

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            lines = head.decode("latin-1").split("\r\n")[:-2]
            fields = [line.partition(":")[::2] for line in lines[1:]]
            headers = [(name.lower(), value.strip()) for name, value in fields]
            await self.script(ReceivedRequest(lines[0], headers, b"", 0), writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The instance or the test ended the connection.
            pass
        finally:
            self._tasks.discard(task)
            writer.close()


class EarlyUpstream(StuckUpstream):
    """Answers once it has read the head, and reads nothing more."""

    def __init__(self, name: str):
        super().__init__(name)
        self.script = _answer_early


class LongUpstream(EntryUpstream):
    """Answers with a long body."""

    def __init__(self, name: str):
        super().__init__(name, _answer_long)


class StreamingUpstream(EntryUpstream):
    """Answers with a stream that does not end."""

    def __init__(self, name: str):
        super().__init__(name, _answer_stream)


async def _wait(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(60.0)


async def _answer_early(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(format_answer(request, b"early"))
    await writer.drain()
    await asyncio.sleep(60.0)


async def _answer_long(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(format_answer(request, b"a" * ANSWER_BYTES))
    await writer.drain()


async def _answer_stream(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(format_stream_head(request))
    for number in itertools.count(1):
        writer.write(format_chunk(b"id: %d\ndata: %s\n\n" % (number, b"e" * EVENT_BYTES)))
        await writer.drain()
