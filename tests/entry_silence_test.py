"""Tests calls whose upstream is silent for a while, which ends no answer by itself."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest

from standin.deadlyengine import DeadlyEngine
from standin.entryconfig import build_config, build_route
from standin.entryupstream import (
    EntryUpstream,
    ReceivedRequest,
    Script,
    answer_whole,
    format_answer,
    format_chunk,
    format_event,
    format_stream_head,
)
from tests.entryrig import Rig, RunningEntry, reset_connection, run_rig, wait_ready, wait_until
from tests.streams import read_stream

EVENTS = 8
WHOLE = b"".join(format_event(number) for number in range(1, EVENTS + 1))
# Longer than the silence after which an instance looks for another upstream, and well within the
# route's and the caller's time.
PAUSE_S = 1.6


def write_stream(pause_after: int = EVENTS, pause_s: float = 0.0, quick: bool = True) -> Script:
    """Return a script that pauses its stream once, after this number of events."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        first = int(request.get("last-event-id") or 0) + 1
        for number in range(first, EVENTS + 1):
            if number - 1 == pause_after:
                await asyncio.sleep(pause_s)
            if number == first:
                writer.write(format_stream_head(request))
            writer.write(format_chunk(format_event(number)))
            await writer.drain()
            await asyncio.sleep(0.005 if quick else 0.02)
        writer.write(format_chunk(b""))
        await writer.drain()

    return script


