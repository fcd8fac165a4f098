"""Tests that a stream has each event once, whatever ids its upstreams give the events."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from standin.entryupstream import (
    ReceivedRequest,
    Script,
    format_chunk,
    format_event,
    format_stream_head,
)
from tests.entryrig import Rig, reset_connection, run_rig, wait_ready
from tests.streams import read_stream

EVENTS = 6
EVENTS_BEFORE_FAULT = 3
# Longer than the pause after which an instance looks for another engine.
PAUSE_S = 1.2

FormatId = Callable[[int], bytes]
NUMERIC_IDS: dict[str, FormatId] = {
    "15-digits": lambda number: b"%d" % (10**14 + number),
    "16-digits": lambda number: b"%d" % (10**15 + number),
    "64-bits": lambda number: b"%d" % ((1 << 63) + number),
    "200-digits": lambda number: b"%d" % (10**199 + number),
    "leading-zeros": lambda number: b"%020d" % number,
}
OTHER_IDS: dict[str, FormatId | None] = {
    "none": None,
    "text": lambda number: b"run-%d" % number,
    "negative": lambda number: b"%d" % (number - 100),
    "too-long": lambda number: b"%d" % (10**400 + number),
}


def format_events(format_id: FormatId | None) -> list[bytes]:
    """Return the events of a stream; those without `format_id` have no id."""
    events = []
    for number in range(1, EVENTS + 1):
        line = b"" if format_id is None else b"id: %s\n" % format_id(number)
        events.append(line + b"data: piece %d\n\n" % number)
    return events


def build_script(format_id: FormatId | None, pause_s: float = 0.0) -> Script:
    """Return a script that resets a stream that it didn't resume, or pauses if `pause_s` is set."""
    events = format_events(format_id)

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        last = request.get("last-event-id").encode()
        first = 0
        for number in range(1, EVENTS + 1):
            if format_id is not None and format_id(number) == last:
                first = number
        writer.write(format_stream_head(request))
        for number in range(first, EVENTS):
            writer.write(format_chunk(events[number]))
            await writer.drain()
            await asyncio.sleep(0.01)
            if number + 1 != EVENTS_BEFORE_FAULT or last:
                continue
            if not pause_s:
                reset_connection(writer)
                return
            await asyncio.sleep(pause_s)
        writer.write(format_chunk(b""))
        await writer.drain()

    return script


async def start(rig: Rig, script: Script):
    for name in ("u1", "u2"):
        await rig.add_upstream(name, script)
    entry = await rig.add_entry()
    await wait_ready(entry, 2)
    return entry


class TestEventIds:
    """Tests streams whose engine fails after some events."""

    @pytest.mark.parametrize("name", NUMERIC_IDS)
    def test_stream_with_large_ids_is_resumed_without_repeats(self, name):
        """Guards against a resumption from the start if event ids have many digits."""

        async def test(rig: Rig) -> None:
            entry = await start(rig, build_script(NUMERIC_IDS[name]))
            received, complete = await read_stream(entry)
            assert received == b"".join(format_events(NUMERIC_IDS[name]))
            assert complete

        run_rig(test)

    @pytest.mark.parametrize("name", OTHER_IDS)
    def test_stream_without_numeric_ids_is_not_begun_again(self, name):
        """Guards against repeated events if a broken stream has no ids to go on after."""

        async def test(rig: Rig) -> None:
            entry = await start(rig, build_script(OTHER_IDS[name]))
            received, complete = await read_stream(entry)
            assert received == b"".join(format_events(OTHER_IDS[name])[:EVENTS_BEFORE_FAULT])
            assert not complete
            assert sum(len(upstream.received) for upstream in rig.upstreams) == 1

        run_rig(test)

    @pytest.mark.parametrize("name", ["none", "text"])
    def test_stream_without_numeric_ids_outlasts_a_pause(self, name):
        """Guards against a stream that is begun again although its engine only pauses."""

        async def test(rig: Rig) -> None:
            entry = await start(rig, build_script(OTHER_IDS[name], PAUSE_S))
            received, complete = await read_stream(entry)
            assert received == b"".join(format_events(OTHER_IDS[name]))
            assert complete

        run_rig(test)


class TestCallersEventId:
    """Tests streams that a caller resumes itself."""

    @pytest.mark.parametrize("name", [*NUMERIC_IDS, "text", "negative"])
    def test_last_event_of_the_caller_reaches_the_upstream(self, name):
        """Guards against a stream from its start for a caller that has the first events."""

        async def test(rig: Rig) -> None:
            format_id = (NUMERIC_IDS | OTHER_IDS)[name]
            entry = await start(rig, build_script(format_id))
            last_id = format_id(EVENTS_BEFORE_FAULT).decode()
            received, complete = await read_stream(entry, Last_Event_Id=last_id)
            assert received == b"".join(format_events(format_id)[EVENTS_BEFORE_FAULT:])
            assert complete

        run_rig(test)

    def test_numeric_ids_count_as_numbers(self):
        """Guards against events that the caller has, from an upstream that begins before them."""

        async def begin_at_first(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            events = b"".join(format_event(number) for number in range(1, 12))
            writer.write(format_stream_head(request) + format_chunk(events) + format_chunk(b""))
            await writer.drain()

        async def test(rig: Rig) -> None:
            entry = await start(rig, begin_at_first)
            received, complete = await read_stream(entry, Last_Event_Id="0009")
            assert received == format_event(10) + format_event(11)
            assert complete

        run_rig(test)
