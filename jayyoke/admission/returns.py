"""Spreads the times at which refused callers return.

Designed for bursts of calls that are refused together and would come back together. An instance
remembers how many callers it told to return at which time, and gives each further one the time
with the fewest.
"""

from __future__ import annotations

import random
from collections import deque

# Times are booked in steps of this length.
STEP_S = 0.05
MAX_STEPS = 400
# The best of a few times drawn by chance spreads nearly as evenly as the best of all, and
# instances that refuse callers together don't choose the same times.
DRAWS = 4


class ReturnSchedule:
    """Holds how many callers were told to return in each step of the near future."""

    __slots__ = ("_booked", "_first", "_source")

    def __init__(self, source: random.Random):
        self._source = source
        self._first = 0
        self._booked: deque[int] = deque()

    @property
    def booked(self) -> int:
        """Return how many callers have yet to return."""
        return sum(self._booked)

    def book(self, now_s: float, earliest_s: float, latest_s: float) -> float:
        """Return in how many seconds a caller should return, between two waits in seconds."""
        self._advance(now_s)
        latest_s = max(earliest_s, latest_s)
        first = int((now_s + earliest_s) / STEP_S) - self._first
        last = max(first, int((now_s + latest_s) / STEP_S) - self._first)
        first, last = min(first, MAX_STEPS - 1), min(last, MAX_STEPS - 1)
        while len(self._booked) <= last:
            self._booked.append(0)
        drawn = [self._source.randint(first, last) for _ in range(DRAWS)]
        step = min(drawn, key=lambda found: self._booked[found])
        self._booked[step] += 1
        at_s = (self._first + step + self._source.random()) * STEP_S
        return min(latest_s, max(earliest_s, at_s - now_s))

    def count_returning(self, now_s: float, within_s: float) -> int:
        """Return how many callers were told to return within some seconds."""
        self._advance(now_s)
        steps = int(within_s / STEP_S) + 1
        return sum(count for step, count in enumerate(self._booked) if step < steps)

    def _advance(self, now_s: float) -> None:
        """Forget the steps that have passed."""
        current = int(now_s / STEP_S)
        passed = current - self._first
        if passed >= len(self._booked):
            self._booked.clear()
        else:
            for _ in range(passed):
                self._booked.popleft()
        self._first = max(current, self._first)
