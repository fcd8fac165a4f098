"""Shares what instances hear of the loads of engines.

Load it answers: 64 instances before 30 engines. Each instance gets an answer of an engine every
4 s, so it would go by loads that are seconds old and send a hot session to its home long after that
is full. Instances pass on what they hear with the questions that they ask their followers anyway.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

# Served instances ask every 0.4 s; what is older has been told before.
SHARED_AGE_S = 0.6
# About 40 bytes each, 2.5 times a second: 3 of the 6 KB/s that an instance has for control.
MAX_SHARED = 32
MAX_HEARD = 1024


@dataclass(frozen=True, slots=True)
class HeardLoad:
    """Holds how many requests an engine had when it answered an instance."""

    incarnation: str
    requests: int
    heard_s: float
    own: bool


class LoadNews:
    """Keeps the newest load of each engine that this instance heard itself or from others."""

    __slots__ = ("_heard", "_now_s", "_take")

    def __init__(self, now_s: Callable[[], float], take: Callable[[HeardLoad], None]):
        self._now_s = now_s
        self._take = take
        self._heard: dict[str, HeardLoad] = {}

    def hear(self, incarnation: str, requests: int) -> None:
        """Note the load that came with an answer."""
        self._note(HeardLoad(incarnation, requests, self._now_s(), own=True))

    def learn(self, loads: Iterable[HeardLoad]) -> None:
        """Take over loads of another instance that are newer than the known ones."""
        for load in loads:
            known = self._heard.get(load.incarnation)
            if known is not None and known.heard_s >= load.heard_s:
                continue
            self._note(load)
            self._take(load)

    def list_recent(self, since_s: float, own_only: bool = False) -> list[HeardLoad]:
        """Return the loads heard after a time, the newest first."""
        found = [load for load in self._heard.values() if load.heard_s > since_s]
        if own_only:
            found = [load for load in found if load.own]
        found.sort(key=lambda load: -load.heard_s)
        return found[:MAX_SHARED]

    def _note(self, load: HeardLoad) -> None:
        self._heard.pop(load.incarnation, None)
        self._heard[load.incarnation] = load
        if len(self._heard) > MAX_HEARD:
            del self._heard[next(iter(self._heard))]
