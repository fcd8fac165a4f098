"""Probes over HTTP against a small engine."""

from __future__ import annotations

import asyncio

import aiohttp
from aiohttp import web
from aiohttp.test_utils import TestServer

from jayyoke.core.clock import ManualClock
from jayyoke.core.config import ServiceSpec
from jayyoke.core.member import Member
from jayyoke.core.upstream import Upstream, UpstreamState
from jayyoke.ops.cacheevents import CacheFollower
from jayyoke.ops.cachelocations import hash_chat
from jayyoke.ops.health import Health
from jayyoke.ops.loads import Loads
from jayyoke.ops.probe import PROBE_INTERVAL_S, Prober
from jayyoke.ops.replay import Replay
from jayyoke.ops.steward import Steward
from jayyoke.platform.listing import Snapshot
from jayyoke.wire.gen.ttypes import CacheEvents, Reserve
from jayyoke.wire.local import LocalHub

SERVICE = ServiceSpec("pool", "engine", cold_work_tokens=1000, full_work_tokens=10_000)


class _Engine:
    """Answers probes as an engine does."""

    def __init__(self):
        self.load = {"incarnation": "i1", "uptime_s": 1e6, "state": "live"}
        self.events = []
        self.raw = None

    def build(self):
        app = web.Application()
        app.router.add_get("/load", self._answer_load)
        app.router.add_get("/events", self._answer_events)
        return app

    async def _answer_load(self, request):
        if self.raw is not None:
            return web.Response(body=self.raw)
        return web.json_response(self.load)

    async def _answer_events(self, request):
        after = int(request.query["after"])
        return web.json_response({"events": [e for e in self.events if e["n"] > after]})


class _Listing:
    def __init__(self, upstream):
        self.upstream = upstream

    async def read(self):
        return Snapshot((), (self.upstream,))


class _Case:
    def __init__(self, http, address):
        self.clock = ManualClock(100.0)
        self.peers = LocalHub().join(Member("me", "a", 1, ""))
        self.received_events = []
        self.peers.serve(CacheEvents, self._record_events)
        loads = Loads(self.clock)
        upstream = Upstream("e", "pool", "a", address)
        self.health = Health(_Listing(upstream), self.clock, loads, lambda name: SERVICE)
        self.steward = Steward(self.clock, self.peers, loads, self.health, frozenset)
        follower = CacheFollower(self.peers, Replay(self.peers, self.clock))
        self.prober = Prober(http, self.clock, self.health, self.steward, follower)
        # No result may depend on the speed of the machine.
        self.prober._timeout = aiohttp.ClientTimeout(total=30.0)

    async def _record_events(self, sender, message):
        self.received_events.extend((event.chat, event.tokens) for event in message.events)

    async def probe(self):
        """Advance the clock by one interval and run the probe that is due."""
        self.clock.advance(PROBE_INTERVAL_S)
        self.prober._start_due()
        await asyncio.gather(*self.prober._tasks)
        await asyncio.sleep(0)

    def reserve(self, request_id, work):
        return self.steward.reserve(Reserve(request_id, "e", work, "x", 1e9, 1e9, False))


def _run(check):
    async def run():
        engine = _Engine()
        async with TestServer(engine.build()) as server, aiohttp.ClientSession() as http:
            case = _Case(http, f"{server.host}:{server.port}")
            await case.health.refresh()
            await check(case, engine, server)

    asyncio.run(run())


class TestProbe:
    def test_restart_of_an_idle_engine_is_noticed_by_a_probe(self):
        """Guards against full load on an engine that became cold while no request ran (P2)."""

        async def check(case, engine, server):
            await case.probe()
            assert case.prober.has_probed_all()
            assert case.reserve("before", 9000).granted
            engine.load |= {"incarnation": "i2", "uptime_s": 0.5}
            await case.probe()
            assert case.reserve("after", 9000).reason == "slow-start"

        _run(check)

    def test_leaving_engine_is_no_candidate_after_one_interval(self):
        """Guards against new work on an engine 3 s after it reported that it leaves (P8)."""

        async def check(case, engine, server):
            await case.probe()
            assert [upstream.name for upstream in case.health.candidates("pool")] == ["e"]
            engine.load["state"] = "leaving"
            before_s = case.clock.now_s()
            await case.probe()
            assert case.health.candidates("pool") == ()
            assert case.reserve("r", 10).reason == "not-live"
            assert case.clock.now_s() - before_s <= 3.0

        _run(check)

    def test_events_reach_the_owner_once(self):
        """Guards against cache events that are lost or delivered twice."""

        async def check(case, engine, server):
            engine.events = [{"n": 1, "kind": "stored", "chat": "c", "tokens": 7}]
            await case.probe()
            await case.probe()
            assert case.received_events == [(hash_chat("c"), 7)]

        _run(check)

    def test_engine_with_malformed_or_no_answers_goes_down(self):
        """Guards against a malformed answer that ends the prober."""

        async def check(case, engine, server):
            await case.probe()
            for raw in (b"[1]", b"\xff{", b'{"uptime_s": "x"}'):
                engine.raw = raw
                await case.probe()
            engine.raw = None
            await server.close()
            for _ in range(3):
                await case.probe()
            assert case.health.find("e").state is UpstreamState.DOWN

        _run(check)
