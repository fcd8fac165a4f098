"""Continuous batching of the stand-in engine: a limited batch, admitted by priority."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from dataclasses import dataclass, field


@dataclass(order=True, slots=True)
class _Waiter:
    priority: int
    order: int
    ready: asyncio.Future[None] = field(compare=False)


class Batch:
    """Runs at most `slots` requests; waiting ones enter by priority, lower numbers first."""

    def __init__(self, slots: int):
        self.slots = slots
        self.running = 0
        self.work_tokens = 0
        self._order = itertools.count()
        self._waiters: list[_Waiter] = []

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        return len(self._waiters)

    def request(self, priority: int, work_tokens: int) -> asyncio.Future[None]:
        """Return a future that is done when the request has a slot; work counts at once."""
        self.work_tokens += work_tokens
        ready: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if self.running < self.slots:
            self.running += 1
            ready.set_result(None)
            return ready
        heapq.heappush(self._waiters, _Waiter(priority, next(self._order), ready))
        return ready

    def leave(self, ready: asyncio.Future[None], work_tokens: int) -> None:
        """End a request, whether it has a slot or still waits for one."""
        self.work_tokens -= work_tokens
        if ready.done() and not ready.cancelled():
            self._free_slot()
        else:
            ready.cancel()

    def _free_slot(self) -> None:
        while self._waiters:
            waiter = heapq.heappop(self._waiters)
            if waiter.ready.done():
                continue
            waiter.ready.set_result(None)
            return
        self.running -= 1
