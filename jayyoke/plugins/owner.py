"""Policy `owner`: the remembered engine first, then the least loaded of a few hashed ones."""

from __future__ import annotations

from collections.abc import Sequence

from jayyoke.core.kernel import register
from jayyoke.ops.policy import Policy, Question
from jayyoke.ops.rendezvous import rank

__plugins__ = ("build_owner",)

# New and displaced chats choose among this many engines, which keeps load even enough that
# returning chats rarely find their engine full; docs/placement.md has the figures.
WIDTH = 4


@register("policy", "owner")
def build_owner() -> Policy:
    """Return the policy."""
    return Policy(_order, asks_owner=True, admission=True)


def _order(question: Question) -> Sequence[str]:
    ranked = rank(question.key, question.engines)
    first = sorted(ranked[:WIDTH], key=question.utilisation)
    order = [*first, *ranked[WIDTH:]]
    remembered = question.remembered
    if remembered in question.engines:
        order.remove(remembered)
        order.insert(0, remembered)
    return order
