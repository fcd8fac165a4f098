"""Hedging: a second attempt of a repeatable request if the first takes longer than the p95."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from hdrh.histogram import HdrHistogram

from jayyoke.core.config import ClassKind, ClassSpec
from jayyoke.core.error import UpstreamError
from jayyoke.ops.retrybudget import RetryBudget

PERCENTILE = 95.0
MIN_SAMPLES = 100
# Reading a percentile costs 0.3 ms, so it is read once per this many samples.
REFRESH_SAMPLES = 100
MAX_CLASSES = 256
HIGHEST_US = 600_000_000

T = TypeVar("T")


class HedgeDelays:
    """Tracks the 95th percentile of each class's latency."""

    def __init__(self) -> None:
        self._histograms: dict[str, HdrHistogram] = {}
        self._counts: dict[str, int] = {}
        self._delays_s: dict[str, float] = {}

    def observe(self, spec: ClassSpec, seconds: float) -> None:
        """Include the latency of one successful first attempt."""
        histogram = self._histograms.get(spec.name)
        if histogram is None:
            if len(self._histograms) >= MAX_CLASSES:
                return
            histogram = self._histograms[spec.name] = HdrHistogram(1, HIGHEST_US, 2)
        histogram.record_value(min(HIGHEST_US, max(1, int(seconds * 1e6))))
        count = self._counts.get(spec.name, 0) + 1
        self._counts[spec.name] = count
        if count >= MIN_SAMPLES and count % REFRESH_SAMPLES == 0:
            self._delays_s[spec.name] = histogram.get_value_at_percentile(PERCENTILE) / 1e6

    def find_s(self, spec: ClassSpec) -> float | None:
        """Return a hedge's delay in seconds, or None if the class may not be hedged now."""
        if spec.kind is not ClassKind.LOOKUP or spec.max_repeats < 1:
            return None
        return self._delays_s.get(spec.name)


async def call_hedged(
    first: Callable[[], Awaitable[T]],
    second: Callable[[], Awaitable[T]],
    delay_s: float | None,
    budget: RetryBudget,
) -> T:
    """Return the first success of two attempts; raise the first attempt's UpstreamError.

    The second attempt starts only after `delay_s` seconds and if the budget allows it; the slower
    attempt is cancelled and awaited.
    """
    attempts = [asyncio.ensure_future(first())]
    try:
        if delay_s is not None:
            await asyncio.wait(attempts, timeout=delay_s)
            if not attempts[0].done() and budget.spend():
                attempts.append(asyncio.ensure_future(second()))
        pending = set(attempts)
        while pending:
            done, pending = await asyncio.wait(pending, return_when=asyncio.FIRST_COMPLETED)
            for attempt in done:
                if attempt.exception() is None:
                    return attempt.result()
                if not isinstance(attempt.exception(), UpstreamError):
                    return attempt.result()
        return attempts[0].result()
    finally:
        for attempt in attempts:
            attempt.cancel()
        await asyncio.gather(*attempts, return_exceptions=True)
