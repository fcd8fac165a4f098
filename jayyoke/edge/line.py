"""Requests that wait in an instance for a place at an upstream, the most urgent first."""

from __future__ import annotations

import asyncio
import heapq
import itertools
from dataclasses import dataclass, field

# More waiting requests than these are refused at once: they would wait beyond any objective.
MAX_WAITING = 200
# A place that another instance frees is noticed by asking again after this time.
LOOK_AGAIN_S = 0.02


@dataclass(order=True, slots=True)
class Turn:
    """Holds a waiting request; lower ranks go first, then earlier deadlines."""

    rank: int
    deadline_s: float
    number: int
    called: asyncio.Future[None] = field(compare=False)


class WaitingLine:
    """Orders the waiting requests of one service."""

    def __init__(self) -> None:
        self._turns: list[Turn] = []
        self._numbers = itertools.count()

    def __len__(self) -> int:
        return len(self._turns)

    @property
    def full(self) -> bool:
        """Tell whether a further request must be refused."""
        return len(self._turns) >= MAX_WAITING

    def outranked(self, rank: int, deadline_s: float) -> bool:
        """Tell whether a waiting request goes before a new one."""
        first = self._first()
        return first is not None and (first.rank, first.deadline_s) < (rank, deadline_s)

    async def wait(self, rank: int, deadline_s: float, at_most_s: float) -> None:
        """Return when a place may be free for this request, or when the time has passed."""
        loop = asyncio.get_running_loop()
        turn = Turn(rank, deadline_s, next(self._numbers), loop.create_future())
        heapq.heappush(self._turns, turn)
        try:
            async with asyncio.timeout(min(at_most_s, LOOK_AGAIN_S)):
                await turn.called
        except TimeoutError:
            return
        finally:
            turn.called.cancel()
            self._turns.remove(turn)
            heapq.heapify(self._turns)

    def call_next(self) -> None:
        """Wake the most urgent waiting request."""
        first = self._first()
        if first is not None:
            first.called.set_result(None)

    def _first(self) -> Turn | None:
        waiting = [turn for turn in self._turns if not turn.called.done()]
        return min(waiting, default=None)
