"""Exponential backoff with full jitter."""

from __future__ import annotations

import random


def choose_backoff(attempt: int, base_s: float, max_s: float, rng: random.Random) -> float:
    """Return a random pause in seconds, uniform from 0 to min(`max_s`, `base_s * 2**attempt`)."""
    return rng.uniform(0.0, min(max_s, base_s * 2 ** min(attempt, 30)))
