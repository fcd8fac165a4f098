"""Keeps upstreams whose entries lapsed while the store could not be reached.

Upstreams renew their entries at the store, so that a store that is away loses the entries of
upstreams that live. Its first answer then lists few of them or none, and those that return first
would get the requests of all. What the store did not list while it was away is no news of an
upstream; what it has not listed some time after its return is.
"""

from __future__ import annotations

import math

# Entries lapse after three heartbeats of 1.2 s without a renewal; the last one may be one old.
LEAST_SILENCE_S = 2.0
# The users give upstreams about this long after the store's return to be listed again.
RETURN_S = 2.0


class LapsedEntries:
    """Tells for how long a missing upstream is still taken to live; times are seconds since boot.

    Only silence of every source counts: an instance that peers keep informed has missed nothing.
    """

    __slots__ = ("_until_s", "_upstreams")

    def __init__(self) -> None:
        self._until_s = -math.inf
        self._upstreams: set[str] = set()

    def note_confirmed(self, silent_s: float, now_s: float) -> None:
        """Take that the list was confirmed after `silent_s` without news."""
        if LEAST_SILENCE_S <= silent_s < math.inf:
            self._until_s = now_s + RETURN_S

    def keep(self, upstream: str, now_s: float) -> bool:
        """Tell whether an upstream that is missing now stays, and remember it."""
        if now_s >= self._until_s:
            return False
        self._upstreams.add(upstream)
        return True

    def forget(self, upstream: str) -> None:
        """Take that an upstream is listed again, or gone for certain."""
        self._upstreams.discard(upstream)

    def take_expired(self, now_s: float) -> set[str]:
        """Return and forget the upstreams that were kept until now and are still missing."""
        if not self._upstreams or now_s < self._until_s:
            return set()
        expired, self._upstreams = self._upstreams, set()
        return expired
