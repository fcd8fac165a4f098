"""Tests hedges: what they gain in virtual time, and calls through an instance on loopback."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

import pytest

from bench.memory import VirtualLoop
from jayyoke.core.entrysettings import Bounds, HedgeSettings
from jayyoke.core.route import Route, RouteKind, ServiceShare
from jayyoke.edge.assignment import Assignment
from jayyoke.edge.outcome import CANCELLED
from jayyoke.edge.progress import Progress
from jayyoke.edge.retrybudget import RetryBudget
from jayyoke.edge.stream import EventRelay
from jayyoke.edge.takeover import TakenOver, Takeover
from jayyoke.hedging.hedger import Hedger
from jayyoke.utils.heldbytes import HeldBytes
from standin.entryupstream import answer_whole
from tests.entry_silence_test import (
    OTHERS,
    WHOLE,
    check_released,
    count_received,
    say_nothing,
    start_call,
    write_stream,
)
from tests.entryrig import Rig, run_rig, wait_until
from tests.streams import read_stream

SHARE = 0.06
CALLS = 6000
GAP_S = 0.005


class _Upstreams:
    """Stands in for placement and sender: answers after drawn times, and counts the sends."""

    instances = 1

    def __init__(self, slow_share: float):
        self.slow_share = slow_share
        self.source = random.Random(7)
        self.budget = RetryBudget(Bounds(), -100.0)
        self.hedges = 0
        self.last_hedge_s = 0.0
        self.changed_s = 0.0

    def draw_s(self) -> float:
        usual_s = self.source.uniform(0.01, 0.02)
        slow_s = self.source.uniform(0.1, 0.35)
        return slow_s if self.source.random() < self.slow_share else usual_s

    async def assign(self, *_: object) -> Assignment:
        return Assignment(SimpleNamespace(incarnation="u2", name="u2"))

    async def start(self, call: object, send: object, progress: object) -> None:
        self.hedges += 1
        self.last_hedge_s = asyncio.get_running_loop().time()
        took_s = self.draw_s()

        async def receive(_: object) -> object:
            await asyncio.sleep(took_s)
            return SimpleNamespace(status=200)

        send.connection = SimpleNamespace(receive=receive)

    def record_head(self, *_: object) -> None:
        return None

    def finish(self, call: object, send: object, outcome: object, progress: object) -> None:
        assert outcome is CANCELLED


async def _serve(upstreams: _Upstreams, hedger: Hedger, takeover: Takeover, route: Route) -> float:
    """Serve one call as the forwarder does; return the seconds that it took."""
    now_s = asyncio.get_running_loop().time
    began_s = now_s()
    call = SimpleNamespace(
        route=route, deadline_s=began_s + 3.0, head=SimpleNamespace(request_id="r")
    )
    hedger.add_request(route, began_s)
    upstreams.budget.add_request(began_s)
    progress = Progress("desk", EventRelay(None, HeldBytes(1 << 20)), upstreams.budget)
    send = progress.begin_send(Assignment(SimpleNamespace(incarnation="u1", name="u1")), began_s)
    answer = asyncio.ensure_future(asyncio.sleep(upstreams.draw_s()))
    caller = SimpleNamespace(started=False)
    try:
        await takeover.wait(call, caller, send, progress, lambda: asyncio.shield(answer), 0.4)
    except TakenOver:
        assert progress.replacement is not None
    ended_s = now_s()
    hedger.record_answer(route, "desk", ended_s - began_s, progress.late, ended_s)
    return ended_s - began_s


def simulate(slow_share: float, share: float = SHARE, kind: RouteKind = RouteKind.SAFE):
    """Return the sorted times of calls after a warm-up with 3% slow answers, and the upstreams."""
    route = Route("r", "", "/", kind, (ServiceShare("desk", 1.0),), 3.0, 0.4, attempts=2)
    upstreams = _Upstreams(0.03)
    loop = VirtualLoop()
    quarantine = SimpleNamespace(find_wait_s=lambda _: None)
    hedger = Hedger(HedgeSettings(share))
    takeover = Takeover(upstreams, upstreams, quarantine, loop.time, None, hedger)

    async def main() -> list[float]:
        times = []
        for count in (1000, CALLS):
            tasks = []
            for _ in range(count):
                tasks.append(asyncio.ensure_future(_serve(upstreams, hedger, takeover, route)))
                await asyncio.sleep(GAP_S)
            times = await asyncio.gather(*tasks)
            if count != CALLS:
                upstreams.slow_share = slow_share
                upstreams.changed_s = loop.time()
                upstreams.hedges = 0
        await asyncio.sleep(1.0)
        return sorted(times)

    try:
        return loop.run_until_complete(main()), upstreams
    finally:
        loop.close()


class TestGain:
    def test_slowest_answers_get_shorter_within_the_share(self):
        """Guards against hedges without a gain, and against more extra work than allowed."""
        before, plain = simulate(0.03, share=0.0)
        after, hedged = simulate(0.03)
        assert plain.hedges == 0
        p99, p999 = int(0.99 * CALLS), int(0.999 * CALLS)
        assert before[p99] > 0.2
        assert after[p99] < 0.25 * before[p99]
        assert after[p999] < 0.75 * before[p999]
        assert 0 < hedged.hedges <= SHARE * (CALLS + 1000)

    def test_nothing_is_hedged_while_all_are_slow(self):
        """Guards against hedges that add work to a service that has too little room."""
        _, upstreams = simulate(1.0)
        # A few are sent until a tenth of the last 5 s, which were calm, is late.
        assert upstreams.hedges < 0.01 * CALLS
        assert upstreams.last_hedge_s < upstreams.changed_s + 1.0

    def test_unsafe_calls_are_never_hedged(self):
        """Guards against requests that run twice."""
        _, upstreams = simulate(0.03, kind=RouteKind.UNSAFE)
        assert upstreams.hedges == 0


async def _start_hedged(rig: Rig, first, call, path: str, share: float = 1.0, second=None):
    """Send a call whose first upstream is `first` to an instance that knows the usual times."""
    original = rig.add_entry

    async def add_entry():
        entry = await original(hedge=HedgeSettings(share))
        forwarder = entry.instance.forwarder
        route = Route(path, "", "", RouteKind.SAFE, (), 3.0, 0.4, attempts=2)
        for _ in range(100):
            forwarder._hedger.add_request(route, forwarder._now_s())
            forwarder._hedger.record_answer(route, "desk", 0.25, False, forwarder._now_s())
        return entry

    rig.add_entry = add_entry
    second = second or (write_stream() if path == "resume" else answer_whole)
    return await start_call(rig, first, [second], call)


def _list_suspended(entry) -> list[str]:
    placement = entry.instance.placement
    upstreams = entry.instance.view.upstreams.values()
    now_s = placement._now_s()
    return [u.name for u in upstreams if placement.tracker.get(u.incarnation).is_suspended(now_s)]


class TestInstance:
    @pytest.mark.parametrize("share", [1.0, 0.0])
    def test_hedge_of_a_whole_answer(self, share):
        """Guards against losers that run on, and sound upstreams suspended for losing."""

        async def test(rig: Rig) -> None:
            async def call(entry):
                return await entry.call("/safe/x", method="GET")

            task, entry = await _start_hedged(rig, say_nothing, call, "safe", share)
            assert (await task)[0] == 200
            await check_released(rig, entry)
            assert _list_suspended(entry) == ([] if share else ["u1"])
            won = entry.instance.metrics.hedges.labels("safe", "won")._value.get()
            assert won == (1 if share else 0)

        run_rig(test)

    def test_hedge_of_a_stream_before_its_first_event(self):
        """Guards against a stream that is cut or doubled when the hedge answers first."""

        async def test(rig: Rig) -> None:
            task, entry = await _start_hedged(rig, say_nothing, read_stream, "resume")
            assert await task == (WHOLE, True)
            assert count_received(rig) == [1, 1]
            assert _list_suspended(entry) == []
            await check_released(rig, entry)

        run_rig(test)

    @pytest.mark.parametrize("other", ["full", "breaks-off", "fails"])
    def test_failed_hedge_leaves_the_first_answer(self, other):
        """Guards against a hedge whose failure ends a call that its first upstream answers."""

        async def answer_late(request, writer) -> None:
            await asyncio.sleep(0.6)
            await answer_whole(request, writer)

        async def test(rig: Rig) -> None:
            async def call(entry):
                return await entry.call("/safe/x", method="GET")

            task, entry = await _start_hedged(rig, answer_late, call, "safe", second=OTHERS[other])
            assert (await task)[:2] == (200, b"done r1")
            assert entry.instance.metrics.hedges.labels("safe", "lost")._value.get() == 1
            await check_released(rig, entry)

        run_rig(test)

    def test_silent_first_upstream_is_suspended_beside_a_silent_hedge(self):
        """Guards against a hedge that hides an upstream which is silent for long."""

        async def test(rig: Rig) -> None:
            async def call(entry):
                return await entry.call("/safe/x", method="GET", Deadline_Ms="1500")

            task, entry = await _start_hedged(rig, say_nothing, call, "safe", second=say_nothing)
            await wait_until(lambda: "u1" in _list_suspended(entry) or task.done())
            assert not task.done()
            assert (await task)[0] == 504
            await check_released(rig, entry)

        run_rig(test)
