"""Admits or refuses the calls of one service while room is scarce.

Designed for 59 instances in front of 45 engines with 32 slots, at 1.3 to 1.7 times what fits. Each
instance decides by the same sums over all instances and by the load that upstreams report, so all
of them cut the same levels. The part of the calls that is admitted follows from the slots that are
free or become free, so that it is right as soon as a wave of demand begins.
"""

from __future__ import annotations

import random
from collections.abc import Mapping
from dataclasses import dataclass

from jayyoke.admission.demand import Demand, DemandCounter, scale_demand
from jayyoke.admission.levels import Level, find_chance, find_chances
from jayyoke.admission.returns import ReturnSchedule
from jayyoke.admission.surge import find_kept

# Upstreams are filled up to this part of their slots while calls are refused: the rest evens out
# chance, so that an admitted call finds a free slot.
TARGET_PER_SLOT = 1.0
# Room is scarce from this part on, or from the second one on if some calls found no place.
# It is until all calls fit, or the upstreams are below the last part.
SCARCE_PER_SLOT = 0.95
MISSED_PER_SLOT = 0.75
MISSED_FRACTION = 0.03
ROOM_PER_SLOT = 0.4
UPDATE_S = 0.1
# Loads by reports are up to this part of the slots too high while requests end faster than before.
REPORT_ERROR = 0.15
# How strongly the admitted part answers to slots that are free, and to too many requests. The slots
# that requests will occupy are foreseen from how long they run; the rest is error and chance.
UNDER_GAIN = 3.0
OVER_GAIN = 2.0
# Teams that surge leave this part of the slots to the others, whose requests would have to wait for
# several running ones to end.
SURPLUS_HEADROOM = 0.1
# A call that is not served in time is refused within this part of its objective.
WAIT_OBJECTIVE_FRACTION = 0.125
# Callers return within a third of the time that they have left.
RETURN_LEFT_FRACTION = 0.3
# Callers return no earlier than after this part of that time, unless room is expected before.
EARLIEST_RETURN_FRACTION = 0.3
MIN_RETURN_S = 0.05


@dataclass(frozen=True, slots=True)
class Asked:
    """Describes a call: its rank, team, objective and time left in seconds.

    `expected_s` is how long the fastest upstream takes until its answer begins.
    """

    rank: int
    team: str
    objective_s: float
    left_s: float
    expected_s: float


@dataclass(frozen=True, slots=True)
class Room:
    """Holds the slots of a service's upstreams, and their load per slot by their reports.

    `duration_s` is how long requests run, `instances` how many instances send them.
    """

    slots: int
    per_slot: float
    duration_s: float
    instances: int

    def complete(self, fleet: Demand | None, own: Demand) -> Demand:
        """Return the figures of all instances, if not all of them tell theirs."""
        reported = max(0.0, self.per_slot - REPORT_ERROR) * self.slots
        if fleet is None:
            return scale_demand(own, self.instances)
        if fleet.running <= 0.0 or reported <= fleet.running:
            return fleet
        return scale_demand(fleet, reported / fleet.running)


@dataclass(frozen=True, slots=True)
class Turned:
    """Holds why a call is refused, and in how many seconds its caller should return."""

    reason: str
    return_s: float


@dataclass(slots=True)
class Counts:
    """Counts decisions since the start."""

    admitted: int = 0
    refused: int = 0
    late: int = 0
    missed: int = 0


