"""Answer times of plain services whose servers have spells, by what instances weigh.

Each instance knows only its own requests in flight and its own answer times.
"""

from __future__ import annotations

import heapq
import random
from collections import deque
from dataclasses import dataclass, field

from bench.result import Result
from bench.spells import SpeedPlan, Spells
from jayyoke.core.upstream import Upstream, UpstreamState
from jayyoke.edge.choose import Candidate, choose_upstreams
from jayyoke.edge.track import UpstreamStats

WORK_S = 0.06
SLOTS = 6
AIM_S = 0.16
LENGTH_S = 20.0
BEGINS_S = 2.0
SPEEDS = (1.0, 1.0, 1.3)
UNKNOWN_LATENCY_S = 0.05
AVERAGE, BY_AGE = "average alone", "weighed by age"
# Instances, servers and the share of the servers' slots in use.
CASES = ((6, 5, 0.4), (6, 5, 0.65), (60, 8, 0.4), (60, 8, 0.65), (195, 20, 0.4))


@dataclass(slots=True)
class Server:
    """Runs requests in its slots; the others wait in order."""

    upstream: Upstream
    plan: SpeedPlan
    running: int = 0
    waiting: deque[tuple[float, int]] = field(default_factory=deque)


class PlainFleet:
    """Simulates instances and servers of one plain service, event by event."""

    def __init__(self, instances: int, servers: int, use: float, policy: str, seed: int):
        self._source = random.Random(seed)
        self._by_age = policy == BY_AGE
        self._rate = use * servers * SLOTS / WORK_S
        self._servers = [_build_server(number, seed) for number in range(servers)]
        self._stats = [[UpstreamStats() for _ in range(servers)] for _ in range(instances)]
        # Times of events with the server and request that end, or None for an arrival.
        self._events: list[tuple[float, int, tuple[int, float, int] | None]] = []
        self._numbers = 0

    def run(self) -> list[float]:
        """Return the answer times in seconds, in order."""
        found_s = []
        self._push(0.0, None)
        while self._events:
            now_s, _, ended = heapq.heappop(self._events)
            if now_s > LENGTH_S:
                break
            if ended is None:
                self._push(now_s + self._source.expovariate(self._rate), None)
                self._arrive(now_s)
                continue
            number, arrived_s, instance = ended
            self._end(number, arrived_s, instance, now_s)
            if arrived_s > BEGINS_S:
                found_s.append(now_s - arrived_s)
        return sorted(found_s)

    def _push(self, at_s: float, ended: tuple[int, float, int] | None) -> None:
        self._numbers += 1
        heapq.heappush(self._events, (at_s, self._numbers, ended))

    def _arrive(self, now_s: float) -> None:
        instance = self._source.randrange(len(self._stats))
        candidates = [self._describe(instance, n, now_s) for n in range(len(self._servers))]
        choice = choose_upstreams(candidates, "", 0, False, self._source, 2.0, 0.0, True)
        number = int(choice.order[0].upstream.name)
        self._stats[instance][number].in_flight += 1
        server = self._servers[number]
        if server.running < SLOTS:
            self._start(number, now_s, instance, now_s)
        else:
            server.waiting.append((now_s, instance))

    def _describe(self, instance: int, number: int, now_s: float) -> Candidate:
        stats = self._stats[instance][number]
        return Candidate(
            self._servers[number].upstream,
            0.0,
            stats.in_flight,
            0,
            stats.latency.value or UNKNOWN_LATENCY_S,
            last_answer=stats.find_last_answer(now_s) if self._by_age else None,
        )

    def _start(self, number: int, arrived_s: float, instance: int, now_s: float) -> None:
        server = self._servers[number]
        server.running += 1
        work_s = WORK_S * self._source.uniform(0.7, 1.3)
        self._push(server.plan.find_end_s(now_s, work_s), (number, arrived_s, instance))

    def _end(self, number: int, arrived_s: float, instance: int, now_s: float) -> None:
        server = self._servers[number]
        server.running -= 1
        stats = self._stats[instance][number]
        stats.in_flight -= 1
        stats.record_success(now_s - arrived_s, now_s)
        if server.waiting:
            self._start(number, *server.waiting.popleft(), now_s)


def _build_server(number: int, seed: int) -> Server:
    name = str(number)
    upstream = Upstream(name, "p", "a", "127.0.0.1:1", UpstreamState.LIVE, incarnation=name)
    source = random.Random(f"{seed}-{number}")
    return Server(upstream, SpeedPlan(source, Spells(), SPEEDS[number % len(SPEEDS)]))


def measure(seed: int) -> list[Result]:
    """Return the share of answers within the aim, and the 95th percentile."""
    results = []
    for instances, servers, use in CASES:
        case = f"{instances} instances, {servers} servers, {use:g}"
        for policy in (AVERAGE, BY_AGE):
            times_s = PlainFleet(instances, servers, use, policy, seed).run()
            share = sum(found_s <= AIM_S for found_s in times_s) / len(times_s)
            late_s = times_s[int(0.95 * len(times_s))]
            results.append(Result("within aim", case, policy, share, "share", None, seed))
            results.append(Result("95th percentile", case, policy, late_s, "s", None, seed))
    return results
