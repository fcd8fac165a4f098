"""Estimates how many requests the upstreams of a service have now.

Designed for instances that get a report of an engine a few times a second, while its requests last
about half a second. A report is exact only at its time: it lacks the requests that other instances
sent since, and some of those that it counted have ended.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

from jayyoke.core.upstream import Upstream
from jayyoke.edge.canary import Split
from jayyoke.edge.track import UpstreamStats
from jayyoke.pace.figure import estimate_slowness
from jayyoke.utils.ewma import Ewma

# Assumed duration of requests until some have ended.
INITIAL_DURATION_S = 0.5
MIN_DURATION_S = 0.05
DURATION_WEIGHT = 0.05


@dataclass(frozen=True, slots=True)
class Loads:
    """Holds the estimated requests of a service's upstreams by incarnation, and their mean.

    `free_mean` is that of the upstreams without a limit if it is higher. `slowness` has the
    upstreams that are slow now, with how many times longer their work takes.
    """

    by_incarnation: Mapping[str, float]
    mean: float
    free_mean: float
    slowness: Mapping[str, float] = field(default_factory=dict)

    def find(self, incarnation: str) -> float:
        """Return the load of an upstream, or 0 if it is not live."""
        return self.by_incarnation.get(incarnation, 0.0)


NO_LOADS = Loads({}, 0.0, 0.0)


def find_excluded(
    live: Iterable[Upstream], split: Split, evacuated: Collection[str]
) -> frozenset[str]:
    """Return the upstreams to which no instance may send requests, by the store's rows."""
    excluded = set()
    for found in live:
        share = 1.0
        if split.version:
            share = split.share if found.version == split.version else 1.0 - split.share
        if found.version in split.set_aside:
            share = 0.0
        if share <= 0.0 or found.domain in evacuated:
            excluded.add(found.incarnation)
    return frozenset(excluded)


class LoadEstimator:
    """Estimates the loads of one service's upstreams from own requests and reports."""

    __slots__ = ("_duration",)

    def __init__(self) -> None:
        self._duration = Ewma(DURATION_WEIGHT)

    @property
    def duration_s(self) -> float:
        """Return how long requests last on average, in seconds."""
        known_s = self._duration.value
        return INITIAL_DURATION_S if known_s is None else max(MIN_DURATION_S, known_s)

    def record_duration(self, duration_s: float) -> None:
        """Record how long a request occupied its slot."""
        self._duration.add(duration_s)

    def estimate(
        self,
        stats_by_incarnation: Mapping[str, UpstreamStats],
        now_s: float,
        excluded: Collection[str] = (),
        limited: Collection[str] = (),
    ) -> Loads:
        """Return the loads of all live upstreams of the service, given their statistics.

        A load is the own requests in flight plus an estimate of those of other instances. The
        weight of the last report falls exponentially with its age, since the requests that it
        counted end. The rest is the mean load of the upstream, or of the service's upstreams where
        the upstream has few reports. Upstreams without a report are assumed to have no requests of
        others. Those in `excluded` get no more requests from any instance, those in `limited` fewer
        than others. Requests at an upstream that is slow now end later.
        """
        if not stats_by_incarnation:
            return NO_LOADS
        reported = [
            stats.other_requests for stats in stats_by_incarnation.values() if stats.reported
        ]
        average = sum(reported) / len(reported) if reported else 0.0
        slowness = estimate_slowness(
            ((name, stats.figures.figure) for name, stats in stats_by_incarnation.items()), now_s
        )
        loads = {}
        for name, stats in stats_by_incarnation.items():
            loads[name] = float(stats.in_flight)
            if not stats.reported:
                continue
            mean_weight = stats.weigh_mean(now_s)
            expected = mean_weight * stats.mean_others + (1.0 - mean_weight) * average
            if name in excluded:
                expected = 0.0
            duration_s = self.duration_s * slowness.get(name, 1.0)
            weight = math.exp(-max(0.0, now_s - stats.reported_at_s) / duration_s)
            loads[name] += weight * stats.other_requests + (1.0 - weight) * expected
        mean = sum(loads.values()) / len(loads)
        free = [load for name, load in loads.items() if name not in limited]
        free_mean = max(mean, sum(free) / len(free)) if free else mean
        return Loads(loads, mean, free_mean, slowness)
