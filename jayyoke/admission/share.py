"""Fair shares of a capacity between teams, and a team's part at one of several instances."""

from __future__ import annotations

import math
from collections.abc import Iterable


def find_fair_share(demands: Iterable[tuple[float, float]], capacity: float) -> float:
    """Return the max-min fair share of a team of weight 1, infinite if every demand fits.

    `demands` holds each team's demand, divided by its weight, and the weight.
    """
    ordered = sorted(demands)
    weights = sum(weight for _, weight in ordered)
    for weighted_demand, weight in ordered:
        if weighted_demand * weights >= capacity:
            return capacity / weights
        capacity -= weighted_demand * weight
        weights -= weight
    return math.inf


def find_part(local: float, peers: float, peer_count: int) -> float:
    """Return the part of a team's load that this instance has, at least that of an even spread."""
    return max(1.0 / (peer_count + 1), local / (local + peers))
