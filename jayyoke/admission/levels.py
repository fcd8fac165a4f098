"""Orders the requests of a service by who is served first, and cuts them where the room ends.

Designed for three ranks and 24 teams of uneven size that together send 1.3 to 1.7 times what fits.
Requests are admitted by rank; what a team sends beyond its usual amount comes after the usual
amounts of all ranks, so that a surging team takes room from nobody.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass


@dataclass(frozen=True, slots=True, order=True)
class Level:
    """Holds a class of requests that are admitted alike; lower ones go first."""

    surplus: bool
    rank: int


def find_chances(
    slots: Mapping[Level, float], budget: float, headroom: float = 0.0
) -> dict[Level, float]:
    """Return each level's chance to be admitted.

    `slots` is what each level would occupy, `budget` what all may occupy, of which the levels of
    surplus leave `headroom` free.
    """
    left = budget
    chances = {}
    for level in sorted(slots):
        amount = slots[level]
        if level.surplus:
            left, headroom = max(0.0, left - headroom), 0.0
        chances[level] = 1.0 if amount <= left else max(0.0, left / amount)
        left = max(0.0, left - amount)
    return chances


def find_chance(chances: Mapping[Level, float], level: Level) -> float:
    """Return the chance of a level, also of one that had no requests before."""
    known = chances.get(level)
    if known is not None:
        return known
    before = [chances[found] for found in chances if found < level]
    return min(before, default=1.0)
