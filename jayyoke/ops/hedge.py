"""Hedging: a second attempt of a repeatable request if the first takes longer than the p95."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import TypeVar

from jayyoke.core.config import ClassSpec
from jayyoke.core.error import UpstreamError
from jayyoke.hedging.delay import Delays
from jayyoke.hedging.eligibility import may_hedge_class
from jayyoke.ops.retrybudget import RetryBudget

T = TypeVar("T")


class HedgeDelays:
    """Tracks the 95th percentile of each class's latency."""

    def __init__(self) -> None:
        self._delays = Delays()

    def observe(self, spec: ClassSpec, seconds: float) -> None:
        """Include the latency of one successful first attempt."""
        self._delays.observe(spec.name, seconds)

    def find_s(self, spec: ClassSpec) -> float | None:
        """Return a hedge's delay in seconds, or None if the class may not be hedged now."""
        return self._delays.find_s(spec.name) if may_hedge_class(spec) else None


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
