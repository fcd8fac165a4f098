"""Counts events of the last seconds in memory of fixed size."""

from __future__ import annotations

from collections import deque

SLOTS = 10


class WindowCount:
    """Counts events in a sliding window, to a tenth of the window."""

    __slots__ = ("_slot_s", "_slots", "_total")

    def __init__(self, window_s: float):
        self._slot_s = window_s / SLOTS
        self._slots: deque[list[int]] = deque()
        self._total = 0

    def add(self, now_s: float, count: int = 1) -> None:
        """Count events that happen now; a negative count takes some back."""
        slot = int(now_s / self._slot_s)
        if not self._slots or self._slots[-1][0] != slot:
            self._slots.append([slot, 0])
        self._slots[-1][1] += count
        self._total += count
        self.read(now_s)

    def read(self, now_s: float) -> int:
        """Return the number of events in the window."""
        oldest = int(now_s / self._slot_s) - SLOTS
        while self._slots and self._slots[0][0] <= oldest:
            self._total -= self._slots.popleft()[1]
        return self._total
