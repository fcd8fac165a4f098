"""Exponential backoff with full jitter."""

from __future__ import annotations

import random


def choose_backoff(attempt: int, base_s: float, most_s: float, source: random.Random) -> float:
    """Return a pause in seconds, uniform between 0 and `base_s * 2**attempt`, at most `most_s`."""
    return source.uniform(0.0, min(most_s, base_s * 2 ** min(attempt, 30)))
