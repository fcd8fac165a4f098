"""Tests streams that reach an entry instance around its planned stop."""

from __future__ import annotations

import asyncio

import pytest

from standin.entryupstream import (
    ReceivedRequest,
    format_chunk,
    format_event,
    format_stream_head,
)
from tests.stoppingentry import RawAnswer, StoppingEntry, open_stopping

EVENTS = 10


async def write_stream(
    request: ReceivedRequest, writer: asyncio.StreamWriter, took_s: float
) -> None:
    """Answer with a stream that lasts for some seconds."""
    writer.write(format_stream_head(request))
    for number in range(1, EVENTS + 1):
        writer.write(format_chunk(format_event(number)))
        await writer.drain()
        await asyncio.sleep(took_s / EVENTS)
    writer.write(format_chunk(b""))
    await writer.drain()


def build_script(took_s: float):
    """Return a script whose first stream is quick, and the later ones last `took_s` seconds."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        await write_stream(request, writer, 0.2 if request.id == "quick" else took_s)

    return script


def check_whole_or_refused(entry: StoppingEntry, request_id: str, answer: RawAnswer) -> None:
    """Check that a request was served, or refused before it was passed on."""
    if answer.status == 503:
        assert not entry.is_passed_on(request_id)
    else:
        assert answer.status == 200
    assert answer.whole


class TestStream:
    """Tests streams that must not run twice and may outlast the grace of 4 s."""

    @pytest.mark.parametrize("chunked", [False, True])
    def test_stream_whose_body_comes_late_is_whole_or_not_passed_on(self, tmp_path, chunked):
        """Guards against streams that begin late in the grace, since earlier ones were quick.

        Their heads come just before SIGTERM, their last bytes 2.3 s after it.
        """

        async def main() -> None:
            async with open_stopping(tmp_path, build_script(2.0)) as entry:
                assert (await entry.call("quick")).whole
                names = [f"r{number}" for number in range(8)]
                late = asyncio.Event()
                calls = [
                    asyncio.create_task(
                        entry.call(name, deadline_ms=8000, body_after=late, chunked=chunked)
                    )
                    for name in names
                ]
                await asyncio.sleep(0.3)
                entry.stop()
                await entry.wait_for_event("draining")
                await asyncio.sleep(2.3)
                late.set()
                answers = await asyncio.gather(*calls)
                await entry.wait()
                for name, answer in zip(names, answers, strict=True):
                    check_whole_or_refused(entry, name, answer)

        asyncio.run(main())

    def test_stream_of_a_new_caller_is_served_at_once(self, tmp_path):
        """Guards against refusing callers whom the balancer sends back to the same instance."""

        async def main() -> None:
            async with open_stopping(tmp_path, build_script(1.0)) as entry:
                entry.stop()
                await asyncio.sleep(0.5)
                answer = await entry.call("new", deadline_ms=8000)
                assert (answer.status, answer.whole) == (200, True)
                await entry.wait()

        asyncio.run(main())

    def test_stream_that_waits_for_a_place_is_whole_or_not_passed_on(self, tmp_path):
        """Guards against streams that wait for a place when SIGTERM comes, and begin late.

        The place is free 2.3 s after SIGTERM.
        """

        async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await write_stream(request, writer, 2.3)

        async def main() -> None:
            async with open_stopping(tmp_path, script, slots=1, objective_ms=6000) as entry:
                first = asyncio.create_task(entry.call("first", deadline_ms=8000))
                await asyncio.sleep(0.05)
                waiting = asyncio.create_task(entry.call("waits", deadline_ms=8000))
                entry.stop()
                assert (await first).whole
                check_whole_or_refused(entry, "waits", await waiting)
                await entry.wait()

        asyncio.run(main())
