"""Cache reuse during churn: prompt tokens found in caches, relative to an oracle policy."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

from bench.fakes import POLICIES, FleetSimulation, generate_trace
from bench.result import Result
from jayyoke.core import registry
from jayyoke.core.config import ServiceSpec
from jayyoke.core.upstream import UpstreamState
from jayyoke.ops.loadbound import MeanLoad, admits
from jayyoke.ops.policy import PlacementQuery, Policy

NODES = 8
ENGINES = 48
RUN_S = 12.7
IN_FLIGHT = 25
UNTIL_S = 60.0
CHURN_PER_MINUTE = 0.02
CACHE_TOKENS = 400_000
SERVICE = ServiceSpec("pool", "engine", full_work_tokens=1 << 30, warm_up_s=5.0)


def build_oracle(simulations: list[FleetSimulation], bounds_work: bool = True) -> Policy:
    """Return a policy that reads the real caches and loads and keeps the configured bound.

    The bound applies to requests and to work; without `bounds_work`, to requests alone.
    `simulations` holds the current simulation.
    """

    def order(query: PlacementQuery) -> Iterator[str]:
        simulation = simulations[0]
        live = [engine for engine in simulation.engines.values() if engine.up]
        total = sum(engine.work_tokens for engine in live)
        count = sum(engine.requests for engine in live)
        mean = MeanLoad(len(live), count / len(live), total / len(live))
        work = simulation.work_tokens if bounds_work else 0
        names = set(query.engines)
        admitted = []
        for engine in live:
            work_tokens = engine.work_tokens if bounds_work else 0
            if engine.upstream.name not in names:
                continue
            if admits(engine.requests, work_tokens, work, mean, 1.25, 1.25):
                admitted.append(engine)
        chat = simulation.chat
        best = max(admitted or live, key=lambda e: (e.cache.get(chat, 0), -e.requests))
        yield best.upstream.name

    return Policy(order)


def add_churn(simulation: FleetSimulation, until_s: float) -> int:
    """Schedule joins, departures and outages of 2% of engines a minute each; return the count."""
    rng = simulation.random
    events = max(1, round(ENGINES * CHURN_PER_MINUTE * until_s / 60))
    for number in range(events):
        name = f"engine-{rng.randrange(ENGINES):03d}"
        simulation.at(rng.uniform(5, until_s), lambda name=name: _leave(simulation, name))
        fresh = f"fresh-{number}"
        simulation.at(
            rng.uniform(5, until_s), lambda name=fresh: simulation.add_engine(name, "d0", 3.0)
        )
        flapping = f"engine-{rng.randrange(ENGINES):03d}"
        simulation.at(rng.uniform(5, until_s), lambda name=flapping: _flap(simulation, name))
    return 3 * events


def _leave(simulation: FleetSimulation, name: str) -> None:
    engine = simulation.engines[name]
    simulation.restart(name)
    engine.up = False
    simulation.announce(replace(engine.upstream, state=UpstreamState.DOWN), 3.0)


def _flap(simulation: FleetSimulation, name: str) -> None:
    engine = simulation.engines[name]
    if not engine.up:
        return
    _leave(simulation, name)

    def come_back() -> None:
        engine.up = True
        simulation.announce(engine.upstream, 3.0)

    simulation.at(simulation.now_s() + 6.0, come_back)


def run_reuse(
    policy: str | Policy, seed: int, simulations: list[FleetSimulation]
) -> FleetSimulation:
    """Run the trace with churn and return the simulation."""
    simulation = FleetSimulation(policy, NODES, ENGINES, SERVICE, seed, cache_limit=CACHE_TOKENS)
    simulations[:] = [simulation]
    add_churn(simulation, UNTIL_S)
    simulation.schedule_fill_digests()
    count = ENGINES * IN_FLIGHT
    trace = generate_trace(seed, count / RUN_S, UNTIL_S, RUN_S, count, pause_s=8.0)
    simulation.run(UNTIL_S, trace)
    return simulation


def measure(seed: int) -> list[Result]:
    """Return the tokens found by each policy, relative to the oracle."""
    simulations: list[FleetSimulation] = []
    case = f"{NODES} deciders, {ENGINES} engines, churn"
    best = run_reuse(build_oracle(simulations), seed, simulations)
    requests_only = run_reuse(build_oracle(simulations, bounds_work=False), seed, simulations)
    share = best.found_tokens / best.prompt_tokens
    rows = [Result("tokens found", case, "oracle", share, "of prompts", None, seed)]
    bounded = Policy(registry.find_plugin("policy", "rendezvous")().order, admission=True)
    simulation = run_reuse(bounded, seed, simulations)
    share = simulation.found_tokens / best.found_tokens
    rows.append(Result("reuse", case, "rendezvous+bound", share, "of oracle", None, seed))
    highest = share
    for policy in POLICIES:
        simulation = run_reuse(policy, seed, simulations)
        share = simulation.found_tokens / best.found_tokens
        if policy != "owner":
            highest = max(highest, share)
        target = 0.95 if policy == "owner" else None
        rows.append(Result("reuse", case, policy, share, "of oracle", target, seed, at_most=False))
        if policy == "owner":
            name, ratio = "reuse over best baseline", share / highest
            rows.append(Result(name, case, policy, ratio, "ratio", 1.0, seed, at_most=False))
            share = simulation.found_tokens / requests_only.found_tokens
            name = "reuse, requests-only oracle"
            rows.append(Result(name, case, policy, share, "of oracle", None, seed))
    return rows
