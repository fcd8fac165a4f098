"""Counts refused clients, and bounds how often that is logged.

It addresses crowds: a line for each of their connections would cost more than the refusal.
"""

from __future__ import annotations

from enum import Enum

LOG_INTERVAL_S = 1.0


class Reason(Enum):
    """Why a client was refused or its connection closed."""

    UNREADABLE = "unreadable"
    TOO_LARGE = "head-too-large"
    MEMORY = "input-full"
    CONNECTIONS = "connections-full"
    STALLED = "answer-not-read"
    SLOW_BODY = "body-too-slow"


class RefusalLog:
    """Decides when refusals are logged, and how many of a reason one line stands for."""

    __slots__ = ("_counts", "_next_s")

    def __init__(self) -> None:
        self._counts: dict[Reason, int] = {}
        self._next_s: dict[Reason, float] = {}

    def note(self, reason: Reason, now_s: float) -> int:
        """Count a refusal; return how many to log now, or 0."""
        count = self._counts.get(reason, 0) + 1
        if now_s < self._next_s.get(reason, 0.0):
            self._counts[reason] = count
            return 0
        self._counts[reason] = 0
        self._next_s[reason] = now_s + LOG_INTERVAL_S
        return count
