"""Decides which requests may still begin while a process stops.

Designed for machines that are stopped in turn while callers keep using their open connections: a
request may arrive at any moment of the grace period, after which the platform kills the process.
It begins only if even its deadline lies before that, since how long others took does not tell how
long it takes. The rest is refused before it is passed on, and its callers try another instance.
"""

from __future__ import annotations

import math


class StopWindow:
    """Holds when every request must have ended; times are in seconds."""

    __slots__ = ("_end_s",)

    def __init__(self) -> None:
        self._end_s = math.inf

    @property
    def end_s(self) -> float:
        """Return when every request must have ended; infinity while no stop has begun."""
        return self._end_s

    def begin(self, end_s: float) -> None:
        """Begin the stop."""
        self._end_s = end_s

    def close(self) -> None:
        """Let no more requests begin."""
        self.begin(-math.inf)

    def may_begin(self, deadline_s: float) -> bool:
        """Tell whether a request may begin that ends at its deadline at the latest."""
        return deadline_s <= self._end_s
