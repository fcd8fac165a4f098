"""Durations and counts with units, such as `300ms`, `10m` and `16k`."""

from __future__ import annotations

import math
import re
from typing import Any

_SECONDS = {"ms": 0.001, "s": 1.0, "m": 60.0, "h": 3600.0, "d": 86400.0}
_COUNTS = {"": 1, "k": 1000, "M": 1_000_000, "Ki": 1 << 10, "Mi": 1 << 20}
_DURATION = re.compile(r"(\d{1,12}(?:\.\d{1,9})?)\s*(ms|s|m|h|d)")
_COUNT = re.compile(r"(\d{1,15})\s*(k|M|Ki|Mi|)(?:B|)")


def parse_duration(value: Any) -> float | None:
    """Return the seconds of a number of seconds or a text with a unit; None if it is neither."""
    if isinstance(value, bool):
        return None
    if isinstance(value, int) and abs(value) > 10**12:
        return None
    if isinstance(value, (int, float)):
        return float(value) if math.isfinite(value) else None
    if not isinstance(value, str):
        return None
    found = _DURATION.fullmatch(value.strip())
    if found is None:
        return None
    if found[2] == "ms":
        return float(found[1]) / 1000
    return float(found[1]) * _SECONDS[found[2]]


def format_duration(seconds: float) -> str | float:
    """Return a text such as `10m` that parses to exactly this duration, else the number itself."""
    for unit in ("d", "h", "m", "s", "ms"):
        text = f"{round(seconds / _SECONDS[unit])}{unit}"
        if parse_duration(text) == seconds:
            return text
    return seconds


def parse_count(value: Any) -> int | None:
    """Return the value of a whole number or a text such as `16k` or `4MiB`; None otherwise."""
    if isinstance(value, bool):
        return None
    if isinstance(value, int):
        return value
    if not isinstance(value, str):
        return None
    found = _COUNT.fullmatch(value.strip())
    if found is None:
        return None
    return int(found[1]) * _COUNTS[found[2]]
