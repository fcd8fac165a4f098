"""Tests answers that an entry instance has written but not sent when it stops."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import AsyncIterator

import pytest

from standin.entryupstream import ReceivedRequest, format_chunk, format_stream_head
from tests.stoppingentry import GRACE_S, RawAnswer, StoppingEntry, format_head, open_stopping

# With small segments and a small window the system keeps little of an answer.
READ_AHEAD_BYTES = 4096
SEGMENT_BYTES = 536
# An instance keeps up to 64 KB of an answer that the system does not take.
SIZE_STEP_BYTES = 24_000
EVENT_BYTES = 1000
MAX_SIZES = 20
CALLERS = 8
# The balancer's window is over then.
READS_AFTER_S = GRACE_S / 2 + 0.7


async def answer_size(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Answer with a stream whose size is the last part of the path."""
    size_bytes = int(request.line.split(" ")[1].rpartition("/")[2])
    writer.write(format_stream_head(request))
    for number in range(1, size_bytes // EVENT_BYTES + 1):
        event = b"id: %d\ndata: %s\n\n" % (number, bytes(EVENT_BYTES).replace(b"\0", b"x"))
        writer.write(format_chunk(event))
        await writer.drain()
        await asyncio.sleep(0.001)
    writer.write(format_chunk(b""))
    await writer.drain()


@contextlib.asynccontextmanager
async def open_call(port: int, size_bytes: int) -> AsyncIterator[socket.socket]:
    """Yield a kept connection on which a request was sent."""
    client = socket.socket()
    client.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, READ_AHEAD_BYTES)
    client.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SEGMENT_BYTES)
    client.connect(("127.0.0.1", port))
    client.setblocking(False)
    head = format_head(f"/stream/{size_bytes}", str(size_bytes), 3500, "Content-Length: 0")
    head = head.replace(b"Connection: close\r\n", b"")
    with client:
        await asyncio.get_running_loop().sock_sendall(client, head)
        yield client


async def find_written_size(entry: StoppingEntry) -> int:
    """Return the size of the longest answer that is written although its caller reads nothing."""
    async with contextlib.AsyncExitStack() as stack:
        for number in range(MAX_SIZES):
            await stack.enter_async_context(open_call(entry.port, number * SIZE_STEP_BYTES))
        await asyncio.sleep(1.0)
        written = [int(str(line["request_id"])) for line in entry.list_events("answered")]
    assert len(written) < MAX_SIZES
    return max(written)


async def read_late(
    entry: StoppingEntry, size_bytes: int, more: bytes, more_after_s: float
) -> RawAnswer:
    """Read an answer seconds after it was written; send `more` bytes meanwhile."""
    loop = asyncio.get_running_loop()
    received = b""
    async with open_call(entry.port, size_bytes) as client:
        await asyncio.sleep(more_after_s)
        with contextlib.suppress(ConnectionError):
            await loop.sock_sendall(client, more)
            await asyncio.sleep(READS_AFTER_S - more_after_s)
            while data := await loop.sock_recv(client, READ_AHEAD_BYTES):
                received += data
    return RawAnswer(received)


async def check_late_readers(
    entry: StoppingEntry, more: bytes = b"", more_after_s: float = 0.0
) -> None:
    """Stop an instance whose callers have not read their answers, and check that they can."""
    size_bytes = await find_written_size(entry)
    calls = [
        asyncio.create_task(read_late(entry, size_bytes, more, more_after_s))
        for _ in range(CALLERS)
    ]
    await asyncio.sleep(0.2)
    entry.stop()
    answers = await asyncio.gather(*calls)
    await entry.wait()
    assert [(answer.status, answer.whole) for answer in answers] == [(200, True)] * CALLERS


class TestLateReader:
    """Tests callers that read their answers after the instance has written them."""

    def test_answer_in_the_send_buffer_is_whole(self, tmp_path):
        """Guards against a process that ends while it still holds the last bytes of answers."""

        async def main() -> None:
            async with open_stopping(tmp_path, answer_size) as entry:
                await check_late_readers(entry)

        asyncio.run(main())

    @pytest.mark.parametrize("more_after_s", [READS_AFTER_S / 2, READS_AFTER_S - 0.35])
    def test_answer_before_unread_input_is_whole(self, tmp_path, more_after_s):
        """Guards against a connection that is reset, since its caller has sent more meanwhile.

        The input comes before or after the instance closes its idle connections.
        """

        async def main() -> None:
            async with open_stopping(tmp_path, answer_size) as entry:
                await check_late_readers(entry, b"POST /safe/x HTTP/1.1\r\n", more_after_s)

        asyncio.run(main())
