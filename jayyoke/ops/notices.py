"""Remembers which upstreams have said in their answers that they want no more requests.

An upstream that leaves says so in all its answers. The instance that got one sends nothing more to
it, whatever the platform's list or a peer says of it: the list may be seconds old, and some
upstreams never appear in it as leaving. Peers are not told. Each learns it from its own first
answer, and an upstream that says so by mistake is not lost to all instances because of one answer.

An upstream that refuses a request may ask for a pause. Requests go to others meanwhile. If all have
asked for one, callers are told when the first ends, each a little later than that by chance, since
those that return together would be refused together again.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Collection, Iterable

from jayyoke.core.notice import Notice

# An upstream that asked for more is tried again after this time.
MAX_PAUSE_S = 300.0
# Upstreams remembered; the oldest are forgotten first.
MAX_KNOWN = 4096
# Callers return within this time after a pause, or within this fraction of it if that is longer.
MIN_SPREAD_S = 0.5
SPREAD_FRACTION = 0.25
# An upstream that was not listed as live for so long, and is now, has started again. Lists are at
# most 2 s old.
UNLISTED_S = 5.0


class UpstreamNotices:
    """Holds the notices of upstreams by name or incarnation; times are on the caller's clock.

    A name that stands for several incarnations needs `update_listed`, which tells them apart.
    """

    __slots__ = ("_leaving", "_now_s", "_paused_until_s", "_source", "_unlisted_since_s")

    def __init__(self, now_s: Callable[[], float], source: random.Random | None = None):
        self._now_s = now_s
        self._source = source or random.Random()
        self._leaving: dict[str, None] = {}
        self._paused_until_s: dict[str, float] = {}
        self._unlisted_since_s: dict[str, float] = {}

    def record(self, upstream: str, notice: Notice) -> bool:
        """Record an answer's notice; return True if it says something new.

        A notice without a pause does not end an earlier one: the answers to requests that were sent
        before arrive later.
        """
        news = False
        if notice.leaving and upstream not in self._leaving:
            self._leaving[upstream] = None
            _forget_oldest(self._leaving)
            news = True
        if notice.pause_s is not None:
            until_s = self._now_s() + min(MAX_PAUSE_S, notice.pause_s)
            if until_s > self._paused_until_s.get(upstream, 0.0):
                self._paused_until_s.pop(upstream, None)
                self._paused_until_s[upstream] = until_s
                _forget_oldest(self._paused_until_s)
                news = True
        return news

    @property
    def empty(self) -> bool:
        """Tell whether no upstream has said anything, the usual case."""
        return not self._leaving and not self._paused_until_s

    def is_leaving(self, upstream: str) -> bool:
        """Tell whether an upstream has said that it leaves."""
        return upstream in self._leaving

    def find_pause_s(self, upstream: str) -> float:
        """Return how long an upstream still wants no requests, in seconds."""
        until_s = self._paused_until_s.get(upstream)
        if until_s is None:
            return 0.0
        left_s = until_s - self._now_s()
        if left_s <= 0.0:
            del self._paused_until_s[upstream]
        return max(0.0, left_s)

    def is_withdrawn(self, upstream: str) -> bool:
        """Tell whether an upstream may get no request now."""
        return upstream in self._leaving or self.find_pause_s(upstream) > 0.0

    def list_withdrawn(self, upstreams: Iterable[str]) -> list[str]:
        """Return those of the upstreams that may get no request now."""
        return [upstream for upstream in upstreams if self.is_withdrawn(upstream)]

    def find_soonest_s(self, upstreams: Iterable[str]) -> float | None:
        """Return when the first of the upstreams that pause is back, in seconds, or None."""
        pauses_s = []
        for upstream in upstreams:
            pause_s = self.find_pause_s(upstream)
            if pause_s > 0.0 and upstream not in self._leaving:
                pauses_s.append(pause_s)
        return min(pauses_s, default=None)

    def choose_return_s(self, soonest_s: float) -> float:
        """Return after how many seconds a refused caller should return."""
        spread_s = max(MIN_SPREAD_S, SPREAD_FRACTION * soonest_s)
        return soonest_s + self._source.uniform(0.0, spread_s)

    def forget(self, upstream: str) -> None:
        """Forget what an upstream has said, since another incarnation has its name now."""
        self._leaving.pop(upstream, None)
        self._paused_until_s.pop(upstream, None)

    def update_listed(self, live: Collection[str]) -> None:
        """Forget upstreams that are listed as live again after a long time without."""
        now_s = self._now_s()
        for upstream in list(self._leaving):
            if upstream not in live:
                self._unlisted_since_s.setdefault(upstream, now_s)
                continue
            since_s = self._unlisted_since_s.pop(upstream, now_s)
            if now_s - since_s >= UNLISTED_S:
                self.forget(upstream)
        kept = self._unlisted_since_s.items()
        self._unlisted_since_s = {name: at_s for name, at_s in kept if name in self._leaving}


def _forget_oldest(known: dict[str, object]) -> None:
    while len(known) > MAX_KNOWN:
        del known[next(iter(known))]
