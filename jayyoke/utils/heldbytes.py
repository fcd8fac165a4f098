"""Total of the bytes that several holders keep."""

from __future__ import annotations


class HeldBytes:
    """Counts the bytes that are kept for all calls of a process together."""

    __slots__ = ("_limit_bytes", "_total")

    def __init__(self, limit_bytes: int):
        self._limit_bytes = limit_bytes
        self._total = 0

    @property
    def total(self) -> int:
        """Return how many bytes are kept."""
        return self._total

    @property
    def exceeded(self) -> bool:
        """Tell whether more bytes are kept than the limit."""
        return self._total > self._limit_bytes

    def change(self, by_bytes: int) -> None:
        """Count that one holder keeps more bytes, or fewer."""
        self._total += by_bytes
