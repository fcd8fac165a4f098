"""Timeout that allows for stalls of this process, such as its suspension."""

from __future__ import annotations

import asyncio
from types import TracebackType

# A timer that runs later than this shows that the process was stalled.
STALL_THRESHOLD_S = 0.05
# Time to read what arrived during the stall before the timeout expires.
READ_AFTER_STALL_S = 0.05


class StallTolerantTimeout:
    """Works like asyncio.timeout, but after a stall first reads what has arrived.

    A process that was suspended or starved resumes with expired timers and unread answers. Such a
    timer does not show that the peer is slow, so it expires only after a short time for reading.
    """

    __slots__ = ("_due_s", "_limit_s", "_loop", "_stalled_s", "_timeout", "_timer")

    def __init__(self, limit_s: float):
        self._limit_s = limit_s
        self._loop = asyncio.get_running_loop()
        self._timeout = asyncio.timeout(None)
        self._due_s = 0.0
        self._stalled_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def stalled_s(self) -> float:
        """Return how late the timer ran, in seconds."""
        return self._stalled_s

    async def __aenter__(self) -> StallTolerantTimeout:
        await self._timeout.__aenter__()
        self._due_s = self._loop.time() + self._limit_s
        self._timer = self._loop.call_at(self._due_s, self._on_timer)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        assert self._timer is not None
        self._timer.cancel()
        return await self._timeout.__aexit__(kind, error, trace)

    def _on_timer(self) -> None:
        self._stalled_s = self._loop.time() - self._due_s
        if self._stalled_s > STALL_THRESHOLD_S:
            self._timer = self._loop.call_later(READ_AFTER_STALL_S, self.expire)
            return
        self.expire()

    def expire(self) -> None:
        """Let the timeout expire now."""
        # The timeout takes effect in the next iteration of the loop, so that tasks whose answers
        # have been read run first.
        self._timeout.reschedule(self._loop.time())
