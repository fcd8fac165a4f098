"""Surging teams: how many requests of the other teams are answered in target, by policy.

Virtual time, small instances, the real fair queue. A request holds its tokens for 2 ms each. Three
heavy teams send ten times as much for half of the run; the balancer spreads them over all instances
or sends them to two. Every other team reaches one instance.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.result import Result
from jayyoke.core.clock import ManualClock
from jayyoke.core.error import Refusal
from jayyoke.ops.fairness import HEADROOM, FairQueue, Ticket

INSTANCES = 6
CAPACITY_TOKENS = 12_000.0
TOKEN_S = 0.002
HEAVY = ("heavy-0", "heavy-1", "heavy-2")
LIGHT = tuple(f"light-{index}" for index in range(37))
HEAVY_RATE = 1.3
LIGHT_RATE = 0.26
SURGE = 10.0
HORIZON_S = 60.0
SURGE_S = (15.0, 45.0)
# First token within 1 s, of which 0.2 s are the engine's.
MAX_WAIT_S = 0.8
PREFILL_S = 0.2
DIGEST_S = 1.0
RUNS = 10
PRIORITIES = (3, 5, 7)


@dataclass(slots=True, eq=False)
class Job:
    """Holds one request of the trace; `started_s` stays None if it was shed."""

    at_s: float
    team: str
    instance: int
    cost: float
    priority: int
    started_s: float | None = None
    run: int = 0
    ticket: Ticket | None = None

    @property
    def answered(self) -> bool:
        """Tell whether the first token came in target."""
        return self.started_s is not None and self.started_s - self.at_s <= MAX_WAIT_S


@dataclass(slots=True)
class World:
    """Holds virtual time and its events."""

    clock: ManualClock = field(default_factory=ManualClock)
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    number: int = 0
    wasted: float = 0.0
    used: float = 0.0

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Do something at a time."""
        self.number += 1
        heapq.heappush(self.events, (time_s, self.number, action))

    def run(self) -> None:
        """Run all events in order of time."""
        while self.events:
            time_s, _, action = heapq.heappop(self.events)
            self.clock.advance(max(0.0, time_s - self.clock.now_s()))
            action()


def measure(seed: int) -> list[Result]:
    """Return the share of the other teams' requests answered in target for each policy."""
    rows = []
    for case, spread in (("surge over all instances", True), ("surge into two instances", False)):
        calm = _measure_policy(run_shared, spread, 1.0, seed)[0]
        rows.append(Result("fairness", f"{case}: no surge", "shared", calm, "share", None, seed))
        for name, policy in POLICIES.items():
            share, wasted = _measure_policy(policy, spread, SURGE, seed)
            # A surge is to cost the others nothing: the target is their share without it.
            target = calm if name == "shared" else None
            rows.append(Result("fairness", case, name, share, "share", target, seed, False))
            if name == "preemption":
                label = f"{case}: work lost"
                rows.append(Result("fairness", label, name, wasted, "share", None, seed))
    return rows


def _measure_policy(policy, spread: bool, surge: float, seed: int) -> tuple[float, float]:
    answered = total = 0
    used = wasted = 0.0
    for run in range(RUNS):
        jobs = build_trace(spread, surge, seed * 1000 + run)
        world = World()
        policy(world, jobs)
        world.run()
        used += world.used
        wasted += world.wasted
        for job in jobs:
            if job.team in HEAVY or not SURGE_S[0] <= job.at_s < SURGE_S[1]:
                continue
            total += 1
            answered += job.answered
    return answered / total, wasted / max(1.0, used + wasted)


def build_trace(spread: bool, surge: float, seed: int) -> list[Job]:
    """Return the requests of one run in order of time."""
    source = random.Random(seed)
    jobs = []
    for team in (*HEAVY, *LIGHT):
        heavy = team in HEAVY
        home = source.randrange(INSTANCES)
        at_s = 0.0
        while True:
            surging = heavy and SURGE_S[0] <= at_s < SURGE_S[1]
            rate = (HEAVY_RATE if heavy else LIGHT_RATE) * (surge if surging else 1.0)
            at_s += source.expovariate(rate)
            if at_s >= HORIZON_S:
                break
            instance = source.randrange(INSTANCES if spread else 2) if heavy else home
            cost = source.uniform(200, 2000)
            jobs.append(Job(at_s, team, instance, cost, source.choice(PRIORITIES)))
    jobs.sort(key=lambda job: job.at_s)
    return jobs


def run_unlimited(world: World, jobs: list[Job]) -> None:
    """Dispatch everything at once; engines share their speed between all running requests."""
    capacity = CAPACITY_TOKENS * INSTANCES
    running: list[tuple[float, int, str, Job]] = []
    held = progress = now_s = 0.0
    arrivals = iter(jobs)
    coming = next(arrivals, None)
    number = 0
    while coming is not None or running:
        speed = min(1.0, capacity / held) if held else 1.0
        ends_s = now_s + (running[0][0] - progress) / speed if running else float("inf")
        if coming is not None and coming.at_s <= ends_s:
            progress += (coming.at_s - now_s) * speed
            now_s = coming.at_s
            number += 1
            heapq.heappush(running, (progress + PREFILL_S, number, "first", coming))
            end = progress + coming.cost * TOKEN_S
            heapq.heappush(running, (max(end, progress + PREFILL_S), number, "whole", coming))
            held += coming.cost
            coming = next(arrivals, None)
            continue
        progress, _, kind, job = heapq.heappop(running)
        now_s = ends_s
        if kind == "first":
            job.started_s = now_s - PREFILL_S
        else:
            held -= job.cost


