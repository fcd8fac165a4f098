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


class TestWords:
    """Tests how instances hear of the beginning and the end of a limit."""

    def test_limit_ends_when_the_upstream_names_none(self):
        """Guards against an upstream that is limited for good by one answer."""

        async def test(rig: Rig) -> None:
            upstream = LimitedUpstream("2")
            await rig.add_upstream("u1", upstream.answer)
            entries = await add_entries(rig, 3, 1)
            await Traffic(entries, 20.0).run(2.0)
            assert all(entry.instance.placement.limits.limited == 1 for entry in entries)
            upstream.limit = ""
            await Traffic(entries, 20.0).run(4.0)
            assert all(entry.instance.placement.limits.limited == 0 for entry in entries)
            before = len(upstream.arrived_s)
            after = Traffic(entries, 20.0)
            await after.run(1.0)
            assert after.count(200) == 20
            assert len(upstream.arrived_s) == before + 20

        run_rig(test)

    def test_end_of_a_limit_of_zero_is_heard(self):
        """Guards against an upstream that nobody asks again after it wanted no requests."""

        async def test(rig: Rig) -> None:
            upstream = LimitedUpstream("0")
            await rig.add_upstream("u1", upstream.answer)
            entries = await add_entries(rig, 2, 1)
            assert (await entries[0].call("/safe/x"))[0] == 200
            limits = [entry.instance.placement.limits for entry in entries]
            await wait_until(lambda: all(found.limited == 1 for found in limits), 3.0)
            upstream.limit = ""
            async with asyncio.timeout(15):
                while limits[1].limited:
                    await entries[1].call("/safe/x")
                    await asyncio.sleep(0.05)
            assert len(upstream.arrived_s) == 2
            await wait_until(lambda: limits[0].limited == 0, 3.0)

        run_rig(test)

    def test_peers_hear_of_the_beginning_and_the_end(self):
        """Guards against an instance that sends on, since it has got no answer itself."""

        async def test(rig: Rig) -> None:
            upstream = LimitedUpstream("1000")
            await rig.add_upstream("u1", upstream.answer)
            entries = await add_entries(rig, 4, 1)
            assert (await entries[0].call("/safe/x"))[0] == 200
            limits = [entry.instance.placement.limits for entry in entries]
            await wait_until(lambda: all(found.limited == 1 for found in limits), 3.0)
            upstream.limit = ""
            await asyncio.sleep(0.1)
            assert (await entries[1].call("/safe/x"))[0] == 200
            await wait_until(lambda: all(found.limited == 0 for found in limits), 3.0)
            assert len(upstream.arrived_s) == 2

        run_rig(test)

    def test_started_instance_hears_of_limits(self):
        """Guards against a burst from instances that start while an upstream is limited."""

        async def test(rig: Rig) -> None:
            upstream = LimitedUpstream("1000")
            await rig.add_upstream("u1", upstream.answer)
            entries = await add_entries(rig, 3, 1)
            assert (await entries[0].call("/safe/x"))[0] == 200
            await asyncio.sleep(1.0)
            late = await rig.add_entry("entry-late")
            await wait_until(lambda: late.instance.placement.limits.limited == 1, 5.0)

        run_rig(test)

    @pytest.mark.parametrize("value", ["-1", "inf", "nan", "soon", "", "9" * 400])
    def test_malformed_limit_is_none(self, value):
        """Guards against an upstream that is taken out by a value that says nothing."""

        async def test(rig: Rig) -> None:
            upstream = LimitedUpstream(value)
            await rig.add_upstream("u1", upstream.answer)
            (entry,) = await add_entries(rig, 1, 1)
            traffic = Traffic([entry], 50.0)
            await traffic.run(0.5)
            assert traffic.count(200) == 25
            assert entry.instance.placement.limits.empty

        run_rig(test)

    @pytest.mark.parametrize(
        ("status", "signed"), [("421 Misdirected Request", True), ("503 Unavailable", False)]
    )
    def test_answer_of_another_does_not_end_a_limit(self, status, signed):
        """Guards against a limit that ends with an answer that is not the upstream's own."""

        async def test(rig: Rig) -> None:
            upstream = LimitedUpstream("1000")
            running = await rig.add_upstream("u1", upstream.answer)
            (entry,) = await add_entries(rig, 1, 1)
            assert (await entry.call("/safe/x"))[0] == 200

            async def answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
                head = format_answer(request, b"", status, Not_Executed="1")
                writer.write(head if signed else head.replace(b"Worker-Signature: sig\r\n", b""))
                await writer.drain()

            running.script = answer
            assert (await entry.call("/unsafe/x"))[0] == 503
            assert entry.instance.placement.limits.limited == 1

        run_rig(test)


class TestSlots:
    """Tests which requests take a slot."""

    def test_call_that_opens_a_connection_meanwhile_takes_one(self):
        """Guards against requests that arrive after a limit because they were assigned before."""

        async def test(rig: Rig) -> None:
            upstream = LimitedUpstream("")
            await rig.add_upstream("u1", upstream.answer)
            (entry,) = await add_entries(rig, 1, 1)
            (known,) = entry.instance.view.upstreams.values()
            pool, limits = entry.instance.pool, entry.instance.placement.limits
            acquire = pool.acquire

            async def acquire_late(*arguments):
                connection = await acquire(*arguments)
                limits.record(known.incarnation, 0.0)
                return connection

            pool.acquire = acquire_late
            assert (await entry.call("/unsafe/x"))[0] == 503
            assert not upstream.arrived_s

        run_rig(test)

    def test_request_that_is_not_sent_leaves_its_slot(self):
        """Guards against slots that are lost to an upstream that cannot be reached."""

        async def test(rig: Rig) -> None:
            upstream = LimitedUpstream("0")
            running = await rig.add_upstream("u1", upstream.answer)
            (entry,) = await add_entries(rig, 1, 1)
            (known,) = entry.instance.view.upstreams.values()
            limits = entry.instance.placement.limits
            assert (await entry.call("/safe/x"))[0] == 200
            await running.close()
            entry.instance.pool.drop(known)
            await asyncio.sleep(limits.find_wait_s(known.incarnation) + 0.01)
            assert limits.may_send(known.incarnation)
            assert (await entry.call("/unsafe/x"))[0] == 503
            assert limits.may_send(known.incarnation)

        run_rig(test)
