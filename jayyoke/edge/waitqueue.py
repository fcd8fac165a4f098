"""Queue of requests that wait in an instance for a free slot, the most urgent first."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from dataclasses import dataclass, field

# Further requests are refused at once: they would wait longer than any objective.
MAX_WAITING = 200
# A slot that another instance frees is not announced, so waiting requests check again this often.
RECHECK_S = 0.02


@dataclass(order=True, slots=True)
class Waiter:
    """Holds a waiting request; lower ranks go first, then earlier deadlines."""

    rank: int
    deadline_s: float
    sequence: int
    woken: asyncio.Future[None] = field(compare=False)


class WaitQueue:
    """Orders the waiting requests of one service."""

    def __init__(self) -> None:
        self._waiters: list[Waiter] = []
        self._sequence_numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._waiters)

    @property
    def full(self) -> bool:
        """Tell whether further requests must be refused."""
        return len(self._waiters) >= MAX_WAITING

    def outranked(self, rank: int, deadline_s: float) -> bool:
        """Tell whether a waiting request goes before a new one."""
        first = self._first()
        return first is not None and (first.rank, first.deadline_s) < (rank, deadline_s)

    def count_ahead(self, rank: int, deadline_s: float) -> int:
        """Return how many waiting requests go before a new one."""
        own = (rank, deadline_s)
        return sum((waiter.rank, waiter.deadline_s) < own for waiter in self._waiters)

    async def wait(
        self, rank: int, deadline_s: float, timeout_s: float, recheck_s: float = RECHECK_S
    ) -> None:
        """Return when a slot may be free for this request, or when it should check again."""
        loop = asyncio.get_running_loop()
        waiter = Waiter(rank, deadline_s, next(self._sequence_numbers), loop.create_future())
        heapq.heappush(self._waiters, waiter)
        try:
            async with asyncio.timeout(min(timeout_s, recheck_s)):
                await waiter.woken
        except TimeoutError:
            return
        finally:
            waiter.woken.cancel()
            self._waiters.remove(waiter)
            heapq.heapify(self._waiters)

    def wake_next(self) -> None:
        """Wake the most urgent waiting request."""
        first = self._first()
        if first is not None:
            first.woken.set_result(None)

    def _first(self) -> Waiter | None:
        waiting = [waiter for waiter in self._waiters if not waiter.woken.done()]
        return min(waiting, default=None)
