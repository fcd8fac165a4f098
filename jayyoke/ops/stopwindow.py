"""Decides which requests may still begin while a process stops.

Designed for machines that are stopped in turn while callers keep using their open connections: a
request may arrive at any moment of the grace period, after which the platform kills the process.
It begins if even its deadline lies before that, since how long others took does not tell how long
it takes. While the load balancer sends callers back, one that may run twice or changes nothing
begins too: it has most of the grace, and waiting until another instance gets it costs more. The
rest is refused before it is passed on.
"""

from __future__ import annotations

import math

# Refused callers of an instance that stops reach another one over a new connection.
STOPPING_RETRY_S = (0.01, 0.1)


class StopWindow:
    """Holds when the load balancer knows of a stop and when it ends; times are in seconds."""

    __slots__ = ("_balanced_until_s", "_end_s")

    def __init__(self) -> None:
        self._end_s = math.inf
        self._balanced_until_s = -math.inf

    @property
    def end_s(self) -> float:
        """Return when every request must have ended; infinity while no stop has begun."""
        return self._end_s

    def begin(self, end_s: float, balanced_until_s: float = -math.inf) -> None:
        """Begin the stop; load balancers may send callers back until `balanced_until_s`."""
        self._end_s = end_s
        self._balanced_until_s = balanced_until_s

    def close(self) -> None:
        """Let no more requests begin."""
        self.begin(-math.inf)

    def may_begin(self, deadline_s: float, once: bool, now_s: float) -> bool:
        """Tell whether a request may begin that ends at its deadline at the latest.

        `once` is set if it must not run twice and may change something.
        """
        if deadline_s <= self._end_s:
            return True
        return not once and now_s < self._balanced_until_s

    def find_return_s(self, now_s: float) -> float:
        """Return after how many seconds a refused caller reaches another instance."""
        return max(0.0, self._balanced_until_s - now_s)
