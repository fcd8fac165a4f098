"""Counts the requests that began to run at upstreams, by window and team.

Designed for 24 to 3,900 teams, of which an instance serves up to 20 requests a second. Totals only
grow, so they may be sent any number of times, and whoever gets them keeps the largest.
"""

from __future__ import annotations

from dataclasses import dataclass

from jayyoke.duties.window import count_kept, find_end_s, find_last_ended, find_window

# Requests are counted at most this long after they began: the answer of a plain service shows when
# its work began, and its count is entered when the answer has come.
SETTLE_S = 0.4


@dataclass(frozen=True, slots=True)
class TeamTotals:
    """Holds the totals of one window by team."""

    window: int
    by_team: dict[str, int]


class UsageCounter:
    """Counts the requests of this process; times are true Unix times in seconds."""

    __slots__ = ("_changes", "_kept", "_serial", "_window_s", "_windows", "counted")

    def __init__(self, window_s: float):
        self._window_s = window_s
        self._kept = count_kept(window_s)
        self._windows: dict[int, dict[str, int]] = {}
        # The serial number of the last change of each total.
        self._changes: dict[tuple[int, str], int] = {}
        self._serial = 0
        self.counted = 0

    @property
    def kept(self) -> int:
        """Return for how many windows counts are kept."""
        return self._kept

    @property
    def serial(self) -> int:
        """Return the number of the last change."""
        return self._serial

    def add(self, team: str, began_s: float) -> None:
        """Count a request that began at a Unix time."""
        window = find_window(began_s, self._window_s)
        totals = self._windows.get(window)
        if totals is None:
            totals = self._windows[window] = {}
            self._forget_old()
        totals[team] = totals.get(team, 0) + 1
        self._serial += 1
        self._changes[(window, team)] = self._serial
        self.counted += 1

    def list_changes(self, after: int) -> list[TeamTotals]:
        """Return the totals that changed after a serial number, by window."""
        found: dict[int, dict[str, int]] = {}
        for (window, team), serial in self._changes.items():
            if serial > after:
                found.setdefault(window, {})[team] = self._windows[window][team]
        return [TeamTotals(window, found[window]) for window in sorted(found)]

    def find_complete(self, unix_s: float) -> int:
        """Return the newest window to which nothing is added any more."""
        return find_last_ended(unix_s - SETTLE_S, self._window_s)

    def find_wait_s(self, unix_s: float) -> float:
        """Return the time until the next window is complete."""
        window = self.find_complete(unix_s) + 1
        return find_end_s(window, self._window_s) + SETTLE_S - unix_s

    def _forget_old(self) -> None:
        while len(self._windows) > self._kept:
            oldest = min(self._windows)
            for team in self._windows.pop(oldest):
                del self._changes[(oldest, team)]
