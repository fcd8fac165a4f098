"""Evidence about a new version, pooled over instances, and the test that judges it.

The test is Wald's sequential probability ratio test (1945) with a mixture of alternatives. It
compares the new version's share of bad outcomes with the old version's in the same period, by
route and over all routes.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from jayyoke.core.move import OutcomeCounts

# A move runs about twenty tests (failures and slowness on each route and over all routes);
# 0.0001 for each keeps the probability that a move halts a good version well below 0.01.
FALSE_ALARM_PROBABILITY = 0.0001
MISSED_ALARM_PROBABILITY = 0.01
MIN_FAILURE_RATE = 0.005
MIN_SLOW_RATE = 0.05
# Alternatives of the test, as multiples of the usual rate. Large ones halt a version that fails
# nearly always after three requests; small ones find a version that fails occasionally.
FAILURE_FACTORS = (4.0, 20.0, 100.0)
SLOW_FACTORS = (3.0, 8.0, 18.0)
# Engines of the new version start with cold prefix caches, so that more of their first tokens
# are late; without this allowance 1 good version of 203 was rolled back (bench, seed 1).
COLD_SLOW_ALLOWANCE = 1.5
MAX_BAD_RATE = 0.95
# Below this a route of the old version has too little evidence, and the rate over all routes is
# used instead.
MIN_REFERENCE_REQUESTS = 50
ALL_ROUTES = "*"


@dataclass(frozen=True, slots=True)
class Verdict:
    """Says that a version is bad, on which route, and by which measure."""

    route: str
    measure: str
    bad: int
    requests: int
    expected_rate: float

    def __str__(self) -> str:
        return (
            f"{self.bad} of {self.requests} requests {self.measure} on route {self.route},"
            f" expected {self.expected_rate:.3f}"
        )


def mix_likelihood_ratios(bad: int, requests: int, usual: float, factors: Sequence[float]) -> float:
    """Return the log of the mean likelihood ratio of several alarming rates to the usual rate."""
    good = requests - bad
    log_ratios = []
    for factor in factors:
        alarming = min(MAX_BAD_RATE, usual * factor)
        gain = bad * math.log(alarming / usual)
        log_ratios.append(gain + good * math.log((1 - alarming) / (1 - usual)))
    highest = max(log_ratios)
    return highest + math.log(
        sum(math.exp(value - highest) for value in log_ratios) / len(log_ratios)
    )


@dataclass(frozen=True, slots=True)
class RouteComparison:
    """Compares the new version with the old one on one route by one measure.

    `log_ratio` is the log likelihood ratio of a bad version to a usual one.
    """

    verdict: Verdict
    log_ratio: float


def judge(new: Mapping[str, OutcomeCounts], old: Mapping[str, OutcomeCounts]) -> Verdict | None:
    """Return a verdict if the new version is clearly worse than the old one, else None."""
    threshold = math.log((1 - MISSED_ALARM_PROBABILITY) / FALSE_ALARM_PROBABILITY)
    for weight in compare_versions(new, old):
        if weight.log_ratio > threshold:
            return weight.verdict
    return None


def compare_versions(
    new: Mapping[str, OutcomeCounts], old: Mapping[str, OutcomeCounts]
) -> list[RouteComparison]:
    """Compare the versions by each route and measure; all routes together come first."""
    found = []
    old_all = add_routes(old)
    for route, counts in add_routes(new).items():
        reference = old_all.get(route, OutcomeCounts())
        if reference.requests < MIN_REFERENCE_REQUESTS:
            reference = old_all[ALL_ROUTES]
        usual = estimate_rate(reference.failures, reference.requests, MIN_FAILURE_RATE)
        ratio = mix_likelihood_ratios(counts.failures, counts.requests, usual, FAILURE_FACTORS)
        verdict = Verdict(route, "failed", counts.failures, counts.requests, usual)
        found.append(RouteComparison(verdict, ratio))
        usual = estimate_rate(reference.slow, reference.requests, MIN_SLOW_RATE)
        usual = min(usual * COLD_SLOW_ALLOWANCE, MAX_BAD_RATE / 2)
        ratio = mix_likelihood_ratios(counts.slow, counts.requests, usual, SLOW_FACTORS)
        verdict = Verdict(route, "were slow", counts.slow, counts.requests, usual)
        found.append(RouteComparison(verdict, ratio))
    return found


def estimate_rate(bad: int, requests: int, floor: float) -> float:
    """Return a rate from counts, not below the floor and not above half the maximum."""
    rate = (bad + floor * 20) / (requests + 20)
    return min(max(rate, floor), MAX_BAD_RATE / 2)


def add_routes(counts: Mapping[str, OutcomeCounts]) -> dict[str, OutcomeCounts]:
    """Return the counts by route with an entry for all routes together."""
    total = OutcomeCounts()
    for value in counts.values():
        total = total.add(value)
    return {ALL_ROUTES: total, **counts}


class EvidencePool:
    """Holds the newest cumulative counts of each source, by version and route.

    Sources send totals since the move began, so that a lost or repeated message does no harm.
    """

    __slots__ = ("_sources",)

    def __init__(self) -> None:
        self._sources: dict[str, dict[tuple[str, str], OutcomeCounts]] = {}

    def replace(self, source: str, counts: Mapping[tuple[str, str], OutcomeCounts]) -> None:
        """Store a source's totals, except those of an older message, which are lower."""
        known = self._sources.setdefault(source, {})
        for key, value in counts.items():
            if key in known and known[key].requests > value.requests:
                continue
            known[key] = value

    def total(self) -> dict[tuple[str, str], OutcomeCounts]:
        """Return the counts over all sources by version and route."""
        sums: dict[tuple[str, str], OutcomeCounts] = {}
        for counts in self._sources.values():
            for key, value in counts.items():
                sums[key] = sums.get(key, OutcomeCounts()).add(value)
        return sums

    def by_route(self, version: str) -> dict[str, OutcomeCounts]:
        """Return the counts of one version by route."""
        return select_version(self.total(), version)


def select_version(
    counts: Mapping[tuple[str, str], OutcomeCounts], version: str
) -> dict[str, OutcomeCounts]:
    """Return the counts of one version by route."""
    return {route: value for (known, route), value in counts.items() if known == version}


def count_requests(counts: Iterable[OutcomeCounts]) -> int:
    """Return the number of requests over several counts."""
    return sum(value.requests for value in counts)
