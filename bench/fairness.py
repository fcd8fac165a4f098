"""Surges of heavy teams: the share of the other teams' requests answered in target, by policy.

Runs small instances with the real fair queue in virtual time. A request holds its tokens for 2 ms
each. Three heavy teams send ten times as much for half of the run; the balancer spreads them over
all instances or sends them to two. Every other team reaches one instance.
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
HEAVY_TEAMS = ("heavy-0", "heavy-1", "heavy-2")
LIGHT_TEAMS = tuple(f"light-{index}" for index in range(37))
HEAVY_RATE = 1.3
LIGHT_RATE = 0.26
SURGE_FACTOR = 10.0
HORIZON_S = 60.0
SURGE_PERIOD_S = (15.0, 45.0)
# First token within 1 s, of which 0.2 s are the engine's.
MAX_WAIT_S = 0.8
PREFILL_S = 0.2
DIGEST_INTERVAL_S = 1.0
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
    attempt: int = 0
    ticket: Ticket | None = None

    @property
    def in_target(self) -> bool:
        """Tell whether the first token came within the target."""
        return self.started_s is not None and self.started_s - self.at_s <= MAX_WAIT_S


@dataclass(slots=True)
class EventSimulation:
    """Runs scheduled actions in virtual time."""

    clock: ManualClock = field(default_factory=ManualClock)
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    sequence: int = 0
    lost_tokens: float = 0.0
    finished_tokens: float = 0.0

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time."""
        self.sequence += 1
        heapq.heappush(self.events, (time_s, self.sequence, action))

    def run(self) -> None:
        """Run all actions in order of time."""
        while self.events:
            time_s, _, action = heapq.heappop(self.events)
            self.clock.advance(max(0.0, time_s - self.clock.now_s()))
            action()


def measure(seed: int) -> list[Result]:
    """Return the share of the other teams' requests answered in target for each policy."""
    rows = []
    for case, spread in (("surge over all instances", True), ("surge into two instances", False)):
        baseline = _measure_policy(run_shared, spread, 1.0, seed)[0]
        rows.append(
            Result("fairness", f"{case}: no surge", "shared", baseline, "share", None, seed)
        )
        for name, policy in POLICIES.items():
            share, lost_tokens = _measure_policy(policy, spread, SURGE_FACTOR, seed)
            # A surge must cost the other teams nothing: the target is their share without it.
            target = baseline if name == "shared" else None
            rows.append(Result("fairness", case, name, share, "share", target, seed, False))
            if name == "preemption":
                label = f"{case}: work lost"
                rows.append(Result("fairness", label, name, lost_tokens, "share", None, seed))
    return rows


def _measure_policy(policy, spread: bool, surge: float, seed: int) -> tuple[float, float]:
    in_target = total = 0
    finished_tokens = lost_tokens = 0.0
    for run in range(RUNS):
        jobs = build_trace(spread, surge, seed * 1000 + run)
        simulation = EventSimulation()
        policy(simulation, jobs)
        simulation.run()
        finished_tokens += simulation.finished_tokens
        lost_tokens += simulation.lost_tokens
        for job in jobs:
            if job.team in HEAVY_TEAMS or not SURGE_PERIOD_S[0] <= job.at_s < SURGE_PERIOD_S[1]:
                continue
            total += 1
            in_target += job.in_target
    return in_target / total, lost_tokens / max(1.0, finished_tokens + lost_tokens)


def build_trace(spread: bool, surge: float, seed: int) -> list[Job]:
    """Return the requests of one run in order of time."""
    source = random.Random(seed)
    jobs = []
    for team in (*HEAVY_TEAMS, *LIGHT_TEAMS):
        heavy = team in HEAVY_TEAMS
        home = source.randrange(INSTANCES)
        at_s = 0.0
        while True:
            surging = heavy and SURGE_PERIOD_S[0] <= at_s < SURGE_PERIOD_S[1]
            rate = (HEAVY_RATE if heavy else LIGHT_RATE) * (surge if surging else 1.0)
            at_s += source.expovariate(rate)
            if at_s >= HORIZON_S:
                break
            instance = source.randrange(INSTANCES if spread else 2) if heavy else home
            cost = source.uniform(200, 2000)
            jobs.append(Job(at_s, team, instance, cost, source.choice(PRIORITIES)))
    jobs.sort(key=lambda job: job.at_s)
    return jobs


