"""Continuous batching of the stand-in engine: a batch of limited size, filled by priority."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from dataclasses import dataclass, field


@dataclass(order=True, slots=True)
class _Waiter:
    priority: int
    arrival_order: int
    admitted: asyncio.Future[None] = field(compare=False)


class Batch:
    """Runs at most `slots` requests; waiting ones are admitted by priority, lowest number first."""

    def __init__(self, slots: int):
        self.slots = slots
        self.running = 0
        self.work_tokens = 0
        self._arrival_order = itertools.count()
        self._waiters: list[_Waiter] = []

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        return len(self._waiters)

    def enqueue(self, priority: int, work_tokens: int) -> asyncio.Future[None]:
        """Return a future that is done once the request has a slot.

        The request's work counts from now on, also while it waits.
        """
        self.work_tokens += work_tokens
        admitted: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        if self.running < self.slots:
            self.running += 1
            admitted.set_result(None)
            return admitted
        heapq.heappush(self._waiters, _Waiter(priority, next(self._arrival_order), admitted))
        return admitted

    def remove(self, admitted: asyncio.Future[None], work_tokens: int) -> None:
        """Remove a request that has a slot or waits for one."""
        self.work_tokens -= work_tokens
        if admitted.done() and not admitted.cancelled():
            self._free_slot()
        else:
            admitted.cancel()

    def _free_slot(self) -> None:
        while self._waiters:
            waiter = heapq.heappop(self._waiters)
            if waiter.admitted.done():
                continue
            waiter.admitted.set_result(None)
            return
        self.running -= 1
