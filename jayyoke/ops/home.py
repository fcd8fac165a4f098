"""Home domain of a chat and size of the placement group."""

from __future__ import annotations

from collections.abc import Collection, Iterable

from jayyoke.core.upstream import Upstream
from jayyoke.ops.rendezvous import choose_weighted

MAX_REGION_GROUP = 32


def choose_home(chat: str, upstreams: Iterable[Upstream], reachable: Collection[str]) -> str | None:
    """Return a chat's home domain, weighted by the live engines of each reachable domain."""
    weights: dict[str, float] = {}
    for upstream in upstreams:
        if upstream.domain in reachable:
            weights[upstream.domain] = weights.get(upstream.domain, 0.0) + 1.0
    return choose_weighted(chat, weights)