class Gate:
    """Decides on the calls of one service at one instance; times are seconds since boot."""

    __slots__ = (
        "_chances",
        "_fleet",
        "_kept",
        "_returns",
        "_source",
        "_updated_s",
        "counter",
        "counts",
        "fraction",
        "own_per_slot",
        "per_slot",
        "scarce",
    )

    def __init__(self, now_s: float, source: random.Random):
        self._source = source
        self._returns = ReturnSchedule(source)
        self._fleet: Demand | None = None
        self._chances: dict[Level, float] = {}
        self._kept: dict[str, float] = {}
        self._updated_s = float("-inf")
        self.counter = DemandCounter(now_s)
        self.counts = Counts()
        # The part of the arriving calls that is admitted, and whether calls may be refused.
        self.fraction = 1.0
        self.scarce = False
        self.per_slot = 0.0
        # What the load would be if all instances had as many requests as this one.
        self.own_per_slot = 0.0

    @property
    def kept(self) -> dict[str, float]:
        """Return the part of each surging team's calls that counts as usual."""
        return self._kept

    @property
    def returning(self) -> int:
        """Return how many refused callers have yet to return."""
        return self._returns.booked

    def is_due(self, now_s: float) -> bool:
        """Tell whether it is time to adapt to the load again."""
        return now_s - self._updated_s >= UPDATE_S

    def update(
        self,
        now_s: float,
        room: Room,
        fleet: Demand | None = None,
        kept: Mapping[str, float] | None = None,
    ) -> bool:
        """Adapt to the load; return whether room became scarce, or is no longer.

        `fleet` holds the sums over all instances, or None if only the own figures are known, and
        `kept` the parts of surging teams if another instance has found them.
        """
        self._updated_s = now_s
        self.counter.advance(now_s, not self.scarce)
        own = self.counter.read()
        self.own_per_slot = own.running * room.instances / max(1, room.slots)
        demand = room.complete(fleet, own)
        self.per_slot = per_slot = room.per_slot
        if fleet is not None and room.slots:
            # What instances tell of their own requests is exact.
            self.per_slot = per_slot = demand.running / room.slots
        placed = demand.placed_fraction
        before = self.scarce
        if self.scarce:
            self.scarce = per_slot >= ROOM_PER_SLOT and (
                self.fraction < 1.0 or per_slot >= SCARCE_PER_SLOT
            )
        else:
            self.scarce = per_slot >= SCARCE_PER_SLOT or (
                placed < 1.0 - MISSED_FRACTION and per_slot >= MISSED_PER_SLOT
            )
        if not self.scarce:
            self.fraction = 1.0
            self._chances, self._kept = {}, {}
            return before
        slots = demand.find_slots(room.duration_s)
        target = TARGET_PER_SLOT * room.slots
        missing = target - per_slot * room.slots
        budget = target + missing * (UNDER_GAIN if missing > 0.0 else OVER_GAIN)
        offered = sum(slots.values())
        self.fraction = min(1.0, max(0.0, budget / max(1e-6, offered)))
        if kept is None:
            capacity = self.fraction * sum(demand.arrived.values())
            kept = find_kept(demand.teams, frozenset(self._kept), capacity)
        self._kept = dict(kept)
        self._chances = find_chances(slots, budget, SURPLUS_HEADROOM * room.slots)
        return not before

    def decide(self, asked: Asked, now_s: float) -> Turned | None:
        """Count a call that asks for the first time; return a refusal, or None if it may go on."""
        level = self._find_level(asked)
        self.counter.record_arrival(level, asked.team, not self.scarce)
        if not self.scarce:
            return None
        if asked.left_s < asked.expected_s:
            self.counts.late += 1
            return Turned("too-late", self._book(asked, now_s))
        if self._source.random() < find_chance(self._chances, level):
            self.counts.admitted += 1
            return None
        self.counts.refused += 1
        reason = "team-over-usual" if level.surplus else "no-room"
        return Turned(reason, self._book(asked, now_s))

    def record_placed(self, first: bool) -> None:
        """Count a call that got a place; `first` if it did not have one before."""
        self.counter.record_placed(first)

    def refuse_missed(self, asked: Asked, now_s: float) -> Turned:
        """Refuse a call that was admitted and found no place in time."""
        self.counts.missed += 1
        return Turned("no-place", self._book(asked, now_s))

    def record_ended(self, rank: int | None, duration_s: float | None) -> None:
        """Count a call whose place is free again, and how long it ran if that is known."""
        self.counter.record_ended(rank, duration_s)

    def find_wait_s(self, objective_s: float) -> float | None:
        """Return how long a call may wait for a place, or None if room is not scarce."""
        return WAIT_OBJECTIVE_FRACTION * objective_s if self.scarce else None

    def _find_level(self, asked: Asked) -> Level:
        kept = self._kept.get(asked.team, 1.0)
        return Level(kept < 1.0 and self._source.random() >= kept, asked.rank)

    def _book(self, asked: Asked, now_s: float) -> float:
        """Choose when the caller returns: spread, and not before room is expected."""
        latest_s = max(MIN_RETURN_S, RETURN_LEFT_FRACTION * asked.left_s)
        earliest_s = min(self._find_room_s(asked, now_s), EARLIEST_RETURN_FRACTION * latest_s)
        return self._returns.book(now_s, max(MIN_RETURN_S, earliest_s), latest_s)

    def _find_room_s(self, asked: Asked, now_s: float) -> float:
        """Return when the callers that return before will have been served, at the present rate."""
        demand = self.counter.read(0)
        returning = self._returns.count_returning(now_s, asked.left_s)
        arrived = sum(demand.arrived.values())
        spare = demand.placed - max(0.0, arrived - returning / max(0.1, asked.left_s))
        return returning / spare if spare > 0.0 else float("inf")
