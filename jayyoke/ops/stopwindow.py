"""Decides which requests may still begin while a process stops.

Designed for machines that are stopped in turn while callers keep using their open connections: a
request may arrive at any moment of the grace period, after which the platform kills the process.
One that must not run twice begins only if even its deadline lies before that. Others begin as long
as they would end if they took somewhat longer than the slowest recent request of their kind. The
rest is refused before it is passed on, and its callers try another instance.
"""

from __future__ import annotations

import math

# A request is expected to take at most this multiple of the longest recent duration.
MARGIN_FACTOR = 1.5
# Time constant with which the longest duration decays.
FORGET_S = 30.0
# Kinds remembered; the oldest are forgotten first.
MAX_KINDS = 2048


class StopWindow:
    """Holds when a stop began and ends, and how long requests took; times are in seconds."""

    __slots__ = ("_balanced_until_s", "_end_s", "_longest")

    def __init__(self) -> None:
        self._end_s = math.inf
        self._balanced_until_s = math.inf
        self._longest: dict[str, tuple[float, float]] = {}

    @property
    def end_s(self) -> float:
        """Return when every request must have ended; infinity while no stop has begun."""
        return self._end_s

    def begin(self, end_s: float, balanced_until_s: float = -math.inf) -> None:
        """Begin the stop; load balancers may send new callers until `balanced_until_s`."""
        self._end_s = end_s
        self._balanced_until_s = balanced_until_s

    def close(self) -> None:
        """Let no more requests begin."""
        self.begin(-math.inf)

    def record_duration(self, kind: str, took_s: float, now_s: float) -> None:
        """Record how long a request of a kind took until its answer had ended."""
        if took_s >= self._find_longest_s(kind, now_s):
            self._longest.pop(kind, None)
            self._longest[kind] = (took_s, now_s)
            while len(self._longest) > MAX_KINDS:
                del self._longest[next(iter(self._longest))]

    def may_begin(self, kind: str, deadline_s: float, once: bool, now_s: float) -> bool:
        """Tell whether a request may begin that ends at its deadline at the latest.

        `once` is set if it must not run twice and may change something.
        """
        if deadline_s <= self._end_s:
            return True
        if once:
            return False
        if now_s < self._balanced_until_s:
            # The balancer would send its caller back here.
            return True
        longest_s = self._find_longest_s(kind, now_s)
        return longest_s > 0.0 and now_s + MARGIN_FACTOR * longest_s <= self._end_s

    def _find_longest_s(self, kind: str, now_s: float) -> float:
        """Return the longest recent duration, which decays with its age; 0 if none is known."""
        longest_s, at_s = self._longest.get(kind, (0.0, now_s))
        return longest_s * math.exp(-max(0.0, now_s - at_s) / FORGET_S)
