"""Detects failure domains that this instance cannot reach.

Designed for a partition that cuts off a domain of 36 engines while 77 instances serve seven
requests/s each. Detecting each engine by itself took a timeout for each, and another after each
suspension, so a third of the requests lost a timeout for as long as the partition lasted. Two
engines of one domain that accept no connection, or acknowledge nothing on an open one, make the
whole domain suspected; one request at a time then probes it, until one of its engines answers.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from jayyoke.edge.outcome import Delivered, Failed, MayHaveRun, NotRun, Outcome

# A single upstream that accepts no connection may itself be at fault.
MIN_LOST_UPSTREAMS = 2
# Longer than a connection takes to time out, so that one request at a time probes the domain.
INITIAL_BACKOFF_S = 0.6
MAX_BACKOFF_S = 1.2


@dataclass(slots=True)
class DomainFailures:
    """Holds the failures of a domain since one of its upstreams last answered."""

    lost_upstreams: set[str] = field(default_factory=set)
    backoff_until_s: float = 0.0
    backoff_s: float = 0.0


class DomainTracker:
    """Tracks failures of all failure domains; times are seconds since boot."""

    def __init__(self) -> None:
        self._failures: dict[str, DomainFailures] = {}

    def record_failure(self, domain: str, incarnation: str, now_s: float) -> bool:
        """Count an upstream whose host does not react; tell whether a suspicion begins."""
        failures = self._failures.setdefault(domain, DomainFailures())
        suspected = self.is_suspected(domain)
        failures.lost_upstreams.add(incarnation)
        if not self.is_suspected(domain):
            return False
        failures.backoff_s = min(MAX_BACKOFF_S, max(INITIAL_BACKOFF_S, 2 * failures.backoff_s))
        failures.backoff_until_s = now_s + failures.backoff_s
        return not suspected

    def record_reached(self, domain: str) -> bool:
        """Record that an upstream answered; tell whether a suspicion ends."""
        suspected = self.is_suspected(domain)
        self._failures.pop(domain, None)
        return suspected

    def record_outcome(self, domain: str, incarnation: str, outcome: Outcome, now_s: float) -> str:
        """Record the outcome of a send; return what to log if a suspicion begins or ends."""
        match outcome:
            case NotRun(silent=True) | MayHaveRun(path_lost=True):
                begins = self.record_failure(domain, incarnation, now_s)
                return "domain-doubted" if begins else ""
            case Delivered() | Failed() | NotRun(arrived=True):
                return "domain-reached" if self.record_reached(domain) else ""
        return ""

    def is_suspected(self, domain: str) -> bool:
        """Tell whether the domain is suspected to be unreachable."""
        failures = self._failures.get(domain)
        return failures is not None and len(failures.lost_upstreams) >= MIN_LOST_UPSTREAMS

    def has_failures(self, domain: str) -> bool:
        """Tell whether an upstream did not react since the domain last answered."""
        return domain in self._failures

    def in_backoff(self, domain: str, now_s: float) -> bool:
        """Tell whether requests should avoid the domain for now."""
        return self.is_suspected(domain) and now_s < self._failures[domain].backoff_until_s

    def record_probe(self, domain: str, now_s: float) -> None:
        """Restart the backoff of a suspected domain, so that only one request probes it."""
        if self.is_suspected(domain):
            failures = self._failures[domain]
            failures.backoff_until_s = now_s + failures.backoff_s
