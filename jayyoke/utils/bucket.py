"""Token bucket that is refilled at a constant rate."""

from __future__ import annotations


class TokenBucket:
    """Holds up to `capacity` tokens and gains `rate` tokens per second; starts full."""

    __slots__ = ("_capacity", "_rate", "_tokens", "_updated_s")

    def __init__(self, rate: float, capacity: float, now_s: float):
        self._rate = rate
        self._capacity = capacity
        self._tokens = capacity
        self._updated_s = now_s

    def take(self, now_s: float, amount: float = 1.0) -> bool:
        """Take tokens and return True, or return False and take none if too few are left."""
        gained = max(0.0, now_s - self._updated_s) * self._rate
        self._tokens = min(self._capacity, self._tokens + gained)
        self._updated_s = now_s
        if self._tokens < amount:
            return False
        self._tokens -= amount
        return True
