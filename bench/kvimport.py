"""Trials that raise reuse at the same admission: `python -m bench.kvimport --seed 11`.

Two models beside the policy `owner`: a displaced chat waits for its engine, or its cache is
imported from that engine. Both count found tokens; import counts the tokens moved as well.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterator
from typing import Any

from bench import reuse
from bench.fakes import World
from jayyoke.core import registry
from jayyoke.core.request import CallerRequest
from jayyoke.ops.placement import OVERLOAD_FIRST_PAUSE_S, Placement
from jayyoke.ops.policy import PlacementQuery, Policy

WAITS_S = (0.1, 0.4)
MAX_CHATS = 50_000


class ImportWorld(World):
    """Copies the cache of a displaced chat from the engine that was passed over."""

    imports = 0
    moved_tokens = 0

    def _begin(
        self, placement: Placement, request: CallerRequest, work: Any, index: int, exclude: Any
    ) -> None:
        engine = self.engines[placement.upstream.name]
        held = engine.cache.get(work.chat, 0)
        best = held
        for name in placement.passed_over:
            if self.engines[name].up:
                best = max(best, self.engines[name].cache.get(work.chat, 0))
        if engine.up and best > held:
            engine.cached_tokens += best - held
            engine.cache[work.chat] = best
            self.imports += 1
            self.moved_tokens += best
        super()._begin(placement, request, work, index, exclude)


def build_waiting(wait_s: float) -> Policy:
    """Return the owner's policy, which offers a returning chat only its engine for a time."""
    base = registry.find_plugin("policy", "owner")()
    tries: dict[tuple[str, int], int] = {}

    def order(query: PlacementQuery) -> Iterator[str]:
        turn = (query.key, query.cached_tokens)
        tried = tries.get(turn, 0)
        waits = query.cached_on in query.engines and query.cached_tokens > 0
        if waits and tried * OVERLOAD_FIRST_PAUSE_S < wait_s:
            if len(tries) >= MAX_CHATS:
                tries.clear()
            tries[turn] = tried + 1
            yield query.cached_on
            return
        tries.pop(turn, None)
        yield from base.order(query)

    return Policy(order, asks_owner=True, admission=True)


def main() -> None:
    """Print the tokens found over the oracle's and over those of plain rendezvous hashing."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=11)
    seed = parser.parse_args().seed
    registry.load_plugins()
    worlds: list[World] = []
    oracle = reuse.run_reuse(reuse.build_oracle(worlds), seed, worlds).found
    plain = reuse.run_reuse("rendezvous", seed, worlds).found
    trials: dict[str, str | Policy] = {"owner": "owner"}
    for wait_s in WAITS_S:
        trials[f"wait {wait_s} s"] = build_waiting(wait_s)
    print("way          of oracle  of rendezvous  refused  imports  moved/prompts")
    for name, policy in trials.items():
        _print(name, reuse.run_reuse(policy, seed, worlds), oracle, plain)
    reuse.World = ImportWorld  # type: ignore[misc]
    _print("import", reuse.run_reuse("owner", seed, worlds), oracle, plain)


def _print(name: str, world: World, oracle: int, plain: int) -> None:
    imports = getattr(world, "imports", 0)
    moved = getattr(world, "moved_tokens", 0) / world.prompts
    shares = f"{world.found / oracle:9.3f}  {world.found / plain:13.3f}"
    print(f"{name:12} {shares}  {world.refused:7}  {imports:7}  {moved:13.3f}", flush=True)


if __name__ == "__main__":
    main()
