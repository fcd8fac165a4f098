"""Decides whether a request should leave the engine that has its prompt while that is slow.

Designed for prompts of 700 to 10,500 shared tokens that take 10 ms from the cache and up to 160 ms
to compute. A request gains what the slowness adds to its time to the first token, and loses what
another engine needs to compute or fetch the shared part.
"""

from __future__ import annotations

from jayyoke.pace.figure import SLOW

# An engine computes 10,500 tokens in 160 ms; it fetches them from another one in a tenth of it.
COMPUTE_S_PER_TOKEN = 0.16 / 10_500
FETCH_FRACTION = 0.1
# Bounds of the time to the first token from a cached prompt, where latencies are not known better.
MIN_WORK_S = 0.02
MAX_WORK_S = 0.5


def find_move_cost_s(shared_tokens: int, fetches: bool) -> float:
    """Return what another engine needs for a prompt's shared part, in seconds."""
    cost_s = shared_tokens * COMPUTE_S_PER_TOKEN
    return cost_s * FETCH_FRACTION if fetches else cost_s


def should_leave(slowness: float, work_s: float, move_cost_s: float) -> bool:
    """Tell whether a request gains by leaving a slow engine.

    `work_s` is the usual time to the first token, `move_cost_s` the cost of another engine.
    """
    if slowness < SLOW:
        return False
    return (slowness - 1.0) * min(MAX_WORK_S, max(MIN_WORK_S, work_s)) > move_cost_s
