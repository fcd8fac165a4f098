"""Time since boot, which also advances while the machine is suspended."""

from __future__ import annotations

import time


def read_boot_time_s() -> float:
    """Return the seconds since boot, including time in suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
