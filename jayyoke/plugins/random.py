"""Policy `random`: random order, a baseline that ignores caches and load."""

from __future__ import annotations

from collections.abc import Sequence

from jayyoke.core.registry import register
from jayyoke.ops.policy import PlacementQuery, Policy

__plugins__ = ("build_random",)


@register("policy", "random")
def build_random() -> Policy:
    """Return the policy."""
    return Policy(_order)


def _order(query: PlacementQuery) -> Sequence[str]:
    """Try engines in random order."""
    engines = list(query.engines)
    query.random.shuffle(engines)
    return engines
