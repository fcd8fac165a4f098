"""Policy `owner`: the remembered engine first, then the least loaded of a few hashed ones."""

from __future__ import annotations

from collections.abc import Iterator

from jayyoke.core.kernel import register
from jayyoke.ops.policy import Policy, Question
from jayyoke.ops.rendezvous import rank

__plugins__ = ("build_owner",)

# New and displaced chats choose among this many engines, which keeps load even enough that
# returning chats rarely find their engine full; docs/placement.md has the figures.
WIDTH = 8
# Chats without a cache leave the rest of the bound to returning chats, where there is a choice.
NEW_SHARE = 0.9


@register("policy", "owner")
def build_owner() -> Policy:
    """Return the policy."""
    return Policy(_order, asks_owner=True, admission=True)


def _order(question: Question) -> Iterator[str]:
    remembered = question.remembered
    if remembered in question.engines:
        yield remembered
    ranked = rank(question.key, question.engines)
    first = sorted(ranked[:WIDTH], key=question.utilisation)
    full = []
    for engine in [*first, *ranked[WIDTH:]]:
        if engine == remembered:
            continue
        if question.utilisation(engine) >= NEW_SHARE:
            full.append(engine)
            continue
        yield engine
    yield from full
