"""A time-out that knows how late its timer fired."""

from __future__ import annotations

import asyncio
from types import TracebackType


class Patience:
    """Times out like asyncio.timeout, and measures by how much its timer was late."""

    __slots__ = ("_late_s", "_limit_s", "_loop", "_scope")

    def __init__(self, limit_s: float):
        self._limit_s = limit_s
        self._loop = asyncio.get_running_loop()
        self._scope = asyncio.timeout(limit_s)
        self._late_s = 0.0

    @property
    def late_s(self) -> float:
        """Return how long the process did not run its timer after it was due, in seconds."""
        return self._late_s

    async def __aenter__(self) -> Patience:
        await self._scope.__aenter__()
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        due_s = self._scope.when()
        if self._scope.expired() and due_s is not None:
            self._late_s = self._loop.time() - due_s
        return await self._scope.__aexit__(kind, error, trace)
