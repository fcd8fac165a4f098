"""Time since boot, which goes on while a machine is suspended."""

from __future__ import annotations

import time


def read_boot_time_s() -> float:
    """Return the seconds since boot, with those of suspension."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
