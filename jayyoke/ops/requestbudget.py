"""Room for requests in progress, which take memory also without their bodies.

It addresses crowds of whole requests that last until their deadlines, for example at a service that
is silent: requests of other routes keep a part of the room.
"""

from __future__ import annotations

import contextlib
from collections import Counter
from collections.abc import Iterator

# Beyond this part of the room, only routes that use little of it get more.
SHARED_PART = 3 / 4
LITTLE_PART = 1 / 8


class RequestBudget:
    """Decides which requests may begin, by route."""

    __slots__ = ("_limit", "_running")

    def __init__(self, limit: int):
        self._limit = limit
        self._running: Counter[str] = Counter()

    def allows(self, route: str) -> bool:
        """Tell whether there is room for another request of a route."""
        running = self._running.total()
        if running < self._limit * SHARED_PART:
            return True
        return running < self._limit and self._running[route] < self._limit * LITTLE_PART

    @contextlib.contextmanager
    def running(self, route: str) -> Iterator[None]:
        """Count a request while it is in progress."""
        self._running[route] += 1
        try:
            yield
        finally:
            self._running[route] -= 1
            if not self._running[route]:
                del self._running[route]
