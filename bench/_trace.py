"""Traces of returning chats."""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterator
from dataclasses import dataclass

FILL_S = 1.5


@dataclass(frozen=True, slots=True)
class Work:
    """Describes one request of a trace."""

    at_s: float
    chat: str
    prompt: int
    output: int
    run_s: float


def generate_trace(
    seed: int,
    rate: float,
    until_s: float,
    run_s: float,
    initial: int = 0,
    returning: float = 0.75,
    pause_s: float = 30.0,
    surges: tuple[tuple[float, float, float], ...] = (),
) -> Iterator[Work]:
    """Generate returning chats; a surge is (from_s, to_s, factor) of new chats of one team.

    `initial` requests arrive within FILL_S; their run times are exponential, hence what runs then
    is stationary.
    """
    rng = random.Random(seed)
    total = max(initial, 1)
    waiting: list[tuple[float, str, int]] = []
    count = 0
    at_s = 0.0
    while at_s < until_s:
        if initial > 0:
            initial -= 1
            at_s += FILL_S / total
        else:
            factor = 1.0
            for start_s, end_s, surge in surges:
                factor = surge if start_s <= at_s < end_s else factor
            at_s += rng.expovariate(rate * factor)
        output = int(rng.expovariate(1 / 300)) + 20
        if waiting and waiting[0][0] <= at_s and rng.random() < 0.95:
            _, chat, tokens = heapq.heappop(waiting)
            prompt = tokens + int(rng.expovariate(1 / 200)) + 10
        else:
            chat = f"chat-{count}"
            count += 1
            prompt = min(int(rng.lognormvariate(7.0, 0.8)), 8000) + 50
        work = Work(at_s, chat, prompt, output, rng.expovariate(1 / run_s))
        yield work
        if rng.random() < returning and prompt < 12000:
            back_s = at_s + work.run_s + rng.lognormvariate(0.0, 1.0) * pause_s
            heapq.heappush(waiting, (back_s, chat, prompt + output))
