"""Windows of usage reports, numbered from the start of Unix time."""

from __future__ import annotations

import math

# A report that could not be sent for so long is given up.
GIVE_UP_S = 60.0
# Counts and rows are kept for longer, also by clocks that are apart by some seconds.
KEPT_S = 2 * GIVE_UP_S
MIN_KEPT_WINDOWS = 6


def count_kept(window_s: float) -> int:
    """Return for how many windows counts and rows are kept."""
    return max(MIN_KEPT_WINDOWS, math.ceil(KEPT_S / window_s))


def find_window(unix_s: float, window_s: float) -> int:
    """Return the number of the window that holds a time."""
    return math.floor(unix_s / window_s)


def find_end_s(window: int, window_s: float) -> float:
    """Return the Unix time at which a window ends."""
    return (window + 1) * window_s


def find_last_ended(unix_s: float, window_s: float) -> int:
    """Return the newest window that has ended."""
    return find_window(unix_s, window_s) - 1
