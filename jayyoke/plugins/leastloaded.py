"""Policy `least-loaded`: by reported load, a baseline that ignores caches."""

from __future__ import annotations

from collections.abc import Sequence

from jayyoke.core.registry import register
from jayyoke.ops.policy import Policy, Question

__plugins__ = ("build_leastloaded",)


@register("policy", "least-loaded")
def build_leastloaded() -> Policy:
    """Return the policy."""
    return Policy(_order)


def _order(question: Question) -> Sequence[str]:
    """Try the engine of the lowest reported load first."""
    start = question.turn % len(question.engines)
    engines = [*question.engines[start:], *question.engines[:start]]
    return sorted(engines, key=question.utilisation)
