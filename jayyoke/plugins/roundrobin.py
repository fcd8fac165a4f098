"""Policy `round-robin`: engines in turn, a baseline that ignores caches and load."""

from __future__ import annotations

from collections.abc import Sequence

from jayyoke.core.registry import register
from jayyoke.ops.policy import PlacementQuery, Policy

__plugins__ = ("build_roundrobin",)


@register("policy", "round-robin")
def build_roundrobin() -> Policy:
    """Return the policy."""
    return Policy(_order)


def _order(query: PlacementQuery) -> Sequence[str]:
    """Try engines in turn."""
    start = query.sequence_number % len(query.engines)
    return [*query.engines[start:], *query.engines[:start]]
