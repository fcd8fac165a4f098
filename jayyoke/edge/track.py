"""What an instance has seen of each upstream: requests under way, load, speed and failures."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from jayyoke.platform.message import LoadReport
from jayyoke.utils.ewma import Ewma

# Weight of one outcome in the failure rate: two failures in a row make an upstream suspect.
OUTCOME_WEIGHT = 0.2
LATENCY_WEIGHT = 0.2
# Fewer outcomes than these say nothing about a rate.
LEAST_OUTCOMES = 4.0
# An upstream is suspended at this rate; services whose requests often fail by design have more.
SUSPECT_RATE = 0.35
SUSPECT_FACTOR = 2.5
FIRST_SUSPENSION_S = 0.7
MAX_SUSPENSION_S = 4.0
# A failed probe after a suspension doubles it; a good stretch of this length forgets it.
FORGET_SUSPENSION_S = 8.0
# Over how long the usual load of an upstream is averaged, and for how long it is kept unheard.
LEVEL_S = 2.0
LEVEL_KEPT_S = 5.0


@dataclass(slots=True)
class Track:
    """Holds the state of one incarnation; times are seconds since boot."""

    in_flight: int = 0
    # How many of them have their first token: upstreams report no others as running.
    answering: int = 0
    # Requests of other instances as of `heard_s`: none when the upstream was first seen.
    others: int = 0
    heard_s: float = 0.0
    reported: bool = False
    # The usual number of others' requests, averaged since `level_began_s`.
    level: float = 0.0
    level_began_s: float = 0.0
    latency: Ewma = field(default_factory=lambda: Ewma(LATENCY_WEIGHT))
    failure_rate: float = 0.0
    outcomes: float = 0.0
    suspended_until_s: float = 0.0
    suspension_s: float = 0.0
    cold_until_s: float = 0.0
    replaced: bool = False

    def find_load_age_s(self, now_s: float) -> float | None:
        """Return how old the last report is, or None without one."""
        return now_s - self.heard_s if self.reported else None

    def record_load(self, report: LoadReport, now_s: float) -> None:
        """Take the load that came with an answer."""
        self._take_report(report, now_s)

    def learn_load(self, requests: int, heard_s: float) -> None:
        """Take a load that another instance heard, unless an own one is newer."""
        if heard_s <= self.heard_s:
            return
        self._take_report(LoadReport(running=requests, waiting=0, slots=0), heard_s)

    def _take_report(self, report: LoadReport, at_s: float) -> None:
        gap_s = max(0.0, at_s - self.heard_s)
        self.heard_s = at_s
        # Own requests that are still being read are in no report; those that wait may be.
        running = max(0, report.running - self.answering)
        waiting = max(0, report.waiting - (self.in_flight - self.answering))
        self.others = running + waiting
        if not self.reported:
            self.reported = True
            self.level, self.level_began_s = float(self.others), at_s
            return
        self._update_level(gap_s)

    def weigh_level(self, now_s: float) -> float:
        """Return how much the usual load tells, from 0 for a single report or long silence to 1."""
        span_s = self.heard_s - self.level_began_s
        known = 1.0 - math.exp(-span_s / LEVEL_S)
        return known * math.exp(-max(0.0, now_s - self.heard_s) / LEVEL_KEPT_S)

    def _update_level(self, gap_s: float) -> None:
        """Average the load over time; a report stands for the time since the one before."""
        self.level += (1.0 - math.exp(-gap_s / LEVEL_S)) * (self.others - self.level)

    def record_success(self, latency_s: float | None, now_s: float) -> None:
        """Count a good answer and the time until it, if it is comparable."""
        self.outcomes += 1
        self.failure_rate -= OUTCOME_WEIGHT * self.failure_rate
        if latency_s is not None:
            self.latency.add(latency_s)
        if now_s - self.suspended_until_s > FORGET_SUSPENSION_S:
            self.suspension_s = 0.0

    def record_failure(self, now_s: float, service_rate: float) -> bool:
        """Count a failed request; return True if the upstream is suspended by it."""
        self.outcomes += 1
        self.failure_rate += OUTCOME_WEIGHT * (1.0 - self.failure_rate)
        limit = max(SUSPECT_RATE, SUSPECT_FACTOR * service_rate)
        if self.outcomes < LEAST_OUTCOMES or self.failure_rate < limit:
            return False
        return self._suspend(now_s)

    def record_unreachable(self, now_s: float) -> bool:
        """Count a connection that failed or went silent; return True if it suspends."""
        self.outcomes += 1
        self.failure_rate += OUTCOME_WEIGHT * (1.0 - self.failure_rate)
        return self._suspend(now_s)

    def is_suspended(self, now_s: float) -> bool:
        """Tell whether requests go elsewhere if they can."""
        return self.replaced or now_s < self.suspended_until_s

    def _suspend(self, now_s: float) -> bool:
        if now_s < self.suspended_until_s:
            return False
        self.suspension_s = min(MAX_SUSPENSION_S, max(FIRST_SUSPENSION_S, 2 * self.suspension_s))
        self.suspended_until_s = now_s + self.suspension_s
        return True


class Tracks:
    """Holds the tracks of all upstreams by incarnation."""

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._tracks: dict[str, Track] = {}

    def get(self, incarnation: str) -> Track:
        """Return the track of an incarnation; a new one starts empty."""
        track = self._tracks.get(incarnation)
        if track is None:
            track = self._tracks[incarnation] = Track(heard_s=self._now_s())
        return track

    def find(self, incarnation: str) -> Track | None:
        """Return the track of an incarnation that requests may have gone to."""
        return self._tracks.get(incarnation)

    def retain(self, incarnations: set[str]) -> None:
        """Forget incarnations that are gone and serve nothing any more."""
        for gone in set(self._tracks) - incarnations:
            if self._tracks[gone].in_flight == 0:
                del self._tracks[gone]

    def find_failure_rate(self, incarnations: list[str]) -> float:
        """Return the median failure rate of a service's upstreams."""
        rates = sorted(self.get(name).failure_rate for name in incarnations)
        return rates[len(rates) // 2] if rates else 0.0
