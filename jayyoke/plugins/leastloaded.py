"""Policy `least-loaded`: by reported load, a baseline that ignores caches."""

from __future__ import annotations

from collections.abc import Sequence

from jayyoke.core.registry import register
from jayyoke.ops.policy import PlacementQuery, Policy

__plugins__ = ("build_leastloaded",)


@register("policy", "least-loaded")
def build_leastloaded() -> Policy:
    """Return the policy."""
    return Policy(_order)


def _order(query: PlacementQuery) -> Sequence[str]:
    """Try the engine of the lowest reported load first."""
    start = query.sequence_number % len(query.engines)
    engines = [*query.engines[start:], *query.engines[:start]]
    return sorted(engines, key=query.utilisation)
