"""Graceful drain: counts running requests, waits until the last one ends, and ends those left."""

from __future__ import annotations

import asyncio
import enum
import math
from types import TracebackType

from jayyoke.core.code import NO_ANSWER, STOPPING, refuse, refuse_maybe_run
from jayyoke.core.error import Refusal
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

    __slots__ = ("_idle", "_limits", "_requests", "draining", "ended", "window")

    def __init__(self) -> None:
        self.draining = False
        self.ended = False
        self.window = StopWindow()
        self._requests: dict[RunningRequest, None] = {}
        self._limits: set[DrainLimit] = set()
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

    def limit(self, timeout_s: float | None = None, deadline_s: float = -math.inf) -> DrainLimit:
        """Return a context that raises TimeoutError after a timeout and at the end of a drain.

        It does so already when a drain begins that ends before `deadline_s`.
        """
        return DrainLimit(self._limits, timeout_s, deadline_s)

    def begin(self, end_s: float, balanced_until_s: float = -math.inf) -> None:
        """Begin to drain; the requests must have ended at `end_s`.

        Load balancers may send callers back until `balanced_until_s`.
        """
        self.draining = True
        self.window.begin(end_s, balanced_until_s)
        for limit in tuple(self._limits):
            if limit.deadline_s > end_s:
                limit.expire()

    def end(self) -> None:
        """End the requests that are still in progress."""
        self.ended = True
        for limit in tuple(self._limits):
            limit.expire()

    async def wait(self, timeout_s: float) -> bool:
        """Wait until no request runs; return False if some still run after the timeout."""
        try:
            async with asyncio.timeout(timeout_s):
                await self._idle.wait()
        except TimeoutError:
            return False
        return True


class DrainLimit:
    """Works like asyncio.timeout, and may expire earlier."""

    __slots__ = ("_limits", "_timeout", "deadline_s")

    def __init__(self, limits: set[DrainLimit], timeout_s: float | None, deadline_s: float):
        self.deadline_s = deadline_s
        self._limits = limits
        self._timeout = asyncio.timeout(timeout_s)

    async def __aenter__(self) -> None:
        await self._timeout.__aenter__()
        self._limits.add(self)

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> bool | None:
        self._limits.discard(self)
        return await self._timeout.__aexit__(kind, error, trace)

    def expire(self) -> None:
        """Raise TimeoutError in the context."""
        if not self._timeout.expired():
            self._timeout.reschedule(asyncio.get_running_loop().time())


def refuse_stopped(may_have_run: bool, retry_after_s: float | None = None) -> Refusal:
    """Return the refusal of a request that cannot end before this instance does."""
    if may_have_run:
        return refuse_maybe_run(504, NO_ANSWER, "this instance stopped before the answer ended")
    detail = "this instance stops before the request's deadline"
    return refuse(503, STOPPING, detail, retry_after_s)
