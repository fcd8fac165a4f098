"""Weighs what an instance knows of an upstream's answer times by its age.

Designed for plain services of a few servers with 6 slots and 60 ms of work, which report no load.
An instance knows only its own requests there. The average of its answer times lags behind spells
of 0.6 s, and with 195 instances it is seconds old. The last answer time shows a spell, or a queue,
for as long as it is fresh, and an old average says less than that of the other servers.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from jayyoke.pace.figure import MAX_SLOWNESS

# Time constant of the weight of the last answer time.
LAST_KEPT_S = 0.3
# Time constant of the return of an upstream's average to that of the service, without answers.
AVERAGE_KEPT_S = 4.0


@dataclass(frozen=True, slots=True)
class LastAnswer:
    """Holds the time that an upstream took for its last answer, and how long ago that was."""

    latency_s: float
    age_s: float


def estimate_latency_s(
    average_s: float, last: LastAnswer, usual_s: float, slowness: float = 1.0
) -> float:
    """Return the expected time of an answer now.

    `average_s` is the upstream's average, `usual_s` that of the service's upstreams, `slowness`
    what the upstream reports of itself.
    """
    age_s = max(0.0, last.age_s)
    expected_s = usual_s + (average_s - usual_s) * math.exp(-age_s / AVERAGE_KEPT_S)
    excess = min(MAX_SLOWNESS, last.latency_s / average_s) - 1.0 if average_s > 0.0 else 0.0
    factor = 1.0 + max(0.0, excess) * math.exp(-age_s / LAST_KEPT_S)
    return expected_s * max(factor, slowness)