async def refuse(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Answer that all slots are taken."""
    head = f"HTTP/1.1 503 Full\r\nRequest-Id: {request.id}\r\nNot-Executed: 1\r\n"
    writer.write(head.encode() + b"Content-Length: 0\r\n\r\n")
    await writer.drain()


async def break_off(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Reset the connection without an answer."""
    reset_connection(writer)


async def fail(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Answer with a failure."""
    writer.write(format_answer(request, b"no memory", "500 Internal Server Error"))
    await writer.drain()


async def say_nothing(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Answer nothing until the connection ends."""
    await asyncio.sleep(30.0)


async def send_comments(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Begin a stream that brings no event."""
    writer.write(format_stream_head(request) + format_chunk(b": waiting\n\n"))
    await asyncio.sleep(30.0)


async def begin_and_break_off(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Begin a stream and reset the connection before its first event."""
    writer.write(format_stream_head(request))
    await writer.drain()
    await asyncio.sleep(0.02)
    reset_connection(writer)


OTHERS: dict[str, Script] = {
    "full": refuse,
    "breaks-off": break_off,
    "fails": fail,
    "silent": say_nothing,
    "only-comments": send_comments,
    "begins-and-breaks-off": begin_and_break_off,
}


async def start_call(
    rig: Rig,
    first: Script,
    others: list[Script],
    call: Callable[[RunningEntry], Awaitable],
) -> tuple[asyncio.Task, RunningEntry]:
    """Send a call to an upstream of its own; the others join while it runs."""
    upstream = await rig.add_upstream("u1", first)
    entry = await rig.add_entry()
    await wait_ready(entry, 1)
    task = asyncio.ensure_future(call(entry))
    await wait_until(lambda: upstream.received)
    for number, script in enumerate(others):
        await rig.add_upstream(f"u{number + 2}", script)
    await wait_ready(entry, 1 + len(others))
    return task, entry


def count_received(rig: Rig) -> list[int]:
    """Return how many requests each upstream has received."""
    return [len(upstream.received) for upstream in rig.upstreams]


async def check_released(rig: Rig, entry: RunningEntry) -> None:
    """Check that no upstream is still at work, and that no place is held."""
    tracker = entry.instance.placement.tracker
    for upstream in entry.instance.view.upstreams.values():
        stats = tracker.get(upstream.incarnation)
        assert (stats.in_flight, stats.answering) == (0, 0)
    for upstream in rig.upstreams:
        await wait_until(lambda found=upstream: is_idle(found))


def is_idle(upstream: EntryUpstream) -> bool:
    """Tell whether an upstream runs no script."""
    running = upstream.connections - upstream.closed_connections
    return running <= 1


class TestPausedUpstream:
    """Tests a sound upstream that pauses while no other one can take its call."""

    @pytest.mark.parametrize("pause_after", [0, 1, 4, EVENTS - 1])
    @pytest.mark.parametrize("other", [None, *OTHERS])
    def test_stream_is_whole(self, other, pause_after):
        """Guards against a stream that is cut for another engine that does not take it."""

        async def test(rig: Rig) -> None:
            others = [] if other is None else [OTHERS[other]]
            script = write_stream(pause_after, PAUSE_S)
            task, entry = await start_call(rig, script, others, read_stream)
            assert await task == (WHOLE, True)
            await check_released(rig, entry)

        run_rig(test)

    @pytest.mark.parametrize("other", [None, "full", "breaks-off", "fails", "silent"])
    def test_whole_answer_is_delivered(self, other):
        """Guards against a late answer that is given up for an upstream that has none."""

        async def answer_late(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(PAUSE_S)
            await answer_whole(request, writer)

        async def test(rig: Rig) -> None:
            others = [] if other is None else [OTHERS[other]]

            async def call(entry: RunningEntry):
                return await entry.call("/safe/x", method="GET")

            task, entry = await start_call(rig, answer_late, others, call)
            assert (await task)[:2] == (200, b"done r1")
            await check_released(rig, entry)

        run_rig(test)

    def test_stream_is_whole_without_a_retry_budget(self):
        """Guards against a stream that is cut since it may not be sent again."""

        async def test(rig: Rig) -> None:
            script = write_stream(3, PAUSE_S)
            task, entry = await start_call(rig, script, [write_stream()], read_stream)
            for budget in entry.instance.forwarder._budgets.values():
                while budget.spend(entry.instance.forwarder._now_s(), 1):
                    pass
            assert await task == (WHOLE, True)
            assert count_received(rig) == [1, 0]

        run_rig(test)

    def test_stream_that_pauses_twice_is_whole(self):
        """Guards against a second pause that ends a stream which a first one did not."""

        async def pause_twice(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(format_stream_head(request))
            for number in range(1, EVENTS + 1):
                if number in (3, 6):
                    await asyncio.sleep(1.1)
                writer.write(format_chunk(format_event(number)))
                await writer.drain()
            writer.write(format_chunk(b""))

        async def test(rig: Rig) -> None:
            task, _ = await start_call(rig, pause_twice, [refuse], read_stream)
            assert await task == (WHOLE, True)

        run_rig(test)


class TestTakeover:
    """Tests that another upstream serves the call of one that stays silent."""

    @pytest.mark.parametrize("pause_after", [0, 3])
    def test_other_engine_finishes_the_stream(self, pause_after):
        """Guards against a stream that waits for an engine that is gone."""

        async def test(rig: Rig) -> None:
            script = write_stream(pause_after, 30.0)
            task, entry = await start_call(rig, script, [write_stream()], read_stream)
            assert await task == (WHOLE, True)
            assert count_received(rig) == [1, 1]
            assert rig.upstreams[1].received[0].get("last-event-id") == (
                str(pause_after) if pause_after else ""
            )
            await check_released(rig, entry)

        run_rig(test)

    def test_engine_that_was_full_is_asked_again(self):
        """Guards against a stream that is lost although a place becomes free in time."""
        asked = []

        async def refuse_first(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            asked.append(request.id)
            await (refuse if len(asked) == 1 else write_stream())(request, writer)

        async def test(rig: Rig) -> None:
            script = write_stream(3, 30.0)
            task, _ = await start_call(rig, script, [refuse_first], read_stream)
            assert await task == (WHOLE, True)

        run_rig(test)

    def test_other_engine_goes_on_if_the_silent_one_breaks_off(self):
        """Guards against a stream that is cut while another engine is about to take it."""

        async def pause_and_break_off(request, writer: asyncio.StreamWriter) -> None:
            writer.write(format_stream_head(request) + format_chunk(format_event(1)))
            await writer.drain()
            await asyncio.sleep(1.2)
            reset_connection(writer)

        async def test(rig: Rig) -> None:
            task, entry = await start_call(
                rig, pause_and_break_off, [write_stream(1, 0.8)], read_stream
            )
            assert await task == (WHOLE, True)
            assert count_received(rig) == [1, 1]
            await check_released(rig, entry)

        run_rig(test)

    def test_first_engine_that_goes_on_is_not_given_up(self):
        """Guards against events of two runs that are mixed when both engines write."""

        async def test(rig: Rig) -> None:
            first = write_stream(3, 1.2, quick=False)
            task, entry = await start_call(rig, first, [write_stream(3, 0.6)], read_stream)
            assert await task == (WHOLE, True)
            assert count_received(rig) == [1, 1]
            await check_released(rig, entry)

        run_rig(test)

    def test_no_more_upstreams_than_the_route_allows(self):
        """Guards against a call that runs at a third upstream after two silent ones."""

        async def test(rig: Rig) -> None:
            others = [say_nothing, write_stream()]
            task, _ = await start_call(rig, say_nothing, others, read_stream_or_none)
            await task
            assert sum(count_received(rig)) == 2

        run_rig(test)

    def test_third_upstream_serves_if_the_route_allows_it(self):
        """Guards against a call that waits for a second silent upstream until its deadline."""

        async def test(rig: Rig) -> None:
            upstream = await rig.add_upstream("u1", say_nothing)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            task = asyncio.ensure_future(entry.call("/safe/x", method="GET"))
            await wait_until(lambda: upstream.received)
            second = await rig.add_upstream("u2", say_nothing)
            await wait_until(lambda: second.received)
            await rig.add_upstream("u3", answer_whole)
            assert (await task)[:2] == (200, b"done r1")

        route = build_route("safe", "safe", attempts=3)
        run_rig(test, build_config(routes=[route]))

    def test_caller_that_leaves_ends_both_sends(self):
        """Guards against upstreams that work on for a caller that is gone, and held places."""

        async def test(rig: Rig) -> None:
            task, entry = await start_call(rig, say_nothing, [say_nothing], read_stream_or_none)
            await wait_until(lambda: rig.upstreams[1].received)
            task.cancel()
            await wait_until(lambda: all(found.closed_connections for found in rig.upstreams))
            await check_released(rig, entry)

        run_rig(test)

    def test_request_that_may_run_once_is_sent_once(self):
        """Guards against a second run of a request because of a silent upstream."""

        async def test(rig: Rig) -> None:
            async def call(entry: RunningEntry):
                return await entry.call("/unsafe/x")

            task, _ = await start_call(rig, say_nothing, [answer_whole], call)
            assert (await task)[0] == 504
            assert count_received(rig) == [1, 0]

        run_rig(test)

    def test_end_of_the_other_engine_is_evidence(self):
        """Guards against a deadly part that is not noticed since its first engine was silent."""

        async def test(rig: Rig) -> None:
            suspected: list[str] = []

            async def call(entry: RunningEntry):
                entry.instance.quarantine.changes.subscribe(suspected.append)
                return await read_stream(entry, Prefix_Hash="0:400,dead:60,1:40")

            task, _ = await start_call(rig, write_stream(1, PAUSE_S), [], call)
            engine = DeadlyEngine("u2", lambda prompt: True, down_s=5.0)
            rig.add_stop_function(engine.close)
            await engine.upstream.start()
            rig.store.put("servers", "u2", engine.upstream.describe("desk"))
            assert await task == (WHOLE, True)
            assert engine.ends == 1
            assert "desk/dead" in suspected

        run_rig(test)


async def read_stream_or_none(entry: RunningEntry) -> tuple[bytes, bool] | None:
    """Return what a caller receives, or None if it gets no stream."""
    try:
        return await read_stream(entry)
    except AssertionError:
        return None
