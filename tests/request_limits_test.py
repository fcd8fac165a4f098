"""Tests of jayyoked with upstreams that name how many requests they take."""

from __future__ import annotations

import asyncio
import itertools
import random
import time
from dataclasses import replace

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from bench.memory import MemoryObjects, MemoryTable
from jayyoke.core import code
from jayyoke.core.clock import ManualClock
from jayyoke.core.config import ClassKind, ClassSpec, TeamSpec
from jayyoke.core.error import AnswerMismatched, ConnectFailed, Refusal, RunState
from jayyoke.core.member import Member
from jayyoke.core.request import CallerRequest
from jayyoke.core.upstream import Upstream
from jayyoke.ops.claim import Claims
from jayyoke.ops.forward import UpstreamLimited, call_plain
from jayyoke.ops.membership import DEAD_AFTER_S, FORGET_AFTER_S, Membership
from jayyoke.ops.notices import UpstreamNotices
from jayyoke.ops.placement_test import _Fleet, _request
from jayyoke.ops.requestlimit import build_own_limits
from jayyoke.ops.settle import OnceRunner
from jayyoke.ops.steward_test import SERVICE
from jayyoke.platform.listing import ListedInstance
from standin.inprocessrouter import run_router
from standin.plain import PlainServer
from standin.scriptedengine import ScriptedEngine
from tests.notices_test import send_chat
from tests.recorded_test import build_request
from tests.recorded_test import run as run_virtually

ENGINES = ("e1", "e2", "e3")


class TestEngines:
    """Tests the limits that engines name in the answers to chats."""

    def test_chat_over_the_limit_goes_to_another_engine(self):
        """Guards against a chat that an engine gets beyond its limit, and against its blame."""

        async def main() -> None:
            limited = ScriptedEngine("e1", "limit:0.2 rest stop")
            other = ScriptedEngine("e2")
            async with run_router(limited, other) as router:
                await wait_between_slots(0.2)
                for _ in range(3):
                    assert (await send_chat(router))[0] == 200
                assert (len(limited.ports), len(other.ports)) == (1, 2)
                assert not router.placer.reported_lost

        asyncio.run(main())

    def test_resumed_stream_counts(self):
        """Guards against streams that are resumed at an engine beyond its limit."""

        async def main() -> None:
            limited = ScriptedEngine("e1", "limit:0.2 2 break")
            other = ScriptedEngine("e2")
            async with run_router(limited, other) as router:
                await wait_between_slots(0.2)
                status, body, _ = await send_chat(router)
                assert status == 200
                assert body.count(b'"content": "') >= 6
                assert (len(limited.ports), len(other.ports)) == (1, 1)

        asyncio.run(main())

    def test_chat_that_finds_no_room_has_not_run(self):
        """Guards against a refusal that says less than is known."""

        async def main() -> None:
            limited = ScriptedEngine("e1", "limit:0.2 rest stop")
            async with run_router(limited) as router:
                await wait_between_slots(0.2)
                assert (await send_chat(router))[0] == 200
                status, _, headers = await send_chat(router)
                assert status == 503
                assert headers["Jayyoke-Run"] == RunState.NOT_RUN.value
                assert int(headers["Retry-After"]) >= 1
                assert len(limited.ports) == 1

        asyncio.run(main())


async def wait_between_slots(limit_per_s: float) -> None:
    """Wait until no slot of a lone instance begins for half of the time between two."""
    interval_s = 1.0 / limit_per_s
    while time.time() % interval_s > interval_s / 2:
        await asyncio.sleep(0.02)


class TestPlacing:
    """Tests that requests are placed where limits leave room."""

    def test_chats_go_to_engines_with_room(self):
        """Guards against placing on an engine whose limit leaves no room for this instance."""

        async def main() -> None:
            fleet = _Fleet()
            placer = fleet.nodes["n0"].placer
            placer.request_limits.record("e2", 0.2)
            for number in range(30):
                request = _request(f"c{number}", prompt=1)
                placement = await placer.place(request)
                assert placement.upstream.name != "e2"
                placer.release(request, placement)

        asyncio.run(main())

    def test_chat_waits_for_a_slot_that_comes_soon(self):
        """Guards against a refusal while an engine takes the next request in half a second."""

        async def main() -> None:
            fleet = _Fleet()
            placer = fleet.nodes["n0"].placer
            for engine in ENGINES:
                placer.request_limits.record(engine, 2.0)
            began_s = fleet.clock.now_s()
            await placer.place(_request())
            assert 0.0 < fleet.clock.now_s() - began_s <= 0.6

        asyncio.run(main())

    @pytest.mark.parametrize("place", ["chat", "plain"])
    def test_callers_are_refused_at_once_and_return_one_after_the_other(self, place):
        """Guards against callers that wait in vain, and against those that return together."""

        async def main() -> None:
            fleet = _Fleet()
            placer = fleet.nodes["n0"].placer
            for engine in ENGINES:
                placer.request_limits.record(engine, 0.1)
            began_s = fleet.clock.now_s()
            returns = []
            for number in range(4):
                request = _request(f"c{number}")
                if place == "plain":
                    service = replace(SERVICE, protocol="plain")
                    request = replace(request, service=service)
                with pytest.raises(Refusal) as caught:
                    await placer.place(request)
                refusal = caught.value
                assert (refusal.code, refusal.run_state) == (code.OVERLOADED, RunState.NOT_RUN)
                returns.append(refusal.retry_after_s)
            assert fleet.clock.now_s() == began_s
            # Engines with a limit of 0.1/s get a request in five seconds each.
            gaps_s = [later - earlier for earlier, later in itertools.pairwise(returns)]
            assert all(gap_s > 1.0 for gap_s in gaps_s)

        asyncio.run(main())

    def test_copy_is_not_sent_beyond_the_limit(self):
        """Guards against shadow copies that use up what an engine takes."""

        async def main() -> None:
            placer = _Fleet().nodes["n0"].placer
            placer.request_limits.record("e1", 0.2)
            assert await placer.place_on(_request(), Upstream("e1", "pool", "a", "e1")) is None
            assert await placer.place_on(_request(), Upstream("e2", "pool", "a", "e2")) is not None

        asyncio.run(main())


