"""Statistics of each upstream: requests in flight, load, latency and failures."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass, field

from jayyoke.pace.figure import FigureTrack
from jayyoke.pace.latency import LastAnswer
from jayyoke.platform.message import LoadReport
from jayyoke.utils.ewma import Ewma

# Weight of one outcome in the failure rate: two failures in a row suspend an upstream.
OUTCOME_WEIGHT = 0.2
LATENCY_WEIGHT = 0.2
# With fewer outcomes an upstream is not suspended by its failure rate.
MIN_OUTCOMES = 4.0
# An upstream is suspended at this failure rate, or at SUSPEND_FACTOR times that of its service if
# that is higher, since the requests of some services often fail by design.
SUSPEND_RATE = 0.35
SUSPEND_FACTOR = 2.5
INITIAL_SUSPENSION_S = 0.7
MAX_SUSPENSION_S = 4.0
# A failure after a suspension doubles the next one; a success this long after one resets it.
SUSPENSION_RESET_S = 8.0
# Time constants of an upstream's mean load: of its average, and of its decay without reports.
MEAN_WINDOW_S = 2.0
MEAN_KEPT_S = 5.0


@dataclass(slots=True)
class UpstreamStats:
    """Holds the statistics of one incarnation; times are seconds since boot."""

    in_flight: int = 0
    # How many of them have their first token; upstreams report only these as running.
    answering: int = 0
    # Requests of other instances at `reported_at_s`; none when the upstream was first seen.
    other_requests: int = 0
    reported_at_s: float = 0.0
    reported: bool = False
    # How slow the upstream is, by answers to this instance and to its peers.
    figures: FigureTrack = field(default_factory=FigureTrack)
    # Mean of `other_requests`, averaged since `mean_since_s`.
    mean_others: float = 0.0
    mean_since_s: float = 0.0
    latency: Ewma = field(default_factory=lambda: Ewma(LATENCY_WEIGHT))
    # The last answer time and when it ended.
    last_latency_s: float = 0.0
    last_latency_at_s: float = 0.0
    failure_rate: float = 0.0
    outcomes: float = 0.0
    suspended_until_s: float = 0.0
    suspension_s: float = 0.0
    cold_until_s: float = 0.0
    replaced: bool = False

    def find_load_age_s(self, now_s: float) -> float | None:
        """Return how old the last report is, or None without one."""
        return now_s - self.reported_at_s if self.reported else None

    def record_load(self, report: LoadReport, now_s: float) -> None:
        """Record the load that came with an answer."""
        self._apply_report(report, now_s)

    def record_peer_load(self, requests: int, at_s: float, slowness: float | None = None) -> None:
        """Record a load reported to another instance, unless a newer one is known."""
        if at_s <= self.reported_at_s:
            return
        self._apply_report(LoadReport(requests, 0, 0, slowness), at_s)

    def _apply_report(self, report: LoadReport, at_s: float) -> None:
        gap_s = max(0.0, at_s - self.reported_at_s)
        self.reported_at_s = at_s
        if report.slowness is not None:
            self.figures.record(report.slowness, at_s)
        # Own requests that are still in prefill are in no report; those that wait may be.
        running = max(0, report.running - self.answering)
        waiting = max(0, report.waiting - (self.in_flight - self.answering))
        self.other_requests = running + waiting
        if not self.reported:
            self.reported = True
            self.mean_others, self.mean_since_s = float(self.other_requests), at_s
            return
        self._update_mean(gap_s)

    def find_last_answer(self, now_s: float) -> LastAnswer | None:
        """Return the last answer whose time is known; None also if the upstream reports loads."""
        if self.reported or self.latency.value is None:
            return None
        return LastAnswer(self.last_latency_s, now_s - self.last_latency_at_s)

    def weigh_mean(self, now_s: float) -> float:
        """Return the weight of the mean load, from 0 after one report or long silence to 1."""
        span_s = self.reported_at_s - self.mean_since_s
        known = 1.0 - math.exp(-span_s / MEAN_WINDOW_S)
        return known * math.exp(-max(0.0, now_s - self.reported_at_s) / MEAN_KEPT_S)

    def _update_mean(self, gap_s: float) -> None:
        """Average the load over time; a report stands for the time since the one before."""
        self.mean_others += (1.0 - math.exp(-gap_s / MEAN_WINDOW_S)) * (
            self.other_requests - self.mean_others
        )

    def record_success(self, latency_s: float | None, now_s: float) -> None:
        """Count a good answer; `latency_s` is None if its time is not comparable."""
        self.outcomes += 1
        self.failure_rate -= OUTCOME_WEIGHT * self.failure_rate
        if latency_s is not None:
            self.latency.add(latency_s)
            self.last_latency_s, self.last_latency_at_s = latency_s, now_s
        if now_s - self.suspended_until_s > SUSPENSION_RESET_S:
            self.suspension_s = 0.0

    def record_failure(self, now_s: float, service_rate: float) -> bool:
        """Count a failed request; return True if the upstream is suspended by it."""
        self.outcomes += 1
        self.failure_rate += OUTCOME_WEIGHT * (1.0 - self.failure_rate)
        limit = max(SUSPEND_RATE, SUSPEND_FACTOR * service_rate)
        if self.outcomes < MIN_OUTCOMES or self.failure_rate < limit:
            return False
        return self._suspend(now_s)

    def record_unreachable(self, now_s: float) -> bool:
        """Count a failed or silent connection; return True if the upstream is suspended by it."""
        self.outcomes += 1
        self.failure_rate += OUTCOME_WEIGHT * (1.0 - self.failure_rate)
        return self._suspend(now_s)

    def is_suspended(self, now_s: float) -> bool:
        """Tell whether requests should avoid the upstream for now."""
        return self.replaced or now_s < self.suspended_until_s

    def _suspend(self, now_s: float) -> bool:
        if now_s < self.suspended_until_s:
            return False
        self.suspension_s = min(MAX_SUSPENSION_S, max(INITIAL_SUSPENSION_S, 2 * self.suspension_s))
        self.suspended_until_s = now_s + self.suspension_s
        return True


class UpstreamTracker:
    """Holds the statistics of all upstreams by incarnation."""

    def __init__(self, now_s: Callable[[], float]) -> None:
        self._now_s = now_s
        self._stats: dict[str, UpstreamStats] = {}

    def get(self, incarnation: str) -> UpstreamStats:
        """Return the statistics of an incarnation; those of a new one are empty."""
        stats = self._stats.get(incarnation)
        if stats is None:
            stats = self._stats[incarnation] = UpstreamStats(reported_at_s=self._now_s())
        return stats

    def find(self, incarnation: str) -> UpstreamStats | None:
        """Return the statistics of an incarnation, or None if there are none."""
        return self._stats.get(incarnation)

    def retain(self, incarnations: set[str]) -> None:
        """Forget the incarnations that are not given and have no requests in flight."""
        for gone in set(self._stats) - incarnations:
            if self._stats[gone].in_flight == 0:
                del self._stats[gone]

    def find_failure_rate(self, incarnations: list[str]) -> float:
        """Return the median failure rate of a service's upstreams."""
        rates = sorted(self.get(name).failure_rate for name in incarnations)
        return rates[len(rates) // 2] if rates else 0.0
