"""Spells in which a simulated engine is slower than usual."""

from __future__ import annotations

import bisect
import random
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Spells:
    """Describes spells of `length_s` that fill a share of the time and divide the speed."""

    share: float = 0.15
    factor: float = 2.5
    length_s: float = 0.6


class SpeedPlan:
    """Holds one engine's spells from a time on, which are drawn as time goes on.

    `speed` is that of the machine outside of spells; 1.0 is usual.
    """

    def __init__(
        self,
        source: random.Random,
        spells: Spells | None,
        speed: float = 1.0,
        begins_s: float = 0.0,
    ):
        self._begins_s = begins_s
        self._source = source
        self._spells = spells
        self._speed = speed
        # Ends of the pieces of time; spells are the pieces with odd numbers.
        self._ends_s: list[float] = []

    @property
    def speed(self) -> float:
        """Return the speed outside of spells."""
        return self._speed

    def find_slowness(self, at_s: float) -> float:
        """Return how many times longer work takes than usual on this machine."""
        if self._spells is None:
            return 1.0
        return self._spells.factor if self._find_piece(at_s) % 2 else 1.0

    def find_end_s(self, begins_s: float, work_s: float) -> float:
        """Return when work that begins at a time ends."""
        left_s = work_s / self._speed
        if self._spells is None:
            return begins_s + left_s
        at_s = begins_s
        while True:
            piece = self._find_piece(at_s)
            slowness = self._spells.factor if piece % 2 else 1.0
            end_s = at_s + left_s * slowness
            if end_s <= self._ends_s[piece]:
                return end_s
            left_s -= (self._ends_s[piece] - at_s) / slowness
            at_s = self._ends_s[piece]

    def _find_piece(self, at_s: float) -> int:
        assert self._spells is not None
        gap_s = self._spells.length_s * (1.0 - self._spells.share) / self._spells.share
        while not self._ends_s or self._ends_s[-1] <= at_s:
            slow = len(self._ends_s) % 2
            length_s = self._spells.length_s if slow else self._source.expovariate(1.0 / gap_s)
            if not self._ends_s:
                # The first spell of an engine may have begun before the simulation.
                length_s -= self._spells.length_s * self._source.random()
            self._ends_s.append((self._ends_s[-1] if self._ends_s else self._begins_s) + length_s)
        return bisect.bisect_right(self._ends_s, at_s)


@dataclass(frozen=True, slots=True)
class Figures:
    """Describes the figures of slowness that instances have of the engines.

    With `age_s` each instance knows the figure of each engine as it was then; None means that it
    knows those that come with answers and from peers. `fault` is how figures are wrong: "random",
    "inverted", "always-slow" (three engines in ten are said to be slow all the time), "huge" or
    "zero"; empty if they are right.
    """

    age_s: float | None = None
    fault: str = ""

    def read(self, number: int, plan: SpeedPlan, now_s: float) -> float:
        """Return the figure of an engine at a time."""
        slowness = plan.find_slowness(now_s)
        match self.fault:
            case "random":
                return random.Random(f"{number}-{int(now_s * 10)}").uniform(0.5, 4.0)
            case "inverted":
                return 1.0 if slowness > 1.0 else 2.5
            case "always-slow":
                return 2.5 if number % 10 < 3 else slowness
            case "huge":
                return 1e6
            case "zero":
                return 0.0
        return slowness


@dataclass(frozen=True, slots=True)
class Machines:
    """Describes the engines' machines; `figures` is None if they report no slowness.

    `speeds` are those outside of spells, taken in turn. `swing` is the fraction by which the
    traffic of each domain swings, out of phase with the others.
    """

    spells: Spells | None = None
    figures: Figures | None = None
    speeds: tuple[float, ...] = (1.0,)
    slots: int = 64
    first_token_s: float = 0.055
    tokens_per_s: float = 140_000.0
    swing: float = 0.0


USUAL_MACHINES = Machines()
