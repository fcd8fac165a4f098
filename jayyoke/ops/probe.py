"""Probes of the engines that this instance is the steward of."""

from __future__ import annotations

import asyncio
import contextlib
from typing import Any

import aiohttp
import xxhash
from absl import logging

from jayyoke.core.clock import Clock
from jayyoke.core.protocol import find_protocol
from jayyoke.core.upstream import Upstream, UpstreamState
from jayyoke.ops.breaker import Breaker
from jayyoke.ops.events import CacheFollower
from jayyoke.ops.health import Health
from jayyoke.ops.steward import Steward

PROBE_INTERVAL_S = 2.5
# Cache events may come 10 s late, so every second probe, 5 s apart, also asks for them.
EVENTS_EVERY = 2
PROBE_TIMEOUT_S = 1.0
# Engines need none of the headers that the client adds by itself, a quarter of a probe's bytes.
UNSENT_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")
TICK_S = 0.25
MAX_BODY_BYTES = 1 << 20


MAX_VERSION_CHARACTERS = 64


def hash_incarnation(incarnation: str) -> int:
    """Return the 63-bit number of an engine's incarnation; 0 stands for none."""
    return xxhash.xxh3_64_intdigest(incarnation.encode()) >> 1 if incarnation else 0


class Prober:
    """Probes engines in turn and tells health and steward what was found."""

    def __init__(
        self,
        http: aiohttp.ClientSession,
        clock: Clock,
        health: Health,
        steward: Steward,
        follower: CacheFollower,
    ):
        self._http = http
        self._clock = clock
        self._health = health
        self._steward = steward
        self._follower = follower
        self._timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        self._breakers: dict[str, Breaker] = {}
        self._due_s: dict[str, float] = {}
        self._turns: dict[str, int] = {}
        self._wake = asyncio.Event()
        self._running: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        steward.probes.subscribe(self.request)

    def has_probed_all(self) -> bool:
        """Tell whether every engine that this instance is to probe was probed."""
        for engine in self._health.names():
            upstream = self._health.find(engine)
            service = None if upstream is None else self._health.service(upstream.service)
            if service is None or not find_protocol(service.protocol).reports_load:
                continue
            if self._steward.owns(engine) and engine not in self._breakers:
                return False
        return True

    def request(self, engine: str) -> None:
        """Probe an engine at the next tick."""
        self._due_s[engine] = 0.0
        self._wake.set()

    async def run(self) -> None:
        """Probe each owned engine about every 2.5 s until cancelled."""
        while True:
            self._start_due()
            self._follower.replay()
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), TICK_S)

    def record(self, engine: str, body: dict[str, Any] | None) -> None:
        """Judge the answer of a probe; None means that none came in time."""
        now_s = self._clock.now_s()
        breaker = self._breakers.setdefault(engine, Breaker())
        if body is None:
            breaker.record_failure(now_s)
            if breaker.open:
                self._health.record_probe(engine, UpstreamState.DOWN)
            return
        incarnation = hash_incarnation(str(body.get("incarnation", "")))
        warm = float(body.get("uptime_s", 0.0)) > 0 and self._was_up(engine, body)
        if self._steward.confirm(engine, incarnation, warm):
            self._follower.forget(engine)
        if breaker.record_success(now_s):
            logging.info("engine %s is back after %.1f s", engine, breaker.hold_s)
            self._steward.chill(engine)
        if breaker.open:
            return
        self._health.versions.learn(engine, str(body.get("version", ""))[:MAX_VERSION_CHARACTERS])
        # An engine that loads a version refuses work until it is done.
        busy = body.get("state") in ("leaving", "loading")
        leaving = busy or body.get("leaving") is True
        state = UpstreamState.LEAVING if leaving else UpstreamState.LIVE
        self._health.record_probe(engine, state)

    def _was_up(self, engine: str, body: dict[str, Any]) -> bool:
        upstream = self._health.find(engine)
        service = None if upstream is None else self._health.service(upstream.service)
        return service is not None and float(body.get("uptime_s", 0.0)) >= service.warm_up_s

    def _start_due(self) -> None:
        now_s = self._clock.now_s()
        for engine in self._health.names():
            upstream = self._health.find(engine)
            service = None if upstream is None else self._health.service(upstream.service)
            if (
                upstream is None
                or service is None
                or not find_protocol(service.protocol).reports_load
            ):
                continue
            if not self._steward.owns(engine):
                self._health.record_probe(engine, None)
                self._breakers.pop(engine, None)
                self._due_s.pop(engine, None)
                self._turns.pop(engine, None)
                self._follower.forget(engine)
                continue
            self._steward.take_over([engine])
            if now_s < self._due_s.get(engine, 0.0) or engine in self._running:
                continue
            self._due_s[engine] = now_s + PROBE_INTERVAL_S
            self._running.add(engine)
            task = asyncio.create_task(self._probe(upstream))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _probe(self, upstream: Upstream) -> None:
        try:
            self.record(upstream.name, await self._read(f"{upstream.url}/load"))
            turn = self._turns[upstream.name] = self._turns.get(upstream.name, -1) + 1
            if turn % EVENTS_EVERY:
                return
            cursor = self._follower.cursor(upstream.name)
            events = await self._read(f"{upstream.url}/events?after={cursor}")
            if events is not None:
                self._follower.accept(upstream.name, events)
        except (ValueError, KeyError, TypeError, AttributeError) as error:
            logging.warning("probe of engine %s: malformed answer: %r", upstream.name, error)
        finally:
            self._running.discard(upstream.name)

    async def _read(self, url: str) -> dict[str, Any] | None:
        try:
            async with self._http.get(
                url, timeout=self._timeout, skip_auto_headers=UNSENT_HEADERS
            ) as answer:
                if answer.status != 200 or (answer.content_length or 0) > MAX_BODY_BYTES:
                    return None
                body = await answer.json(content_type=None)
        except (TimeoutError, aiohttp.ClientError, ValueError):
            return None
        return body if isinstance(body, dict) else None
