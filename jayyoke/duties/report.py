"""Decides which usage windows are reported, by whom, and with which counts.

Designed for reports each 5 s with up to 3,900 teams. Two reports of a window with different counts
must never be accepted, so counts are fixed by a row that is written only if there is none, and what
is sent is what the row holds. If the store comes back from an older copy, rows of windows that
ended before may be lost although their reports were sent: only a process that has read or written
such a row itself repeats its report.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass

from jayyoke.duties.window import GIVE_UP_S, count_kept, find_end_s, find_last_ended
from jayyoke.utils.jsontext import parse_unique_json

# Counts of the last requests have reached both followers of 20 instances by then.
COLLECT_S = 3.2
# What is still missing is not waited for beyond this part of the time until a report is due.
LATEST_PART = 0.8
# Clocks of instances agree to within this time.
CLOCK_MARGIN_S = 1.0
# Rows are removed together, with one call.
REMOVED_WINDOWS = 12
MAX_ROW_BYTES = 1 << 20
_PREFIX = "usage/"


@dataclass(frozen=True, slots=True)
class FixedReport:
    """Holds the counts of a window as the store has them; reports are sent with exactly these."""

    window: int
    counts: Mapping[str, int]


def build_report_key(window: int) -> str:
    """Return the key of a window's row; keys sort as windows do."""
    return f"{_PREFIX}{window:012d}"


def encode_counts(counts: Mapping[str, int]) -> bytes:
    """Return the value of a window's row."""
    return json.dumps(dict(sorted(counts.items())), separators=(",", ":")).encode()


def decode_counts(value: bytes) -> dict[str, int]:
    """Return the counts of a window's row; raise ValueError."""
    counts = parse_unique_json(value, MAX_ROW_BYTES)
    if not isinstance(counts, dict) or any(type(count) is not int for count in counts.values()):
        raise ValueError("the row holds no counts")
    return counts


def find_barred(unix_s: float, window_s: float) -> int:
    """Return the newest window that had ended when a new era of the store was met."""
    return find_last_ended(unix_s + CLOCK_MARGIN_S, window_s)


class ReportPlanner:
    """Plans the reports of one process; what it knows of rows outlives its tenures."""

    def __init__(self, window_s: float, delay_s: float):
        self._window_s = window_s
        self._delay_s = delay_s
        self._kept = count_kept(window_s)
        self._fixed: dict[int, FixedReport] = {}
        self._next = 0
        self._next_fix = 0
        self._barred = -1
        self._settled: set[int] = set()
        # How often reports were sent without an answer that confirms them.
        self._attempts: dict[int, int] = {}
        self.skipped = 0

    @property
    def reported(self) -> int:
        """Return the newest window of which all reports up to it are settled."""
        return self._next - 1

    def begin(self, reported: int, barred: int, unix_s: float) -> None:
        """Begin a tenure with what the lease's row says."""
        oldest = find_last_ended(unix_s - GIVE_UP_S, self._window_s) + 1
        self._barred = barred
        self._settled = {window for window in self._settled if window >= oldest}
        if reported < 0:
            # Nothing is reported in this era; what this process knows it may send again.
            unsent = [window for window in self._fixed if window not in self._settled]
            reported = min([*unsent, barred + 1]) - 1
        self._next = max(oldest, reported + 1)
        self._next_fix = self._next

    def list_removable(self, window: int) -> list[int]:
        """Return the windows whose rows are to be removed after a window was fixed, if any.

        Nobody reports them any more, also not a process that stood still for long.
        """
        if window % REMOVED_WINDOWS:
            return []
        newest = window - self._kept
        return list(range(newest - REMOVED_WINDOWS, newest))

    def find_due(self, unix_s: float) -> int | None:
        """Return the window whose counts are to be fixed next, or None if none has ended."""
        self._skip_old(unix_s)
        while self._next_fix in self._fixed or self._is_barred(self._next_fix):
            self._next_fix += 1
        ended_s = unix_s - find_end_s(self._next_fix, self._window_s)
        return self._next_fix if ended_s >= self.collect_s else None

    @property
    def collect_s(self) -> float:
        """Return how long after a window's end its counts are collected first."""
        return min(COLLECT_S, self._delay_s / 3)

    def may_wait(self, window: int, unix_s: float) -> bool:
        """Tell whether there is time to wait for missing counts of a window."""
        return unix_s < find_end_s(window, self._window_s) + LATEST_PART * self._delay_s

    def record_fixed(self, window: int, counts: Mapping[str, int]) -> None:
        """Record the counts of a row that this process has written or read in one era."""
        if window in self._fixed or self._is_barred(window):
            return
        self._fixed[window] = FixedReport(window, dict(counts))
        while len(self._fixed) > self._kept:
            del self._fixed[min(self._fixed)]

    def find_unsent(self, unix_s: float) -> FixedReport | None:
        """Return the report to send next, or None if all whose counts are fixed are settled.

        Those that were tried least come first, since the service may have what it did not confirm.
        """
        self._skip_old(unix_s)
        unsent = [w for w in self._fixed if w >= self._next and w not in self._settled]
        if not unsent:
            return None
        return self._fixed[min(unsent, key=lambda w: (self._attempts.get(w, 0), w))]

    def record_attempt(self, window: int) -> None:
        """Record that a window's report was sent and not confirmed."""
        self._attempts[window] = self._attempts.get(window, 0) + 1

    def record_sent(self, window: int) -> None:
        """Record that the service has a window's report, or will never take it."""
        self._settled.add(window)
        self._attempts.pop(window, None)
        while self._next in self._settled:
            self._next += 1

    def _is_barred(self, window: int) -> bool:
        return window <= self._barred and window not in self._fixed

    def _skip_old(self, unix_s: float) -> None:
        """Settle windows that are given up, or that an older era may have reported."""
        oldest = find_last_ended(unix_s - GIVE_UP_S, self._window_s) + 1
        while self._next < oldest or self._is_barred(self._next):
            self._attempts.pop(self._next, None)
            self.skipped += self._next not in self._settled
            self._next += 1
        while self._next in self._settled:
            self._next += 1
        self._next_fix = max(self._next_fix, self._next)
