"""Rendezvous hashing (Thaler and Ravishankar, 1998): highest random weight wins."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash


def score(key: str, node: str) -> int:
    """Return the 64-bit weight of a node for a key."""
    return xxhash.xxh3_64_intdigest(f"{key}|{node}".encode())


def rank(key: str, nodes: Iterable[str]) -> list[str]:
    """Return the nodes by falling weight for a key."""
    return sorted(nodes, key=lambda node: score(key, node), reverse=True)
