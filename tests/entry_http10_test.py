"""Tests of HTTP/1.0 callers, whose streams end with their connections."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest

from standin.entryupstream import (
    ReceivedRequest,
    format_chunk,
    format_event,
    format_stream_head,
)
from tests.stoppingentry import GRACE_S, StoppingEntry, format_head, open_stopping

EVENT_GAP_S = 0.1


async def stream_for_ever(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Send one event after the other."""
    writer.write(format_stream_head(request))
    number = 0
    while True:
        writer.write(format_chunk(format_event(number)))
        await writer.drain()
        await asyncio.sleep(EVENT_GAP_S)
        number += 1


async def break_off(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Send one event and break off."""
    writer.write(format_stream_head(request) + format_chunk(format_event(0)))
    await writer.drain()
    await asyncio.sleep(EVENT_GAP_S)
    writer.transport.abort()


async def read_stream(entry: StoppingEntry) -> bytes:
    """Return the whole answer to an HTTP/1.0 request; raise ConnectionResetError."""
    reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
    deadline_ms = int(GRACE_S * 2000)
    head = format_head("/stream/x", "r1", deadline_ms, "Content-Length: 1")
    writer.write(head.replace(b"HTTP/1.1", b"HTTP/1.0") + b"x")
    try:
        return await reader.read()
    finally:
        writer.close()


class TestIncompleteStream:
    """Tests that a stream without its end does not look whole."""

    def test_stream_that_the_stop_cuts_ends_with_a_reset(self, tmp_path: Path):
        """Guards against a stream that is cut off and ends like a complete one."""

        async def main() -> None:
            async with open_stopping(tmp_path, stream_for_ever) as entry:
                reading = asyncio.create_task(read_stream(entry))
                await entry.wait_for_event("placed")
                entry.stop()
                with pytest.raises(ConnectionResetError):
                    await reading
                await entry.wait()

        asyncio.run(main())

    def test_stream_that_its_upstream_breaks_off_ends_with_a_reset(self, tmp_path: Path):
        """Guards against a stream that is broken off and ends like a complete one."""

        async def main() -> None:
            async with open_stopping(tmp_path, break_off) as entry:
                with pytest.raises(ConnectionResetError):
                    await read_stream(entry)

        asyncio.run(main())
