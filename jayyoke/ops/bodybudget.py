"""Memory for the bodies of all requests in progress together.

It addresses crowds of callers that send large bodies, or small ones that do not end.
"""

from __future__ import annotations

import contextlib
import time
from collections.abc import Callable, Iterator

MAX_HELD_BYTES = 64 << 20
# Small bodies may exceed the limit by this much, so that large ones do not keep them out.
SMALL_BODY_BYTES = 256 << 10
SMALL_BODIES_RESERVE_BYTES = 16 << 20
# A small body takes less time on the slowest link.
SLOW_BODY_S = 1.0


class BodyBudget:
    """Decides which bodies a process holds; small ones may use `reserve_bytes` beyond the limit."""

    __slots__ = ("_arriving", "_limit_bytes", "_now_s", "_reserve_bytes", "_total_bytes")

    def __init__(
        self,
        limit_bytes: int = MAX_HELD_BYTES,
        reserve_bytes: int = SMALL_BODIES_RESERVE_BYTES,
        now_s: Callable[[], float] = time.monotonic,
    ):
        self._limit_bytes = limit_bytes
        self._reserve_bytes = reserve_bytes
        self._now_s = now_s
        self._total_bytes = 0
        # When each body began to arrive, and what ends its reader; the oldest first.
        self._arriving: dict[HeldBody, tuple[float, Callable[[], None]]] = {}

    @property
    def total_bytes(self) -> int:
        """Return how many bytes are held."""
        return self._total_bytes

    def allows(self, body_bytes: int, held_bytes: int = 0) -> bool:
        """Tell whether a body of which `held_bytes` are held may grow to `body_bytes`.

        The callers' own limit bounds a body that is alone.
        """
        others_bytes = self._total_bytes - held_bytes
        if not others_bytes:
            return True
        limit_bytes = self._limit_bytes
        if body_bytes <= SMALL_BODY_BYTES:
            limit_bytes += self._reserve_bytes
        return others_bytes + body_bytes <= limit_bytes

    def evict_slowest(self) -> bool:
        """Give up the body that has been arriving for longest; return False if none is slow.

        Its request has not begun, so it can be refused.
        """
        for held, (since_s, end_reader) in self._arriving.items():
            if self._now_s() - since_s < SLOW_BODY_S:
                return False
            held.evict()
            end_reader()
            return True
        return False

    def add_arriving(self, held: HeldBody, end_reader: Callable[[], None]) -> None:
        """Record that a body begins to arrive."""
        self._arriving[held] = (self._now_s(), end_reader)

    def remove_arriving(self, held: HeldBody) -> None:
        """Record that a body has arrived, or arrives no more."""
        self._arriving.pop(held, None)

    def change(self, by_bytes: int) -> None:
        """Count that a request holds more bytes, or fewer."""
        self._total_bytes += by_bytes


class HeldBody:
    """Counts the body of one request until `release`."""

    __slots__ = ("_budget", "_size_bytes", "evicted")

    def __init__(self, budget: BodyBudget):
        self._budget = budget
        self._size_bytes = 0
        self.evicted = False

    @property
    def size_bytes(self) -> int:
        """Return how many bytes the request holds."""
        return self._size_bytes

    def may_grow_to(self, body_bytes: int) -> bool:
        """Tell whether a body of this size fits; a small one may replace slow ones."""
        while not self.evicted:
            if self._budget.allows(body_bytes, self._size_bytes):
                return True
            if body_bytes > SMALL_BODY_BYTES or not self._budget.evict_slowest():
                return False
        return False

    def grow(self, by_bytes: int) -> bool:
        """Hold more bytes; return False if they do not fit."""
        if not self.may_grow_to(self._size_bytes + by_bytes):
            return False
        self._size_bytes += by_bytes
        self._budget.change(by_bytes)
        return True

    @contextlib.contextmanager
    def arriving(self, end_reader: Callable[[], None]) -> Iterator[None]:
        """Let the body be given up meanwhile; `end_reader` ends the wait for its next bytes."""
        self._budget.add_arriving(self, end_reader)
        try:
            yield
        finally:
            self._budget.remove_arriving(self)

    def evict(self) -> None:
        """Give up the body."""
        self.evicted = True
        self.release()
        self._budget.remove_arriving(self)

    def release(self) -> None:
        """Hold nothing any more."""
        self._budget.change(-self._size_bytes)
        self._size_bytes = 0
