"""Exponentially weighted moving average."""

from __future__ import annotations


class Ewma:
    """Averages samples; each new sample has the weight `alpha`."""

    __slots__ = ("_alpha", "value")

    def __init__(self, alpha: float = 0.1):
        self._alpha = alpha
        self.value: float | None = None

    def add(self, sample: float) -> None:
        """Include a sample."""
        if self.value is None:
            self.value = sample
            return
        self.value += self._alpha * (sample - self.value)
