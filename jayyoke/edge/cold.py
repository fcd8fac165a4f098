"""Limits what cold upstreams get, summed over all instances without asking any of them.

The bound is requests in any second: rate * excess + extra. Each instance that may use a cold
upstream takes an equal part of the rate and a small burst. Where there are more instances than
bursts of one request fit the bound, rendezvous hashing chooses those that may use the upstream.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from jayyoke.core.machine import Bounds
from jayyoke.ops.rendezvous import rank
from jayyoke.utils.bucket import TokenBucket

# Leaves room for requests that were sent before and arrive within the same second.
RATE_SHARE = 0.85
BURST_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class ColdPart:
    """Holds one instance's part of what a cold upstream bears."""

    rate: float
    burst: float


def divide_cold_rate(
    cold_rate: float, bounds: Bounds, upstream: str, instance: str, instances: Iterable[str]
) -> ColdPart | None:
    """Return this instance's part, or None if it must leave the upstream to others."""
    known = {instance, *instances}
    spare = (cold_rate * (bounds.cold_excess - 1.0) + bounds.cold_extra) * BURST_SHARE
    users = max(1, min(len(known), math.floor(spare)))
    if users < len(known) and instance not in rank(upstream, known)[:users]:
        return None
    return ColdPart(cold_rate * RATE_SHARE / users, max(1.0, math.floor(spare / users)))


class ColdLimiter:
    """Holds the token buckets of the upstreams that are cold now."""

    def __init__(self, bounds: Bounds, instance: str):
        self._bounds = bounds
        self._instance = instance
        self._buckets: dict[str, tuple[ColdPart, TokenBucket]] = {}
        # Ranking all instances at each request costs 0.1 ms with 410 of them.
        self._parts: dict[str, tuple[float, frozenset[str], ColdPart | None]] = {}

    def take(
        self, incarnation: str, cold_rate: float, instances: Iterable[str], now_s: float
    ) -> bool:
        """Take one request for a cold upstream; return False if it must go elsewhere or wait."""
        part = self._find_part(incarnation, cold_rate, frozenset(instances))
        if part is None:
            return False
        known = self._buckets.get(incarnation)
        if known is None or known[0] != part:
            # A changed part starts with one request, so that changes never add up to bursts.
            bucket = TokenBucket(part.rate, part.burst, now_s)
            bucket.take(now_s, part.burst - 1.0)
            known = self._buckets[incarnation] = (part, bucket)
        return known[1].take(now_s)

    def retain(self, incarnations: set[str]) -> None:
        """Forget upstreams that are gone."""
        for gone in set(self._parts) - incarnations:
            del self._parts[gone]
            self._buckets.pop(gone, None)

    def _find_part(
        self, incarnation: str, cold_rate: float, instances: frozenset[str]
    ) -> ColdPart | None:
        known = self._parts.get(incarnation)
        if known is not None and known[:2] == (cold_rate, instances):
            return known[2]
        part = divide_cold_rate(cold_rate, self._bounds, incarnation, self._instance, instances)
        self._parts[incarnation] = (cold_rate, instances, part)
        return part
