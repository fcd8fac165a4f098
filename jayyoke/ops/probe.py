"""Probes of the engines whose steward is this instance."""

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
from jayyoke.ops.cacheevents import CacheFollower
from jayyoke.ops.health import Health
from jayyoke.ops.steward import Steward
from jayyoke.utils.connector import read_limited
from jayyoke.utils.jsontext import parse_json

PROBE_INTERVAL_S = 2.5
# Cache events may arrive 10 s late, so fetching them with every second probe, 5 s apart, suffices.
PROBES_PER_EVENTS_POLL = 2
PROBE_TIMEOUT_S = 1.0
# aiohttp adds these headers by itself. Engines ignore them, and they are a quarter of a probe's
# bytes.
UNSENT_HEADERS = ("Accept", "Accept-Encoding", "User-Agent")
SCHEDULE_INTERVAL_S = 0.25
MAX_BODY_BYTES = 1 << 20


MAX_VERSION_CHARACTERS = 64


def hash_incarnation(incarnation: str) -> int:
    """Return the 63-bit hash of an engine's incarnation, or 0 if it has none."""
    return xxhash.xxh3_64_intdigest(incarnation.encode()) >> 1 if incarnation else 0


class Prober:
    """Probes engines periodically and reports the results to health and steward."""

    def __init__(
        self,
        http: aiohttp.ClientSession,
        clock: Clock,
        health: Health,
        steward: Steward,
        cache_follower: CacheFollower,
    ):
        self._http = http
        self._clock = clock
        self._health = health
        self._steward = steward
        self._cache_follower = cache_follower
        self._timeout = aiohttp.ClientTimeout(total=PROBE_TIMEOUT_S)
        self._breakers: dict[str, Breaker] = {}
        self._due_s: dict[str, float] = {}
        self._probe_numbers: dict[str, int] = {}
        self._wake = asyncio.Event()
        self._running: set[str] = set()
        self._tasks: set[asyncio.Task[None]] = set()
        steward.probes.subscribe(self.request)

    def has_probed_all(self) -> bool:
        """Tell whether every engine that this instance has to probe was probed at least once."""
        for engine in self._health.names():
            upstream = self._health.find(engine)
            service = None if upstream is None else self._health.find_service(upstream.service)
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
            self._cache_follower.replay()
            self._wake.clear()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._wake.wait(), SCHEDULE_INTERVAL_S)

    def record(self, engine: str, body: dict[str, Any] | None) -> None:
        """Record the result of a probe; None means that no answer came in time."""
        now_s = self._clock.now_s()
        breaker = self._breakers.setdefault(engine, Breaker())
        if body is None:
            breaker.record_failure(now_s)
            if breaker.open:
                self._health.record_probe(engine, UpstreamState.DOWN)
            return
        incarnation = hash_incarnation(str(body.get("incarnation", "")))
        warm = float(body.get("uptime_s", 0.0)) > 0 and self._is_warm(engine, body)
        if self._steward.confirm(engine, incarnation, warm):
            self._cache_follower.forget(engine)
            self._health.notices.forget(engine)
        if breaker.record_success(now_s):
            logging.info("engine %s is back after %.1f s", engine, breaker.hold_s)
            self._steward.restart_slow_start(engine)
        if breaker.open:
            return
        self._health.versions.learn(engine, str(body.get("version", ""))[:MAX_VERSION_CHARACTERS])
        # An engine refuses work while it loads a version.
        refusing_work = body.get("state") in ("leaving", "loading")
        leaving = refusing_work or body.get("leaving") is True
        state = UpstreamState.LEAVING if leaving else UpstreamState.LIVE
        self._health.record_probe(engine, state)

    def _is_warm(self, engine: str, body: dict[str, Any]) -> bool:
        upstream = self._health.find(engine)
        service = None if upstream is None else self._health.find_service(upstream.service)
        return service is not None and float(body.get("uptime_s", 0.0)) >= service.warm_up_s

    def _start_due(self) -> None:
        now_s = self._clock.now_s()
        for engine in self._health.names():
            upstream = self._health.find(engine)
            service = None if upstream is None else self._health.find_service(upstream.service)
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
                self._probe_numbers.pop(engine, None)
                self._cache_follower.forget(engine)
                continue
            self._steward.open_accounts([engine])
            if now_s < self._due_s.get(engine, 0.0) or engine in self._running:
                continue
            self._due_s[engine] = now_s + PROBE_INTERVAL_S
            self._running.add(engine)
            task = asyncio.create_task(self._probe(upstream))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _probe(self, upstream: Upstream) -> None:
        try:
            self.record(upstream.name, await self._fetch_json(f"{upstream.url}/load"))
            number = self._probe_numbers[upstream.name] = (
                self._probe_numbers.get(upstream.name, -1) + 1
            )
            if number % PROBES_PER_EVENTS_POLL:
                return
            cursor = self._cache_follower.cursor(upstream.name)
            events = await self._fetch_json(f"{upstream.url}/events?after={cursor}")
            if events is not None:
                self._cache_follower.accept(upstream.name, events)
        except (ValueError, KeyError, TypeError, AttributeError, OverflowError) as error:
            logging.warning("probe of engine %s: malformed answer: %r", upstream.name, error)
        finally:
            self._running.discard(upstream.name)

    async def _fetch_json(self, url: str) -> dict[str, Any] | None:
        try:
            async with self._http.get(
                url, timeout=self._timeout, skip_auto_headers=UNSENT_HEADERS
            ) as answer:
                if answer.status != 200 or (answer.content_length or 0) > MAX_BODY_BYTES:
                    return None
                body = parse_json(await read_limited(answer, MAX_BODY_BYTES))
        except (TimeoutError, aiohttp.ClientError, ValueError, RecursionError):
            return None
        return body if isinstance(body, dict) else None
