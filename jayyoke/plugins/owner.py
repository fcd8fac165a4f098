"""Policy `owner`: the remembered engine first, then the least loaded of a few hashed ones."""

from __future__ import annotations

from collections.abc import Iterator

from jayyoke.core.registry import register
from jayyoke.ops.policy import PlacementQuery, Policy
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


def _order(query: PlacementQuery) -> Iterator[str]:
    cached_on = query.cached_on
    if cached_on in query.engines:
        yield cached_on
    ranked = rank(query.key, query.engines)
    candidates = sorted(ranked[:HASHED_CANDIDATES], key=query.utilisation)
    full = []
    for engine in [*candidates, *ranked[HASHED_CANDIDATES:]]:
        if engine == cached_on:
            continue
        if query.utilisation(engine) >= NEW_CHAT_MAX_UTILISATION:
            full.append(engine)
            continue
        yield engine
    yield from full
