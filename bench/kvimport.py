"""Compares ways to raise cache reuse: `python -m bench.kvimport --seed 11`.

Both ways keep the admission of the policy `owner`: a displaced chat waits for its engine, or its
cache is copied from that engine. Counts the tokens found, and for copies the tokens moved.
"""

from __future__ import annotations

import argparse
from collections.abc import Iterator
from typing import Any

from bench import reuse
from bench.fakes import FleetSimulation
from jayyoke.core import registry
from jayyoke.core.request import CallerRequest
from jayyoke.ops.placement import OVERLOAD_FIRST_PAUSE_S, Placement
from jayyoke.ops.policy import PlacementQuery, Policy

WAITS_S = (0.1, 0.4)
MAX_CHATS = 50_000


class ImportSimulation(FleetSimulation):
    """Copies the cache of a displaced chat from the engine that was passed over."""

    imports = 0
    moved_tokens = 0

    def _start_request(
        self, placement: Placement, request: CallerRequest, traced: Any, index: int, exclude: Any
    ) -> None:
        engine = self.engines[placement.upstream.name]
        cached_tokens = engine.cache.get(traced.chat, 0)
        best_tokens = cached_tokens
        for name in placement.passed_over:
            if self.engines[name].up:
                best_tokens = max(best_tokens, self.engines[name].cache.get(traced.chat, 0))
        if engine.up and best_tokens > cached_tokens:
            engine.cached_tokens += best_tokens - cached_tokens
            engine.cache[traced.chat] = best_tokens
            self.imports += 1
            self.moved_tokens += best_tokens
        super()._start_request(placement, request, traced, index, exclude)


def build_waiting(wait_s: float) -> Policy:
    """Return the owner policy that for `wait_s` offers a returning chat only its engine."""
    owner_policy = registry.find_plugin("policy", "owner")()
    attempts: dict[tuple[str, int], int] = {}

    def order(query: PlacementQuery) -> Iterator[str]:
        request_key = (query.key, query.cached_tokens)
        attempt_count = attempts.get(request_key, 0)
        may_wait = query.cached_on in query.engines and query.cached_tokens > 0
        if may_wait and attempt_count * OVERLOAD_FIRST_PAUSE_S < wait_s:
            if len(attempts) >= MAX_CHATS:
                attempts.clear()
            attempts[request_key] = attempt_count + 1
            yield query.cached_on
            return
        attempts.pop(request_key, None)
        yield from owner_policy.order(query)

    return Policy(order, asks_owner=True, admission=True)


def main() -> None:
    """Print the tokens found, relative to the oracle and to rendezvous hashing without a bound."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=11)
    seed = parser.parse_args().seed
    registry.load_plugins()
    simulations: list[FleetSimulation] = []
    oracle = reuse.run_reuse(reuse.build_oracle(simulations), seed, simulations).found_tokens
    rendezvous = reuse.run_reuse("rendezvous", seed, simulations).found_tokens
    policies: dict[str, str | Policy] = {"owner": "owner"}
    for wait_s in WAITS_S:
        policies[f"wait {wait_s} s"] = build_waiting(wait_s)
    print("way          of oracle  of rendezvous  refused  imports  moved/prompts")
    for name, policy in policies.items():
        _print(name, reuse.run_reuse(policy, seed, simulations), oracle, rendezvous)
    reuse.FleetSimulation = ImportSimulation  # type: ignore[misc]
    _print("import", reuse.run_reuse("owner", seed, simulations), oracle, rendezvous)


def _print(name: str, simulation: FleetSimulation, oracle: int, rendezvous: int) -> None:
    imports = getattr(simulation, "imports", 0)
    moved_share = getattr(simulation, "moved_tokens", 0) / simulation.prompt_tokens
    ratios = (
        f"{simulation.found_tokens / oracle:9.3f}  {simulation.found_tokens / rendezvous:13.3f}"
    )
    print(
        f"{name:12} {ratios}  {simulation.refused:7}  {imports:7}  {moved_share:13.3f}",
        flush=True,
    )


if __name__ == "__main__":
    main()
