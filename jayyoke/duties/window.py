"""Windows of usage reports, numbered from the start of Unix time."""

from __future__ import annotations

import math

# Counts of this many windows are kept: late holders report windows of the last minute.
KEPT_WINDOWS = 24


def find_window(unix_s: float, window_s: float) -> int:
    """Return the number of the window that holds a time."""
    return math.floor(unix_s / window_s)


def find_end_s(window: int, window_s: float) -> float:
    """Return the Unix time at which a window ends."""
    return (window + 1) * window_s


def find_last_ended(unix_s: float, window_s: float) -> int:
    """Return the newest window that has ended."""
    return find_window(unix_s, window_s) - 1
