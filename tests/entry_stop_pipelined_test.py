"""Tests of pipelined requests to an entry instance that stops."""

from __future__ import annotations

import asyncio
from pathlib import Path

from standin.entryupstream import ReceivedRequest, format_answer
from tests.stoppingentry import format_head, open_stopping

WORK_S = 0.3
DEADLINE_MS = 1000


class TestPipelinedRequest:
    """Tests a request that arrives together with the one before it."""

    def test_it_is_answered_too(self, tmp_path: Path):
        """Guards against a request that is read and closed with the connection, unanswered."""

        async def slow(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(WORK_S)
            writer.write(format_answer(request, b"done"))
            await writer.drain()

        async def main() -> bytes:
            async with open_stopping(tmp_path, slow) as entry:
                entry.stop()
                await entry.wait_for_event("draining")
                reader, writer = await asyncio.open_connection("127.0.0.1", entry.port)
                for request_id in ("first", "second"):
                    head = format_head("/safe/x", request_id, DEADLINE_MS, "Content-Length: 1")
                    writer.write(head.replace(b"Connection: close\r\n", b"") + b"x")
                received = await reader.read()
                writer.close()
                await entry.wait()
                return received

        first, second = asyncio.run(main()).split(b"HTTP/1.1 ")[1:]
        assert first.startswith(b"200") and b"Connection: close" not in first
        assert second.startswith(b"200") and b"Connection: close" in second
