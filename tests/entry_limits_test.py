"""Tests of entry instances whose upstreams name the requests a second that they take."""

from __future__ import annotations

import asyncio
import time

import pytest

from standin.entryupstream import (
    ReceivedRequest,
    format_answer,
    format_chunk,
    format_event,
    format_stream_head,
)
from tests.entryrig import Rig, RunningEntry, run_rig, wait_ready, wait_until

# The bound on what a limited upstream gets in a window, from a while after its first word.
WINDOW_S = 4.0
FACTOR = 1.5
EXTRA = 5
HEARD_S = 3.0


class LimitedUpstream:
    """Answers as an upstream that names a limit, and keeps the times of its requests."""

    def __init__(self, limit: str):
        self.limit = limit
        self.arrived_s: list[float] = []

    async def answer(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        self.arrived_s.append(time.monotonic())
        limit = {"Server_Limit": self.limit} if self.limit else {}
        if "/stream/" in request.line:
            line = b"Server-Limit: %s\r\n\r\n" % self.limit.encode()
            writer.write(format_stream_head(request)[:-2] + line)
            writer.write(format_chunk(format_event(1)) + format_chunk(b""))
        else:
            writer.write(format_answer(request, b"limited", Keep_Alive="timeout=30", **limit))
        await writer.drain()

    def count_most(self, from_s: float) -> int:
        """Return the most requests in a window that begins after a time."""
        arrived_s = [at_s for at_s in self.arrived_s if at_s >= from_s]
        counts = [
            sum(first_s <= at_s < first_s + WINDOW_S for at_s in arrived_s) for first_s in arrived_s
        ]
        return max(counts, default=0)


class Traffic:
    """Calls instances in turn, a number of times a second, and keeps the answers."""

    def __init__(self, entries: list[RunningEntry], per_s: float, path: str = "/safe/x"):
        self.entries = entries
        self.per_s = per_s
        self.path = path
        self.answers: list[tuple[int, bytes, dict[str, str]]] = []
        self.took_s: list[float] = []

    async def run(self, seconds: float) -> None:
        """Send calls without waiting for their answers, then wait for all."""
        tasks = []
        for number in range(round(seconds * self.per_s)):
            entry = self.entries[number % len(self.entries)]
            tasks.append(asyncio.create_task(self._call(entry, f"r{id(self)}-{number}")))
            await asyncio.sleep(1 / self.per_s)
        await asyncio.gather(*tasks)

    async def _call(self, entry: RunningEntry, request_id: str) -> None:
        began_s = time.monotonic()
        self.answers.append(await entry.call(self.path, request_id))
        self.took_s.append(time.monotonic() - began_s)

    def count(self, status: int) -> int:
        return sum(answer[0] == status for answer in self.answers)


async def add_entries(rig: Rig, count: int, upstreams: int) -> list[RunningEntry]:
    entries = [await rig.add_entry(f"entry-{number}") for number in range(count)]
    for entry in entries:
        await wait_ready(entry, upstreams)
        await wait_until(lambda entry=entry: len(entry.instance.roster.list_alive()) == count)
    return entries


class TestSum:
    """Tests what a limited upstream gets from all instances together."""

    @pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x", "/stream/x"])
    def test_stays_within_the_limit_while_others_serve(self, path):
        """Guards against an upstream that gets more than the limit that it has named."""

        async def test(rig: Rig) -> None:
            limited = LimitedUpstream("3")
            await rig.add_upstream("u1", limited.answer)
            await rig.add_upstream("u2", LimitedUpstream("1000000").answer)
            entries = await add_entries(rig, 6, 2)
            began_s = time.monotonic()
            traffic = Traffic(entries, 60.0, path)
            await traffic.run(HEARD_S + WINDOW_S + 1.0)
            assert traffic.count(200) == len(traffic.answers)
            assert limited.count_most(began_s + HEARD_S) <= WINDOW_S * FACTOR * 3 + EXTRA

        run_rig(test)

    def test_stays_within_the_limit_if_all_are_limited(self):
        """Guards against upstreams that are overrun since there is no other one."""

        async def test(rig: Rig) -> None:
            limited = [LimitedUpstream("3"), LimitedUpstream("2")]
            for number, upstream in enumerate(limited):
                await rig.add_upstream(f"u{number}", upstream.answer)
            entries = await add_entries(rig, 6, 2)
            began_s = time.monotonic()
            traffic = Traffic(entries, 40.0)
            await traffic.run(HEARD_S + WINDOW_S + 1.0)
            for upstream, limit in zip(limited, (3, 2), strict=True):
                most = upstream.count_most(began_s + HEARD_S)
                assert limit * WINDOW_S * 0.6 <= most <= WINDOW_S * FACTOR * limit + EXTRA
            assert traffic.count(200) + traffic.count(503) == len(traffic.answers)
            refused = [answer for answer in traffic.answers if answer[0] == 503]
            assert all(float(answer[2]["Retry-After"]) > 0 for answer in refused)
            assert max(traffic.took_s) < 1.0

        run_rig(test)
