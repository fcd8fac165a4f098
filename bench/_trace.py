"""Synthetic traces of chats that return with longer prompts."""

from __future__ import annotations

import heapq
import random
from collections.abc import Iterator
from dataclasses import dataclass

FILL_S = 1.5


@dataclass(frozen=True, slots=True)
class TraceRequest:
    """Describes one request of a trace; `run_s` is how long it runs at an engine."""

    at_s: float
    chat: str
    prompt_tokens: int
    output_tokens: int
    run_s: float


def generate_trace(
    seed: int,
    rate: float,
    until_s: float,
    run_s: float,
    initial_requests: int = 0,
    return_share: float = 0.75,
    pause_s: float = 30.0,
    surges: tuple[tuple[float, float, float], ...] = (),
) -> Iterator[TraceRequest]:
    """Generate requests in order of arrival; a surge is (from_s, to_s, factor of the rate).

    The first `initial_requests` arrive within FILL_S. Run times are exponential, so the load is
    stationary from then on.
    """
    rng = random.Random(seed)
    total = max(initial_requests, 1)
    returning_chats: list[tuple[float, str, int]] = []
    count = 0
    at_s = 0.0
    while at_s < until_s:
        if initial_requests > 0:
            initial_requests -= 1
            at_s += FILL_S / total
        else:
            factor = 1.0
            for start_s, end_s, surge in surges:
                factor = surge if start_s <= at_s < end_s else factor
            at_s += rng.expovariate(rate * factor)
        output_tokens = int(rng.expovariate(1 / 300)) + 20
        if returning_chats and returning_chats[0][0] <= at_s and rng.random() < 0.95:
            _, chat, tokens = heapq.heappop(returning_chats)
            prompt_tokens = tokens + int(rng.expovariate(1 / 200)) + 10
        else:
            chat = f"chat-{count}"
            count += 1
            prompt_tokens = min(int(rng.lognormvariate(7.0, 0.8)), 8000) + 50
        traced = TraceRequest(at_s, chat, prompt_tokens, output_tokens, rng.expovariate(1 / run_s))
        yield traced
        if rng.random() < return_share and prompt_tokens < 12000:
            return_s = at_s + traced.run_s + rng.lognormvariate(0.0, 1.0) * pause_s
            heapq.heappush(returning_chats, (return_s, chat, prompt_tokens + output_tokens))
