"""A time-out on silence that does not count silence which the process slept through."""

from __future__ import annotations

import asyncio
from types import TracebackType

# A timer that is later than this shows that the process stood still.
LATE_S = 0.05
# How long a process that stood still then reads what came meanwhile.
CATCH_UP_S = 0.05


class Patience:
    """Times out like asyncio.timeout, but what can be read goes before the timer.

    A process that was suspended or starved wakes with expired timers and unread answers. Its timers
    then say nothing about the peers, so they run again after a moment for reading.
    """

    __slots__ = ("_due_s", "_late_s", "_limit_s", "_loop", "_scope", "_timer")

    def __init__(self, limit_s: float):
        self._limit_s = limit_s
        self._loop = asyncio.get_running_loop()
        self._scope = asyncio.timeout(None)
        self._due_s = 0.0
        self._late_s = 0.0
        self._timer: asyncio.TimerHandle | None = None

    @property
    def late_s(self) -> float:
        """Return how long the process did not run its timer after it was due, in seconds."""
        return self._late_s

    async def __aenter__(self) -> Patience:
        await self._scope.__aenter__()
        self._due_s = self._loop.time() + self._limit_s
        self._timer = self._loop.call_at(self._due_s, self._note_due)
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        assert self._timer is not None
        self._timer.cancel()
        return await self._scope.__aexit__(kind, error, trace)

    def _note_due(self) -> None:
        self._late_s = self._loop.time() - self._due_s
        if self._late_s > LATE_S:
            self._timer = self._loop.call_later(CATCH_UP_S, self._expire)
            return
        self._expire()

    def _expire(self) -> None:
        # The scope ends in the next step of the loop, after tasks whose answers have been read.
        self._scope.reschedule(self._loop.time())
