"""Exchanges the reported loads of engines between instances.

Designed for 64 instances in front of 30 engines. Each instance gets an answer of an engine every
4 s, so its loads would be seconds old, and it would send a hot session to its home long after that
is full. Instances add the loads reported to them to the requests that they send to their followers
anyway.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

# Instances ask their followers every 0.4 s; older loads have been sent before.
MAX_SHARED_AGE_S = 0.6
# About 40 bytes each, 2.5 times a second: 3 of the 6 KB/s of an instance for control traffic.
MAX_SHARED = 32
MAX_KNOWN = 1024


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Holds how many requests an engine had when it answered an instance, this one if `own`.

    `slowness` is how many times longer than usual work took there, or None if not reported.
    """

    incarnation: str
    requests: int
    reported_at_s: float
    own: bool
    slowness: float | None = None


class LoadExchange:
    """Keeps the newest load of each engine, reported to this instance or to others."""

    __slots__ = ("_newest", "_now_s", "_on_newer")

    def __init__(self, now_s: Callable[[], float], on_newer: Callable[[ReportedLoad], None]):
        self._now_s = now_s
        self._on_newer = on_newer
        self._newest: dict[str, ReportedLoad] = {}

    def record_own(self, incarnation: str, requests: int, slowness: float | None = None) -> None:
        """Record the load that came with an answer to this instance."""
        self._store(ReportedLoad(incarnation, requests, self._now_s(), True, slowness))

    def merge(self, loads: Iterable[ReportedLoad]) -> None:
        """Merge loads from another instance that are newer than the known ones."""
        for load in loads:
            known = self._newest.get(load.incarnation)
            if known is not None and known.reported_at_s >= load.reported_at_s:
                continue
            self._store(load)
            self._on_newer(load)

    def list_recent(self, since_s: float, own_only: bool = False) -> list[ReportedLoad]:
        """Return the loads reported after a time, the newest first."""
        found = [load for load in self._newest.values() if load.reported_at_s > since_s]
        if own_only:
            found = [load for load in found if load.own]
        found.sort(key=lambda load: -load.reported_at_s)
        return found[:MAX_SHARED]

    def _store(self, load: ReportedLoad) -> None:
        self._newest.pop(load.incarnation, None)
        self._newest[load.incarnation] = load
        if len(self._newest) > MAX_KNOWN:
            del self._newest[next(iter(self._newest))]
