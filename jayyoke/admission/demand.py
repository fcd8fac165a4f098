"""Counts what a service's callers asked for and what was placed, here and at all instances.

Designed for 59 to 410 instances that get about five requests a second each: the figures of one
instance say little, so decisions use the sums of all. A team's usual amount is learnt only while
there is room, so that a surge does not become usual while it is being cut.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from jayyoke.admission.levels import Level

# The time constant of a team's usual amount.
USUAL_WINDOW_S = 30.0
# The time constants of what arrived, and of a team's recent amount. Longer ones of arrivals refuse
# calls after the end of a wave; a small team has too few requests in shorter ones.
ARRIVED_WINDOW_S = 1.0
RECENT_WINDOW_S = 2.0
# The time constant of how long requests run.
ENDED_WINDOW_S = 10.0
# A usual amount approaches at most this multiple of itself in USUAL_WINDOW_S; requests beyond it
# count for at least the second part, so that a new team gets a usual amount.
MAX_GROWTH = 2.0
MIN_WEIGHT = 0.1
# Teams counted for one service; those with the least recent requests are forgotten first.
MAX_TEAMS = 256


@dataclass(slots=True)
class Decayed:
    """Sums amounts whose weight falls exponentially with their age, in windows of `window_s`."""

    window_s: float
    began_s: float
    amount: float = 0.0
    at_s: float = 0.0

    def add(self, amount: float, now_s: float) -> None:
        """Include an amount."""
        self.amount = self._read(now_s) + amount
        self.at_s = now_s

    def read_rate(self, now_s: float) -> float:
        """Return the amount a second, also before a whole window has passed."""
        known = 1.0 - math.exp(-max(1e-3, now_s - self.began_s) / self.window_s)
        # A single request in the first moment is no rate.
        return self._read(now_s) / (self.window_s * max(0.1, known))

    def _read(self, now_s: float) -> float:
        return self.amount * math.exp(-max(0.0, now_s - self.at_s) / self.window_s)


@dataclass(frozen=True, slots=True)
class Demand:
    """Holds requests a second: arrived and placed ones, teams' recent and usual ones.

    `running` is how many have a place now, `ended` by level how many ended lately and how long they
    ran together, in seconds.
    """

    arrived: dict[Level, float] = field(default_factory=dict)
    placed: float = 0.0
    running: float = 0.0
    ended: dict[Level, tuple[float, float]] = field(default_factory=dict)
    teams: dict[str, tuple[float, float]] = field(default_factory=dict)

    @property
    def placed_fraction(self) -> float:
        """Return the part of the arrived requests that were placed, or 1 if none arrived."""
        arrived = sum(self.arrived.values())
        return 1.0 if arrived <= 0.0 else min(1.0, self.placed / arrived)

    def find_slots(self, unknown_s: float) -> dict[Level, float]:
        """Return how many slots each level would occupy if all its requests were placed.

        `unknown_s` is how long requests of a rank are taken to run until some have ended.
        """
        found = {}
        for level, rate in self.arrived.items():
            count, seconds = self.ended.get(Level(False, level.rank), (0.0, 0.0))
            found[level] = rate * (seconds / count if count > 0.0 else unknown_s)
        return found


def add_demands(demands: Iterable[Demand]) -> Demand:
    """Return the sum of several instances' or domains' figures."""
    arrived: dict[Level, float] = {}
    placed = running = 0.0
    ended: dict[Level, tuple[float, float]] = {}
    teams: dict[str, tuple[float, float]] = {}
    for demand in demands:
        placed += demand.placed
        running += demand.running
        for level, (count, seconds) in demand.ended.items():
            known = ended.get(level, (0.0, 0.0))
            ended[level] = (known[0] + count, known[1] + seconds)
        for level, rate in demand.arrived.items():
            arrived[level] = arrived.get(level, 0.0) + rate
        for name, (recent, usual) in demand.teams.items():
            before = teams.get(name, (0.0, 0.0))
            teams[name] = (before[0] + recent, before[1] + usual)
    return Demand(arrived, placed, running, ended, teams)


def scale_demand(demand: Demand, factor: float) -> Demand:
    """Return the figures of several instances that are like the given one."""
    teams = {}
    for name, (recent, usual) in demand.teams.items():
        teams[name] = (recent * factor, usual * factor)
    arrived = {level: rate * factor for level, rate in demand.arrived.items()}
    placed, running = demand.placed * factor, demand.running * factor
    return Demand(arrived, placed, running, demand.ended, teams)


@dataclass(slots=True)
class _Team:
    recent: Decayed
    usual: Decayed


class DemandCounter:
    """Counts one service's requests at one instance."""

    __slots__ = (
        "_arrived",
        "_began_s",
        "_calm_s",
        "_ended",
        "_now_s",
        "_placed",
        "_running",
        "_teams",
    )

    def __init__(self, now_s: float):
        self._began_s = now_s
        self._now_s = now_s
        # Time that passed while there was room; usual amounts are counted on this clock.
        self._calm_s = 0.0
        self._arrived: dict[Level, Decayed] = {}
        self._placed = Decayed(ARRIVED_WINDOW_S, now_s, at_s=now_s)
        self._running = 0
        # How many ended by level, and how long they ran.
        self._ended: dict[Level, tuple[Decayed, Decayed]] = {}
        self._teams: dict[str, _Team] = {}

    def advance(self, now_s: float, room: bool) -> None:
        """Record that time has passed; `room` if there was room in it."""
        if room:
            self._calm_s += max(0.0, now_s - self._now_s)
        self._now_s = max(now_s, self._now_s)

    def record_arrival(self, level: Level, team: str, room: bool) -> None:
        """Count a request that asks for a place for the first time."""
        arrived = self._arrived.get(level)
        if arrived is None:
            arrived = Decayed(ARRIVED_WINDOW_S, self._began_s, at_s=self._now_s)
            self._arrived[level] = arrived
        arrived.add(1.0, self._now_s)
        found = self._teams.get(team)
        if found is None:
            if len(self._teams) >= MAX_TEAMS:
                self._forget_smallest()
            recent = Decayed(RECENT_WINDOW_S, self._began_s)
            found = self._teams[team] = _Team(recent, Decayed(USUAL_WINDOW_S, 0.0))
        found.recent.add(1.0, self._now_s)
        if room:
            found.usual.add(self._weigh_usual(found), self._calm_s)

    def record_placed(self, first: bool = True) -> None:
        """Count a request that got a place; `first` if it did not have one before."""
        self._running += 1
        if first:
            self._placed.add(1.0, self._now_s)

    def record_ended(self, rank: int | None, duration_s: float | None) -> None:
        """Count a request whose place is free again, and how long it ran if that is known."""
        self._running = max(0, self._running - 1)
        if rank is None or duration_s is None:
            return
        level = Level(False, rank)
        found = self._ended.get(level)
        if found is None:
            began_s = self._began_s
            found = self._ended[level] = (
                Decayed(ENDED_WINDOW_S, began_s, at_s=self._now_s),
                Decayed(ENDED_WINDOW_S, began_s, at_s=self._now_s),
            )
        found[0].add(1.0, self._now_s)
        found[1].add(duration_s, self._now_s)

    def read(self, max_teams: int = MAX_TEAMS) -> Demand:
        """Return the figures, with the teams that have the most recent requests."""
        now_s = self._now_s
        teams = {}
        for name, team in self._teams.items() if max_teams else ():
            teams[name] = (team.recent.read_rate(now_s), team.usual.read_rate(self._calm_s))
        ended = self._ended.items()
        largest = sorted(teams, key=lambda name: -teams[name][0])[:max_teams]
        return Demand(
            {level: counted.read_rate(now_s) for level, counted in self._arrived.items()},
            self._placed.read_rate(now_s),
            float(self._running),
            {level: (c.read_rate(now_s), s.read_rate(now_s)) for level, (c, s) in ended},
            {name: teams[name] for name in largest},
        )

    def _weigh_usual(self, team: _Team) -> float:
        """Return how much a request adds to the usual amount, which grows slowly in a surge."""
        recent = team.recent.read_rate(self._now_s)
        usual = team.usual.read_rate(self._calm_s)
        if self._calm_s < USUAL_WINDOW_S / 3 or recent <= MAX_GROWTH * usual:
            return 1.0
        return max(MIN_WEIGHT, MAX_GROWTH * usual / recent)

    def _forget_smallest(self) -> None:
        now_s = self._now_s
        smallest = min(self._teams, key=lambda name: self._teams[name].recent.read_rate(now_s))
        del self._teams[smallest]
