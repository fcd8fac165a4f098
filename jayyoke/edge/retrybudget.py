"""Retry budget of the whole fleet, which the instances divide without messages.

All instances together may repeat `retry_ratio` times the requests of a window plus `retry_extra`.
Each uses the ratio on its own requests and an equal share of the extra.
"""

from __future__ import annotations

from collections import deque

from jayyoke.core.entrysettings import Bounds

# Leaves room for repeats by instances that were killed within the window.
EXTRA_FRACTION = 0.7
RATIO_FRACTION = 0.9
# Available right after a start, since the incarnation before may have used the rest.
INITIAL_EXTRA_FRACTION = 0.3


class RetryBudget:
    """Counts this instance's requests and repeats of one service in a sliding window."""

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
        age_fraction = min(1.0, (now_s - self._started_s) / self._bounds.retry_window_s)
        fraction = max(INITIAL_EXTRA_FRACTION, age_fraction) * EXTRA_FRACTION
        extra = self._bounds.retry_extra * fraction / max(1, instances)
        allowed = self._bounds.retry_ratio * RATIO_FRACTION * len(self._requests) + extra
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
