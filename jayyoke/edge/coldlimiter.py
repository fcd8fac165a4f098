"""Limits the requests of all instances together to a cold upstream, without messages.

The bound on requests in any second is rate * excess + extra. Each instance that may use a cold
upstream gets an equal share of the rate and a small burst. If the bound has no room for a burst of
one request per instance, rendezvous hashing chooses the instances that may use the upstream.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass

from jayyoke.core.entrysettings import Bounds
from jayyoke.ops.rendezvous import rank
from jayyoke.utils.bucket import TokenBucket

# Leaves room for requests that were sent before and arrive within the same second.
RATE_FRACTION = 0.85
BURST_FRACTION = 0.8


@dataclass(frozen=True, slots=True)
class ColdShare:
    """Holds one instance's share of a cold upstream: requests/s, and requests at once."""

    rate: float
    burst: float


def divide_cold_rate(
    warm_up_rate: float, bounds: Bounds, upstream: str, instance: str, instances: Iterable[str]
) -> ColdShare | None:
    """Return this instance's share, or None if only other instances may use the upstream."""
    known = {instance, *instances}
    burst = (warm_up_rate * (bounds.warm_up_excess - 1.0) + bounds.warm_up_extra) * BURST_FRACTION
    users = max(1, min(len(known), math.floor(burst)))
    if users < len(known) and instance not in rank(upstream, known)[:users]:
        return None
    return ColdShare(warm_up_rate * RATE_FRACTION / users, max(1.0, math.floor(burst / users)))


class ColdLimiter:
    """Holds the token buckets of the upstreams that are cold now."""

    def __init__(self, bounds: Bounds, instance: str):
        self._bounds = bounds
        self._instance = instance
        self._buckets: dict[str, tuple[ColdShare, TokenBucket]] = {}
        # Kept between requests, since ranking 410 instances takes 0.1 ms.
        self._shares: dict[str, tuple[float, frozenset[str], ColdShare | None]] = {}

    def take(
        self, incarnation: str, warm_up_rate: float, instances: Iterable[str], now_s: float
    ) -> bool:
        """Count one request to a cold upstream; return False if it must go elsewhere or wait."""
        share = self._find_share(incarnation, warm_up_rate, frozenset(instances))
        if share is None:
            return False
        known = self._buckets.get(incarnation)
        if known is None or known[0] != share:
            # A changed share starts with one request, so that changes do not add up to bursts.
            bucket = TokenBucket(share.rate, share.burst, now_s)
            bucket.take(now_s, share.burst - 1.0)
            known = self._buckets[incarnation] = (share, bucket)
        return known[1].take(now_s)

    def retain(self, incarnations: set[str]) -> None:
        """Forget the upstreams that are not among `incarnations`."""
        for gone in set(self._shares) - incarnations:
            del self._shares[gone]
            self._buckets.pop(gone, None)

    def _find_share(
        self, incarnation: str, warm_up_rate: float, instances: frozenset[str]
    ) -> ColdShare | None:
        known = self._shares.get(incarnation)
        if known is not None and known[:2] == (warm_up_rate, instances):
            return known[2]
        share = divide_cold_rate(warm_up_rate, self._bounds, incarnation, self._instance, instances)
        self._shares[incarnation] = (warm_up_rate, instances, share)
        return share
