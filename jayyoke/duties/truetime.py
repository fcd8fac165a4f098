"""Estimates the true time of day from the clocks of many machines.

A machine's time of day may jump by seconds, so it is read once, when the process starts, and kept
by the steady clock. Instances tell it to the followers of their domain, and the holder of the
duties takes the median of what the followers heard; it tells that to them, and they to the others.
"""

from __future__ import annotations

from statistics import median_low

# Steady clocks drift by up to 0.1 ms a second against each other.
KEPT_S = 60.0
MAX_HEARD = 1024
# With fewer clocks no majority shows which one is wrong.
MIN_FOLLOWERS = 3


class TrueTime:
    """Keeps offsets of Unix time against the own steady clock, in seconds."""

    __slots__ = ("_fleet", "_heard", "_own", "_told")

    def __init__(self, unix_s: float, now_s: float):
        self._own = unix_s - now_s
        # Offsets and when they were heard.
        self._heard: dict[str, tuple[float, float]] = {}
        self._fleet: dict[str, tuple[float, float]] = {}
        self._told: tuple[float, float] | None = None

    def record(self, source: str, unix_s: float, now_s: float) -> None:
        """Record the clock of an instance of the own domain."""
        _keep(self._heard, source, unix_s, now_s)

    def record_follower(self, follower: str, unix_s: float, now_s: float) -> None:
        """Record the median of a follower, asked by the holder of the duties."""
        _keep(self._fleet, follower, unix_s, now_s)

    def record_told(self, unix_s: float, now_s: float) -> None:
        """Record the time that the holder or a follower estimates."""
        self._told = (unix_s - now_s, now_s)

    def read_own_s(self, now_s: float) -> float:
        """Return the time by the own clock, as it was when the process started."""
        return now_s + self._own

    def read_heard_s(self, now_s: float) -> float:
        """Return the median of the own clock and those heard."""
        return now_s + median_low([self._own, *_list_offsets(self._heard, now_s)])

    def find_fleet_s(self, now_s: float) -> float | None:
        """Return the median of the followers' estimates, or None if too few were asked."""
        offsets = _list_offsets(self._fleet, now_s)
        if len(offsets) < MIN_FOLLOWERS:
            return None
        return now_s + median_low(offsets)

    def read_s(self, now_s: float) -> float:
        """Return the estimate of the true time."""
        if self._told is not None and now_s - self._told[1] < KEPT_S:
            return now_s + self._told[0]
        return self.read_heard_s(now_s)


def _keep(
    offsets: dict[str, tuple[float, float]], source: str, unix_s: float, now_s: float
) -> None:
    offsets.pop(source, None)
    offsets[source] = (unix_s - now_s, now_s)
    while len(offsets) > MAX_HEARD:
        del offsets[next(iter(offsets))]


def _list_offsets(offsets: dict[str, tuple[float, float]], now_s: float) -> list[float]:
    return [offset for offset, heard_s in offsets.values() if now_s - heard_s < KEPT_S]
