"""Estimate of the store's monotonic clock between its answers."""

from __future__ import annotations

from collections.abc import Callable


class StoreClock:
    """Adds the time since the store's last answer to the clock reading in that answer."""

    __slots__ = ("_era", "_now_s", "_offset_ms")

    def __init__(self, now_s: Callable[[], float]):
        self._now_s = now_s
        self._offset_ms: float | None = None
        self._era = 0

    @property
    def known(self) -> bool:
        """Tell whether the store has answered since the start."""
        return self._offset_ms is not None

    def update(self, store_ms: int, answered_s: float, era: int | None = None) -> None:
        """Record the clock in an answer that began to arrive at `answered_s` of the own clock.

        An answer of an older era than one before is left out; the clock may have started anew.
        """
        if era is not None:
            if era < self._era:
                return
            self._era = era
        self._offset_ms = store_ms - answered_s * 1000

    def read_s(self) -> float:
        """Return the estimate in seconds, or 0 before the first answer."""
        return 0.0 if self._offset_ms is None else self._now_s() + self._offset_ms / 1000

    def read_ms(self) -> int:
        """Return the estimate in milliseconds, or 0 before the first answer."""
        if self._offset_ms is None:
            return 0
        return int(self._now_s() * 1000 + self._offset_ms)
