"""Tests of which requests count as begun, with an entry instance on loopback."""

from __future__ import annotations

import asyncio

import aiohttp

from jayyoke.core.entrysettings import DutyService
from standin.entryconfig import build_config
from standin.entryupstream import (
    ReceivedRequest,
    Script,
    format_answer,
    format_chunk,
    format_event,
    format_stream_head,
)
from tests.entryrig import Rig, reset_connection, run_rig, wait_ready, wait_until

# Nothing listens there; counting needs no service.
SETTINGS = DutyService("127.0.0.1:1", metering=True)


def count(script: Script, path: str) -> int:
    """Return how many requests count if an upstream answers one call by a script."""
    found = []

    async def test(rig: Rig) -> None:
        upstream = await rig.add_upstream("w1", script)
        entry = await rig.add_entry(duty_service=SETTINGS)
        await wait_ready(entry, 1)
        try:
            await entry.call(path)
        except aiohttp.ClientError:
            # The upstream has cut a stream.
            pass
        await wait_until(lambda: bool(upstream.received))
        await asyncio.sleep(0.05)
        found.append(entry.instance.duties.counter.counted)

    run_rig(test, build_config())
    return found[0]


def answer_with(status: str, **headers: str) -> Script:
    """Return a script that answers with a status."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(format_answer(request, b"text", status, **headers))
        await writer.drain()

    return script


async def cut(_: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """End the connection without an answer."""
    reset_connection(writer)


async def cut_after_head(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """End the connection after the head of a stream."""
    writer.write(format_stream_head(request))
    await writer.drain()
    await asyncio.sleep(0.05)
    reset_connection(writer)


async def cut_after_event(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """End the connection after the first event."""
    writer.write(format_stream_head(request) + format_chunk(format_event(1)))
    await writer.drain()
    await asyncio.sleep(0.05)
    reset_connection(writer)


class TestPlainRequests:
    def test_answered_request_counts(self):
        """Guards against requests that are not billed."""
        assert count(answer_with("200 OK"), "/unsafe/x") == 1
        assert count(answer_with("404 Not Found"), "/unsafe/x") == 1

    def test_request_without_an_answer_counts(self):
        """Guards against requests that are not billed since their answer was lost."""
        assert count(cut, "/unsafe/x") == 1

    def test_failed_request_counts(self):
        """Guards against runs that ended in a failure and are not billed."""
        assert count(answer_with("500 Oops"), "/safe/x") == 1

    def test_request_that_has_not_run_does_not_count(self):
        """Guards against refused requests that are billed."""
        assert count(answer_with("503 Busy", Not_Executed="1"), "/unsafe/x") == 0
        assert count(answer_with("503 Busy"), "/unsafe/x") == 0
        assert count(answer_with("421 Elsewhere"), "/unsafe/x") == 0


class TestStreams:
    def test_stream_counts_once_from_its_first_event(self):
        """Guards against streams that count twice or not at all if they are cut."""
        assert count(cut_after_event, "/stream/x") == 1

    def test_stream_cut_between_its_head_and_first_event_counts(self):
        """Guards against a first token that is lost on its way and not billed."""
        assert count(cut_after_head, "/stream/x") == 1

    def test_stream_without_an_answer_does_not_count(self):
        """Guards against a prompt that an engine has not read and that is billed."""
        assert count(cut, "/stream/x") == 0
        assert count(answer_with("500 Oops"), "/stream/x") == 0