def run_fifo(world: World, jobs: list[Job]) -> None:
    """Queue in order of arrival at each instance."""
    _run_queues(world, jobs, share_loads=False, one_line=True, headroom=0.0)


def run_single(world: World, jobs: list[Job]) -> None:
    """Queue fairly at each instance alone."""
    _run_queues(world, jobs, share_loads=False)


def run_shared(world: World, jobs: list[Job]) -> None:
    """Queue fairly with the heavy teams of the peers' digests."""
    _run_queues(world, jobs, share_loads=True)


def run_packed(world: World, jobs: list[Job]) -> None:
    """Queue fairly with the heavy teams of the peers, without headroom."""
    _run_queues(world, jobs, share_loads=True, headroom=0.0)


def _run_queues(
    world: World,
    jobs: list[Job],
    share_loads: bool,
    one_line: bool = False,
    headroom: float = HEADROOM,
) -> None:
    queues = []
    for _ in range(INSTANCES):
        queues.append(FairQueue(lambda: CAPACITY_TOKENS, world.clock.now_s, headroom=headroom))
    for job in jobs:
        world.at(job.at_s, lambda job=job: arrive(job))

    def arrive(job: Job) -> None:
        queue = queues[job.instance]
        line = "all" if one_line else job.team
        ticket = Ticket(line, job.cost, job.at_s + MAX_WAIT_S)
        try:
            if queue.enter(ticket):
                begin(job, ticket)
                return
        except Refusal:
            return
        ticket.admit = lambda refusal: begin(job, ticket) if refusal is None else None

    def begin(job: Job, ticket: Ticket) -> None:
        job.started_s = world.clock.now_s()
        end_s = job.started_s + job.cost * TOKEN_S
        world.at(end_s, lambda: queues[job.instance].leave(ticket))

    def exchange() -> None:
        loads = [queue.build_team_loads() for queue in queues]
        for sender, sent in enumerate(loads):
            for receiver, queue in enumerate(queues):
                if receiver != sender:
                    queue.accept_team_loads(f"i{sender}", sent)

    if share_loads:
        for tick in range(int(HORIZON_S / DIGEST_S)):
            world.at(tick * DIGEST_S, exchange)


def run_preemption(world: World, jobs: list[Job]) -> None:
    """Preempt strictly by priority: lowest priority first, then the fewest victims.

    A victim loses its work and waits again; waiting requests go by priority, then by arrival.
    """
    running: list[list[Job]] = [[] for _ in range(INSTANCES)]
    waiting: list[list[tuple[int, float, int, Job]]] = [[] for _ in range(INSTANCES)]
    for job in jobs:
        world.at(job.at_s, lambda job=job: arrive(job))

    def arrive(job: Job) -> None:
        free = CAPACITY_TOKENS - sum(other.cost for other in running[job.instance])
        lower = [other for other in running[job.instance] if other.priority < job.priority]
        lower.sort(key=lambda other: (other.priority, -other.cost))
        victims = []
        for victim in lower:
            if free >= job.cost:
                break
            free += victim.cost
            victims.append(victim)
        if free < job.cost:
            wait(job)
            return
        for victim in victims:
            running[job.instance].remove(victim)
            world.wasted += (world.clock.now_s() - victim.started_s) / TOKEN_S
            victim.run += 1
            victim.started_s = None
            wait(victim)
        begin(job)

    def wait(job: Job) -> None:
        world.number += 1
        entry = (-job.priority, job.at_s, world.number, job)
        heapq.heappush(waiting[job.instance], entry)

    def begin(job: Job) -> None:
        job.started_s = world.clock.now_s()
        running[job.instance].append(job)
        run = job.run
        world.at(job.started_s + job.cost * TOKEN_S, lambda: finish(job, run))

    def finish(job: Job, run: int) -> None:
        if job.run != run:
            return
        running[job.instance].remove(job)
        world.used += job.cost
        queue = waiting[job.instance]
        while queue:
            head = queue[0][3]
            if world.clock.now_s() - head.at_s > MAX_WAIT_S and head.run == 0:
                heapq.heappop(queue)
                continue
            free = CAPACITY_TOKENS - sum(other.cost for other in running[job.instance])
            if free < head.cost:
                return
            heapq.heappop(queue)
            begin(head)


POLICIES = {
    "no limit": run_unlimited,
    "fifo": run_fifo,
    "per instance": run_single,
    "no headroom": run_packed,
    "shared": run_shared,
    "preemption": run_preemption,
}
