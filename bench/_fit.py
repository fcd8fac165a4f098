"""Linear fits of measured values over sizes."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import asdict, dataclass
from time import process_time
from typing import Any


@dataclass(frozen=True, slots=True)
class Slope:
    """Holds the values of one figure at several sizes and their least-squares line.

    `residual` is the largest distance of a value from the line, divided by the largest value.
    `machine` tells whether the figure depends on the machine.
    """

    name: str
    unit: str
    size_name: str
    sizes: tuple[float, ...]
    values: tuple[float, ...]
    intercept: float
    slope: float
    residual: float
    machine: bool

    def estimate(self, size: float) -> float:
        """Return the value of the line at a size."""
        return self.intercept + self.slope * size

    def to_dict(self) -> dict[str, Any]:
        """Return the fields as a dictionary for JSON."""
        return asdict(self)


def fit(
    name: str,
    unit: str,
    size_name: str,
    points: Sequence[tuple[float, float]],
    machine: bool = False,
) -> Slope:
    """Return the least-squares line through pairs of size and value."""
    sizes = tuple(float(size) for size, _ in points)
    values = tuple(float(value) for _, value in points)
    mean_size, mean_value = sum(sizes) / len(sizes), sum(values) / len(values)
    squares = sum((size - mean_size) ** 2 for size in sizes)
    products = sum((s - mean_size) * (v - mean_value) for s, v in zip(sizes, values, strict=True))
    slope = products / squares
    intercept = mean_value - slope * mean_size
    largest_error = 0.0
    for size, value in zip(sizes, values, strict=True):
        largest_error = max(largest_error, abs(intercept + slope * size - value))
    residual = largest_error / max(map(abs, values)) if any(values) else 0.0
    return Slope(name, unit, size_name, sizes, values, intercept, slope, residual, machine)


def measure_processor_s(action: Callable[[], Any], repetitions: int) -> float:
    """Return the processor seconds of one call: the smallest average of three series."""
    best = float("inf")
    for _ in range(3):
        started_s = process_time()
        for _ in range(repetitions):
            action()
        best = min(best, (process_time() - started_s) / repetitions)
    return best
