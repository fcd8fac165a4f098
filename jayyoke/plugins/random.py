"""Policy `random`: random order, a baseline that ignores caches and load."""

from __future__ import annotations

from collections.abc import Sequence

from jayyoke.core.registry import register
from jayyoke.ops.policy import Policy, Question

__plugins__ = ("build_random",)


@register("policy", "random")
def build_random() -> Policy:
    """Return the policy."""
    return Policy(_order)


def _order(question: Question) -> Sequence[str]:
    """Try engines in random order."""
    engines = list(question.engines)
    question.random.shuffle(engines)
    return engines
