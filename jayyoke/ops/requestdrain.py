"""Graceful drain: counts running requests and waits until the last one ends."""

from __future__ import annotations

import asyncio
import enum

from jayyoke.ops.stopwindow import StopWindow


class Stage(enum.Enum):
    """How far a request has come."""

    BODY = "body"
    QUEUE = "queue"
    CALL = "call"


class RunningRequest:
    """Describes a request in progress."""

    __slots__ = ("request_id", "stage")

    def __init__(self, request_id: str):
        self.request_id = request_id
        self.stage = Stage.BODY


class RequestDrain:
    """Holds the requests in progress of one instance."""

    __slots__ = ("_idle", "_requests", "draining", "window")

    def __init__(self) -> None:
        self.draining = False
        self.window = StopWindow()
        self._requests: dict[RunningRequest, None] = {}
        self._idle = asyncio.Event()
        self._idle.set()

    @property
    def running(self) -> int:
        """Return how many requests are in progress."""
        return len(self._requests)

    @property
    def requests(self) -> tuple[RunningRequest, ...]:
        """Return the requests in progress, oldest first."""
        return tuple(self._requests)

    def enter(self, request_id: str) -> RunningRequest:
        """Count a request that begins; return its description."""
        running = RunningRequest(request_id)
        self._requests[running] = None
        self._idle.clear()
        return running

    def leave(self, running: RunningRequest) -> None:
        """Count a request that ended."""
        del self._requests[running]
        if not self._requests:
            self._idle.set()

    async def wait(self, timeout_s: float) -> bool:
        """Wait until no request runs; return False if some still run after the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True
