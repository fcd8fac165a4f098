"""Cache reuse across churn: prompt tokens found in cache, as a share of an oracle's."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import replace

from bench.fakes import POLICIES, World, generate_trace
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
CHURN_A_MINUTE = 0.02
CACHE_TOKENS = 400_000
SERVICE = ServiceSpec("pool", "engine", full_work_tokens=1 << 30, warm_up_s=5.0)


def build_oracle(worlds: list[World], bounds_work: bool = True) -> Policy:
    """Return a decider that reads true caches and loads and keeps the configured bound.

    The bound applies to requests and to work; without `bounds_work`, to requests alone.
    """

    def order(query: PlacementQuery) -> Iterator[str]:
        world = worlds[0]
        live = [engine for engine in world.engines.values() if engine.up]
        total = sum(engine.work_tokens for engine in live)
        count = sum(engine.requests for engine in live)
        mean = MeanLoad(len(live), count / len(live), total / len(live))
        work = world.work_tokens if bounds_work else 0
        names = set(query.engines)
        free = []
        for engine in live:
            used = engine.work_tokens if bounds_work else 0
            if engine.upstream.name not in names:
                continue
            if admits(engine.requests, used, work, mean, 1.25, 1.25):
                free.append(engine)
        chat = world.chat
        best = max(free or live, key=lambda e: (e.cache.get(chat, 0), -e.requests))
        yield best.upstream.name

    return Policy(order)


def add_churn(world: World, until_s: float) -> int:
    """Schedule joins, leaves and flaps of 2% of engines a minute each; return their number."""
    rng = world.random
    events = max(1, round(ENGINES * CHURN_A_MINUTE * until_s / 60))
    for number in range(events):
        name = f"engine-{rng.randrange(ENGINES):03d}"
        world.at(rng.uniform(5, until_s), lambda name=name: _leave(world, name))
        fresh = f"fresh-{number}"
        world.at(rng.uniform(5, until_s), lambda name=fresh: world.add_engine(name, "d0", 3.0))
        flapping = f"engine-{rng.randrange(ENGINES):03d}"
        world.at(rng.uniform(5, until_s), lambda name=flapping: _flap(world, name))
    return 3 * events


def _leave(world: World, name: str) -> None:
    engine = world.engines[name]
    world.restart(name)
    engine.up = False
    world.announce(replace(engine.upstream, state=UpstreamState.DOWN), 3.0)


def _flap(world: World, name: str) -> None:
    engine = world.engines[name]
    if not engine.up:
        return
    _leave(world, name)

    def back() -> None:
        engine.up = True
        world.announce(engine.upstream, 3.0)

    world.at(world.now_s() + 6.0, back)


def run_reuse(policy: str | Policy, seed: int, worlds: list[World]) -> World:
    """Run the trace with churn and return the world."""
    world = World(policy, NODES, ENGINES, SERVICE, seed, cache_limit=CACHE_TOKENS)
    worlds[:] = [world]
    add_churn(world, UNTIL_S)
    world.fill()
    count = ENGINES * IN_FLIGHT
    trace = generate_trace(seed, count / RUN_S, UNTIL_S, RUN_S, count, pause_s=8.0)
    world.run(UNTIL_S, trace)
    return world


def measure(seed: int) -> list[Result]:
    """Return each policy's share of what the oracle finds."""
    worlds: list[World] = []
    case = f"{NODES} deciders, {ENGINES} engines, churn"
    best = run_reuse(build_oracle(worlds), seed, worlds)
    loose = run_reuse(build_oracle(worlds, bounds_work=False), seed, worlds)
    share = best.found / best.prompts
    rows = [Result("tokens found", case, "oracle", share, "of prompts", None, seed)]
    bounded = Policy(registry.find_plugin("policy", "rendezvous")().order, admission=True)
    world = run_reuse(bounded, seed, worlds)
    share = world.found / best.found
    rows.append(Result("reuse", case, "rendezvous+bound", share, "of oracle", None, seed))
    highest = share
    for policy in POLICIES:
        world = run_reuse(policy, seed, worlds)
        share = world.found / best.found
        if policy != "owner":
            highest = max(highest, share)
        target = 0.95 if policy == "owner" else None
        rows.append(Result("reuse", case, policy, share, "of oracle", target, seed, at_most=False))
        if policy == "owner":
            name, ratio = "reuse over best baseline", share / highest
            rows.append(Result(name, case, policy, ratio, "ratio", 1.0, seed, at_most=False))
            share = world.found / loose.found
            name = "reuse, requests-only oracle"
            rows.append(Result(name, case, policy, share, "of oracle", None, seed))
    return rows
