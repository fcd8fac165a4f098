"""Retry budget of all instances together, divided without messages.

All instances together may repeat `ratio` times the requests of a window plus `extra`. Each takes
the ratio of its own requests and an equal part of the extra.
"""

from __future__ import annotations

from collections import deque

from jayyoke.core.machine import Bounds

# Keeps room for repeats that instances killed within the window had made before.
EXTRA_SHARE = 0.7
RATIO_SHARE = 0.9
# What a restarted instance may use at once: its former self may have used the rest.
FIRST_EXTRA_SHARE = 0.3


class RetryAllowance:
    """Counts one service's requests and repeats of this instance over a sliding window."""

    __slots__ = ("_bounds", "_repeats", "_requests", "_started_s", "refused", "spent")

    def __init__(self, bounds: Bounds, started_s: float):
        self._bounds = bounds
        self._started_s = started_s
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()
        self.spent = 0
        self.refused = 0

    def add_request(self, now_s: float) -> None:
        """Count a caller's request."""
        self._requests.append(now_s)
        self._expire(now_s)

    def spend(self, now_s: float, instances: int) -> bool:
        """Take one repeat, or return False if the window's budget is used up."""
        self._expire(now_s)
        age = min(1.0, (now_s - self._started_s) / self._bounds.retry_window_s)
        part = max(FIRST_EXTRA_SHARE, age) * EXTRA_SHARE
        extra = self._bounds.retry_extra * part / max(1, instances)
        allowed = self._bounds.retry_ratio * RATIO_SHARE * len(self._requests) + extra
        if len(self._repeats) + 1 > allowed:
            self.refused += 1
            return False
        self._repeats.append(now_s)
        self.spent += 1
        return True

    def _expire(self, now_s: float) -> None:
        oldest_s = now_s - self._bounds.retry_window_s
        for times in (self._requests, self._repeats):
            while times and times[0] < oldest_s:
                times.popleft()