class TestPlainServices:
    """Tests the limits that plain services name."""

    def run(self, test) -> None:
        async def main() -> None:
            plain = PlainServer("p1")
            async with TestServer(plain.build()) as server, aiohttp.ClientSession() as http:
                clock = ManualClock(10.0)
                limits = build_own_limits(clock.now_s)
                notices = UpstreamNotices(clock.now_s)
                upstream = Upstream("p1", "desk", "a", f"127.0.0.1:{server.port}")
                spec = ClassSpec("check", ClassKind.LOOKUP, "desk", 9.0)
                request = CallerRequest("r1", TeamSpec("t", ""), spec, SERVICE, 10.0, 19.0)
                await test(
                    plain,
                    clock,
                    limits,
                    lambda: call_plain(http, upstream, request, 5.0, notices, limits),
                )

        asyncio.run(main())

    def test_call_that_was_placed_before_is_not_sent(self):
        """Guards against a once-only request that is sent after its service named a limit."""

        async def test(plain, clock, limits, call) -> None:
            plain.faults.limit_per_s = 0.5
            await call()
            with pytest.raises(ConnectFailed):
                await call()
            assert plain.received == 1
            clock.advance(2.1)
            await call()
            assert plain.received == 2

        self.run(test)

    def test_answer_without_the_header_ends_the_limit(self):
        """Guards against a limit that outlives what the service says."""

        async def test(plain, clock, limits, call) -> None:
            plain.faults.limit_per_s = 0.5
            await call()
            plain.faults.limit_per_s = -1.0
            clock.advance(2.1)
            await call()
            assert limits.find_limit("p1") is None
            for _ in range(5):
                await call()

        self.run(test)

    def test_answer_to_another_request_ends_nothing(self):
        """Guards against a limit that ends by the answer of a proxy or of another upstream."""

        async def test(plain, clock, limits, call) -> None:
            plain.faults.limit_per_s = 0.5
            await call()
            plain.faults.limit_per_s, plain.faults.cross = -1.0, 1
            clock.advance(2.1)
            with pytest.raises(AnswerMismatched):
                await call()
            assert limits.find_limit("p1") == 0.5

        self.run(test)

    def test_once_only_call_that_finds_no_room_tells_when_to_return(self):
        """Guards against callers of once-only classes that return before there is room."""

        class FullService:
            async def place(self, request, exclude):
                if exclude:
                    raise Refusal(503, code.OVERLOADED, "no room", RunState.NOT_RUN, 7.0)
                return Upstream("p1", "desk", "a", "")

            async def send(self, upstream, request, timeout_s):
                raise UpstreamLimited("p1 takes no more requests now")

        async def main() -> None:
            table = MemoryTable(random.Random(1))
            clock = ManualClock()
            claims = Claims(table, MemoryObjects(), table.commit, clock, "a")
            with pytest.raises(Refusal) as caught:
                await OnceRunner(claims, FullService(), clock).run(build_request(ClassKind.ONCE))
            assert (caught.value.run_state, caught.value.retry_after_s) == (RunState.NOT_RUN, 7.0)

        run_virtually(main())

    def test_call_that_was_not_sent_uses_no_slot(self):
        """Guards against a service that gets less than it takes after failed connections."""

        async def main() -> None:
            clock = ManualClock(10.0)
            limits = build_own_limits(clock.now_s)
            limits.record("p1", 0.5)
            clock.advance(2.1)
            upstream = Upstream("p1", "desk", "a", "127.0.0.1:1")
            spec = ClassSpec("check", ClassKind.LOOKUP, "desk", 9.0)
            request = CallerRequest("r1", TeamSpec("t", ""), spec, SERVICE, 10.0, 19.0)
            notices = UpstreamNotices(clock.now_s)
            async with aiohttp.ClientSession() as http:
                with pytest.raises(ConnectFailed):
                    await call_plain(http, upstream, request, 5.0, notices, limits)
            assert limits.may_send("p1")

        asyncio.run(main())


class TestSharing:
    """Tests which instances share a limit."""

    def test_instance_that_is_cut_off_keeps_its_share(self):
        """Guards against an instance that sends what all may send once it reaches no other."""
        clock = ManualClock(100.0)
        membership = Membership(Member("n0", "a", 1, "127.0.0.1:1"), clock)
        listed = [ListedInstance(f"n{number}", "", f"127.0.0.1:{number}") for number in range(3)]
        membership.update_listing(listed)
        membership.record_contact(Member("n1", "a", 1, "127.0.0.1:2"))
        for _ in range(int(DEAD_AFTER_S + FORGET_AFTER_S) + 2):
            clock.advance(1.0)
            membership.check()
        assert len(membership.members()) == 1
        assert sorted(membership.list_known()) == ["n0", "n1", "n2"]
