"""Keeps upstreams for a grace period after a store outage in which their entries lapsed.

Upstreams renew their entries at the store, so the entries of live upstreams lapse during an outage
of the store. Its first answer afterwards lists few upstreams or none, and the first to be listed
again would get the requests of all. So a missing entry means that the upstream is gone only if the
store was reachable, or some time after it has returned.
"""

from __future__ import annotations

import math

# Entries lapse after three heartbeats of 1.2 s without a renewal; one may precede the outage.
MIN_OUTAGE_S = 2.0
# The users allow upstreams about this long after the store's return to be listed again.
GRACE_S = 2.0


class LapseGrace:
    """Keeps missing upstreams until the grace period ends; times are seconds since boot.

    Only a time without any source counts as an outage: an instance that peers keep up to date has
    missed nothing.
    """

    __slots__ = ("_until_s", "_upstreams")

    def __init__(self) -> None:
        self._until_s = -math.inf
        self._upstreams: set[str] = set()

    def record_confirmed(self, silent_s: float, now_s: float) -> None:
        """Record that the list was confirmed, `silent_s` after the confirmation before."""
        if MIN_OUTAGE_S <= silent_s < math.inf:
            self._until_s = now_s + GRACE_S

    def try_keep(self, upstream: str, now_s: float) -> bool:
        """Keep a missing upstream if the grace period runs; tell whether it is kept."""
        if now_s >= self._until_s:
            return False
        self._upstreams.add(upstream)
        return True

    def forget(self, upstream: str) -> None:
        """Stop keeping an upstream, which is listed again or certainly gone."""
        self._upstreams.discard(upstream)

    def pop_expired(self, now_s: float) -> set[str]:
        """Return and forget the kept upstreams that are still missing after the grace period."""
        if not self._upstreams or now_s < self._until_s:
            return set()
        expired, self._upstreams = self._upstreams, set()
        return expired
