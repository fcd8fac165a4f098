"""Memory for the bodies of all requests in progress together."""

from __future__ import annotations

MAX_HELD_BYTES = 64 << 20
# Small bodies may exceed the limit by this much, so that large ones do not keep them out.
SMALL_BODY_BYTES = 256 << 10
SMALL_BODIES_RESERVE_BYTES = 16 << 20


class BodyBudget:
    """Decides which bodies a process holds; small ones may use `reserve_bytes` beyond the limit."""

    __slots__ = ("_limit_bytes", "_reserve_bytes", "_total_bytes")

    def __init__(
        self,
        limit_bytes: int = MAX_HELD_BYTES,
        reserve_bytes: int = SMALL_BODIES_RESERVE_BYTES,
    ):
        self._limit_bytes = limit_bytes
        self._reserve_bytes = reserve_bytes
        self._total_bytes = 0

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

    def change(self, by_bytes: int) -> None:
        """Count that a request holds more bytes, or fewer."""
        self._total_bytes += by_bytes


class HeldBody:
    """Counts the body of one request until `release`."""

    __slots__ = ("_budget", "_size_bytes")

    def __init__(self, budget: BodyBudget):
        self._budget = budget
        self._size_bytes = 0

    @property
    def size_bytes(self) -> int:
        """Return how many bytes the request holds."""
        return self._size_bytes

    def may_grow_to(self, body_bytes: int) -> bool:
        """Tell whether a body of this size fits."""
        return self._budget.allows(body_bytes, self._size_bytes)

    def grow(self, by_bytes: int) -> bool:
        """Hold more bytes; return False if they do not fit."""
        if not self.may_grow_to(self._size_bytes + by_bytes):
            return False
        self._size_bytes += by_bytes
        self._budget.change(by_bytes)
        return True

    def release(self) -> None:
        """Hold nothing any more."""
        self._budget.change(-self._size_bytes)
        self._size_bytes = 0
