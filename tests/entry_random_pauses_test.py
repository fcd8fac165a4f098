"""Tests many streams of an entry instance whose engines pause and refuse at random."""

from __future__ import annotations

import asyncio
import random

import pytest

from standin.entryconfig import build_config, build_route
from standin.entryupstream import (
    ReceivedRequest,
    format_chunk,
    format_event,
    format_stream_head,
)
from tests.entry_silence_test import EVENTS, WHOLE, refuse
from tests.entryrig import Rig, RunningEntry, run_rig, wait_ready
from tests.streams import read_stream


class TestRandomPauses:
    """Tests many streams whose engines pause, refuse and break off at random."""

    @pytest.mark.parametrize("seed", range(4))
    def test_streams_have_each_event_once_and_sound_ones_are_whole(self, seed):
        """Guards against mixed or lost events, and places that stay taken."""
        source = random.Random(seed)

        async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            first = int(request.get("last-event-id") or 0) + 1
            if request.get("last-event-id") and source.random() < 0.4:
                await refuse(request, writer)
                return
            writer.write(format_stream_head(request))
            for number in range(first, EVENTS + 1):
                if source.random() < 0.08:
                    await asyncio.sleep(source.uniform(0.85, 1.1))
                writer.write(format_chunk(format_event(number)))
                await writer.drain()
                await asyncio.sleep(0.005)
            writer.write(format_chunk(b""))
            await writer.drain()

        async def test(rig: Rig) -> None:
            for number in range(3):
                await rig.add_upstream(f"u{number}", script, slots=16)
            entry = await rig.add_entry()
            await wait_ready(entry, 3)
            found = await asyncio.gather(
                *(read_stream(entry, f"r{number}", deadline_ms=9000) for number in range(40))
            )
            assert found == [(WHOLE, True)] * 40
            await check_idle(entry)

        run_rig(test, build_config(routes=[build_long_route()]))


def build_long_route() -> dict[str, object]:
    """Return a resumable route whose time allows several pauses."""
    return build_route(
        "resume", "stream", attempts=2, affinity=True, resumable=True, timeoutMs=9000
    )


async def check_idle(entry: RunningEntry) -> None:
    """Check that an instance holds no place at any upstream."""
    tracker = entry.instance.placement.tracker
    for upstream in entry.instance.view.upstreams.values():
        assert tracker.get(upstream.incarnation).in_flight == 0
