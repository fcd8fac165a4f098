"""Policy `rendezvous`: rendezvous hashing by chat, a baseline that ignores load."""

from __future__ import annotations

from collections.abc import Sequence

from jayyoke.core.registry import register
from jayyoke.ops.policy import PlacementQuery, Policy
from jayyoke.ops.rendezvous import rank

__plugins__ = ("build_hashing",)


@register("policy", "rendezvous")
def build_hashing() -> Policy:
    """Return the policy."""
    return Policy(_order)


def _order(query: PlacementQuery) -> Sequence[str]:
    """Try engines in rendezvous order of the chat."""
    return rank(query.key, query.engines)
