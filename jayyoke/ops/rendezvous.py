"""Rendezvous hashing, or highest random weight (Thaler and Ravishankar, 1998)."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from functools import lru_cache

import xxhash

_SEED_CACHE_SIZE = 4096
_HASH_RANGE = float(1 << 64)


@lru_cache(_SEED_CACHE_SIZE)
def _seed(node: str) -> int:
    return xxhash.xxh3_64_intdigest(node.encode())


def score(key: str, node: str) -> int:
    """Return the 64-bit weight of a node for a key."""
    return xxhash.xxh3_64_intdigest(key.encode(), _seed(node))


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes in order of decreasing weight for a key."""
    digest = xxhash.xxh3_64_intdigest
    encoded = key.encode()
    scored = [(digest(encoded, _seed(node)), node) for node in nodes]
    scored.sort(reverse=True)
    return [node for _, node in scored]


def choose(key: str, nodes: Iterable[str]) -> str | None:
    """Return the node of the highest weight for a key, or None without nodes."""
    encoded = key.encode()
    best = max(((xxhash.xxh3_64_intdigest(encoded, _seed(n)), n) for n in nodes), default=None)
    return None if best is None else best[1]


def choose_weighted(key: str, weights: Mapping[str, float]) -> str | None:
    """Return a node with a probability in proportion to its weight; None if all weights are 0."""
    best: tuple[float, str] | None = None
    for node, weight in weights.items():
        if weight <= 0:
            continue
        uniform = (score(key, node) + 0.5) / _HASH_RANGE
        candidate = (weight / -math.log(min(uniform, 1 - 1e-16)), node)
        best = candidate if best is None else max(best, candidate)
    return None if best is None else best[1]


def rank_weighted(key: str, weights: Mapping[str, float]) -> list[str]:
    """Return the nodes with a weight above 0.

    Each comes first with a probability in proportion to its weight.
    """
    scored = []
    for node, weight in weights.items():
        if weight <= 0:
            continue
        uniform = (score(key, node) + 0.5) / _HASH_RANGE
        scored.append((weight / -math.log(min(uniform, 1 - 1e-16)), node))
    scored.sort(reverse=True)
    return [node for _, node in scored]