def run_unlimited(simulation: EventSimulation, jobs: list[Job]) -> None:
    """Dispatch every request at once; the engines divide their speed among all that run."""
    capacity = CAPACITY_TOKENS * INSTANCES
    running: list[tuple[float, int, str, Job]] = []
    held_tokens = progress = now_s = 0.0
    arrivals = iter(jobs)
    next_job = next(arrivals, None)
    sequence = 0
    while next_job is not None or running:
        speed = min(1.0, capacity / held_tokens) if held_tokens else 1.0
        ends_s = now_s + (running[0][0] - progress) / speed if running else float("inf")
        if next_job is not None and next_job.at_s <= ends_s:
            progress += (next_job.at_s - now_s) * speed
            now_s = next_job.at_s
            sequence += 1
            heapq.heappush(running, (progress + PREFILL_S, sequence, "first", next_job))
            end = progress + next_job.cost * TOKEN_S
            heapq.heappush(running, (max(end, progress + PREFILL_S), sequence, "whole", next_job))
            held_tokens += next_job.cost
            next_job = next(arrivals, None)
            continue
        progress, _, kind, job = heapq.heappop(running)
        now_s = ends_s
        if kind == "first":
            job.started_s = now_s - PREFILL_S
        else:
            held_tokens -= job.cost


def run_fifo(simulation: EventSimulation, jobs: list[Job]) -> None:
    """Queue in order of arrival at each instance."""
    _run_queues(simulation, jobs, exchanges_loads=False, single_queue=True, headroom=0.0)


def run_per_instance(simulation: EventSimulation, jobs: list[Job]) -> None:
    """Queue fairly at each instance alone."""
    _run_queues(simulation, jobs, exchanges_loads=False)


def run_shared(simulation: EventSimulation, jobs: list[Job]) -> None:
    """Queue fairly, with the teams' loads at all instances from the peers' digests."""
    _run_queues(simulation, jobs, exchanges_loads=True)


def run_without_headroom(simulation: EventSimulation, jobs: list[Job]) -> None:
    """Queue fairly with the teams' loads at all instances, without headroom."""
    _run_queues(simulation, jobs, exchanges_loads=True, headroom=0.0)


def _run_queues(
    simulation: EventSimulation,
    jobs: list[Job],
    exchanges_loads: bool,
    single_queue: bool = False,
    headroom: float = HEADROOM,
) -> None:
    queues = []
    for _ in range(INSTANCES):
        queues.append(FairQueue(lambda: CAPACITY_TOKENS, simulation.clock.now_s, headroom=headroom))
    for job in jobs:
        simulation.at(job.at_s, lambda job=job: arrive(job))

    def arrive(job: Job) -> None:
        queue = queues[job.instance]
        queue_name = "all" if single_queue else job.team
        ticket = Ticket(queue_name, job.cost, job.at_s + MAX_WAIT_S)
        try:
            if queue.enter(ticket):
                begin(job, ticket)
                return
        except Refusal:
            return
        ticket.admit = lambda refusal: begin(job, ticket) if refusal is None else None

    def begin(job: Job, ticket: Ticket) -> None:
        job.started_s = simulation.clock.now_s()
        end_s = job.started_s + job.cost * TOKEN_S
        simulation.at(end_s, lambda: queues[job.instance].leave(ticket))

    def exchange() -> None:
        loads = [queue.build_team_loads() for queue in queues]
        for sender, sent in enumerate(loads):
            for receiver, queue in enumerate(queues):
                if receiver != sender:
                    queue.accept_team_loads(f"i{sender}", sent)

    if exchanges_loads:
        for tick in range(int(HORIZON_S / DIGEST_INTERVAL_S)):
            simulation.at(tick * DIGEST_INTERVAL_S, exchange)


def run_preemption(simulation: EventSimulation, jobs: list[Job]) -> None:
    """Preempt strictly by priority: the lowest priority first, then the largest victims.

    A victim loses its work and waits again; waiting requests start by priority, then arrival.
    """
    running: list[list[Job]] = [[] for _ in range(INSTANCES)]
    waiting: list[list[tuple[int, float, int, Job]]] = [[] for _ in range(INSTANCES)]
    for job in jobs:
        simulation.at(job.at_s, lambda job=job: arrive(job))

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
            simulation.lost_tokens += (simulation.clock.now_s() - victim.started_s) / TOKEN_S
            victim.attempt += 1
            victim.started_s = None
            wait(victim)
        begin(job)

    def wait(job: Job) -> None:
        simulation.sequence += 1
        entry = (-job.priority, job.at_s, simulation.sequence, job)
        heapq.heappush(waiting[job.instance], entry)

    def begin(job: Job) -> None:
        job.started_s = simulation.clock.now_s()
        running[job.instance].append(job)
        attempt = job.attempt
        simulation.at(job.started_s + job.cost * TOKEN_S, lambda: finish(job, attempt))

    def finish(job: Job, attempt: int) -> None:
        if job.attempt != attempt:
            return
        running[job.instance].remove(job)
        simulation.finished_tokens += job.cost
        queue = waiting[job.instance]
        while queue:
            head = queue[0][3]
            if simulation.clock.now_s() - head.at_s > MAX_WAIT_S and head.attempt == 0:
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
    "per instance": run_per_instance,
    "no headroom": run_without_headroom,
    "shared": run_shared,
    "preemption": run_preemption,
}
