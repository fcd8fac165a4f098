"""Tests of timeouts that allow for stalls of the process."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from jayyoke.utils.stalltimeout import StallTolerantTimeout


class TestStallTolerantTimeout:
    def test_expires(self):
        async def wait() -> None:
            async with StallTolerantTimeout(0.01):
                await asyncio.sleep(5)

        with pytest.raises(TimeoutError):
            asyncio.run(wait())

    def test_body_that_ends_in_time_is_not_cancelled(self):
        async def wait() -> str:
            async with StallTolerantTimeout(0.02):
                await asyncio.sleep(0)
            await asyncio.sleep(0.03)
            return "done"

        assert asyncio.run(wait()) == "done"

    def test_reports_how_long_the_process_was_stalled(self):
        async def wait() -> float:
            timeout = StallTolerantTimeout(0.01)
            with pytest.raises(TimeoutError):
                async with timeout:
                    asyncio.get_running_loop().call_soon(time.sleep, 0.3)
                    await asyncio.sleep(5)
            return timeout.stalled_s

        assert asyncio.run(wait()) >= 0.25

    def test_answer_that_arrived_during_a_stall_is_read(self):
        async def wait() -> bytes:
            ours, theirs = socket.socketpair()
            reader, writer = await asyncio.open_connection(sock=ours)

            def stall() -> None:
                theirs.send(b"answer")
                time.sleep(0.3)

            try:
                async with StallTolerantTimeout(0.1):
                    asyncio.get_running_loop().call_soon(stall)
                    return await reader.read(6)
            finally:
                writer.close()
                theirs.close()

        assert asyncio.run(wait()) == b"answer"

    def test_outside_cancellation_is_not_reported_as_a_timeout(self):
        async def wait() -> None:
            async with StallTolerantTimeout(5.0):
                await asyncio.sleep(5)

        async def cancel() -> None:
            task = asyncio.create_task(wait())
            await asyncio.sleep(0)
            task.cancel()
            await task

        with pytest.raises(asyncio.CancelledError):
            asyncio.run(cancel())
