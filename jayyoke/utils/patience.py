"""A time-out that knows how late its timer fired."""

from __future__ import annotations

import asyncio
from types import TracebackType


class Patience:
    """Times out like asyncio.timeout, and measures by how much its timer was late."""

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
        self._expire()

    def _expire(self) -> None:
        self._scope.reschedule(self._loop.time())
