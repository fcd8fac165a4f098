"""Monotonic clocks, replaceable in tests and benchmarks."""

from __future__ import annotations

import time
from typing import Protocol


class Clock(Protocol):
    """Source of monotonic time in seconds."""

    def now_s(self) -> float:
        """Return the monotonic time in seconds."""
        ...


class SystemClock:
    """Reads the operating system's monotonic clock."""

    __slots__ = ()

    def now_s(self) -> float:
        """Return the monotonic time in seconds."""
        return time.monotonic()


class ManualClock:
    """Clock that advances only by calls of `advance`."""

    __slots__ = ("_now_s",)

    def __init__(self, now_s: float = 0.0):
        self._now_s = now_s

    def now_s(self) -> float:
        """Return the initial time plus the seconds advanced so far."""
        return self._now_s

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self._now_s += seconds
