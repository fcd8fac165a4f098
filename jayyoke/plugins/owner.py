"""Policy `owner`: the remembered engine first, then the least loaded of a few hashed ones."""

from __future__ import annotations

from collections.abc import Iterator

from jayyoke.core.registry import register
from jayyoke.ops.policy import Policy, Question
from jayyoke.ops.rendezvous import rank

__plugins__ = ("build_owner",)

# New and displaced chats choose among this many engines. That keeps load even enough that returning
# chats rarely find their engine full; docs/placement.md has the figures.
HASHED_CANDIDATES = 8
# Chats without a cached prefix try engines at or above this utilisation last, to leave the rest of
# the bound to returning chats.
NEW_CHAT_MAX_UTILISATION = 0.9


@register("policy", "owner")
def build_owner() -> Policy:
    """Return the policy."""
    return Policy(_order, asks_owner=True, admission=True)


def _order(question: Question) -> Iterator[str]:
    remembered = question.remembered
    if remembered in question.engines:
        yield remembered
    ranked = rank(question.key, question.engines)
    candidates = sorted(ranked[:HASHED_CANDIDATES], key=question.utilisation)
    full = []
    for engine in [*candidates, *ranked[HASHED_CANDIDATES:]]:
        if engine == remembered:
            continue
        if question.utilisation(engine) >= NEW_CHAT_MAX_UTILISATION:
            full.append(engine)
            continue
        yield engine
    yield from full
