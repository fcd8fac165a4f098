"""Sums the demand of all instances, over messages that instances send to each other anyway.

Designed for 410 instances in 14 domains. Instances tell the followers of their domain their own
figures, followers tell each other the sums of domains, and answer the others with the sum of all.
Nothing is told while there is room.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, replace

from jayyoke.admission.demand import Demand, add_demands
from jayyoke.admission.gate import Gate

# An instance tells a follower its figures every 0.4 to 0.8 s; older ones are of an instance that is
# gone, or that has room.
MAX_AGE_S = 3.0
# Figures are told from this load per slot on, so that they are known when room becomes scarce.
TOLD_PER_SLOT = 0.5
# About 20 bytes a team: together with loads a message stays within 4 KB, and an instance within
# 1.5 KB/s.
MAX_TEAMS = 12
MAX_REPORTS = 8
# Bounds the memory that peers' messages can take.
MAX_KNOWN = 2048


@dataclass(frozen=True, slots=True)
class DemandReport:
    """Holds the demand on a service of one instance, of a domain, or of all instances.

    `instance` is empty for sums, and `domain` too for that of all; teams are then those that surge,
    with their recent amounts and those that count as usual.
    """

    service: str
    instance: str
    domain: str
    at_s: float
    demand: Demand


class DemandExchange:
    """Keeps the newest figures of others, and finds the sums over all instances."""

    __slots__ = ("_domain", "_gates", "_instance", "_known", "_now_s")

    def __init__(
        self, instance: str, domain: str, gates: Mapping[str, Gate], now_s: Callable[[], float]
    ):
        self._instance = instance
        self._domain = domain
        self._gates = gates
        self._now_s = now_s
        # By service, instance and domain.
        self._known: dict[tuple[str, str, str], DemandReport] = {}

    @property
    def empty(self) -> bool:
        """Tell whether there is nothing to exchange."""
        return not self._list_told()

    def merge(self, reports: Iterable[DemandReport]) -> None:
        """Record the reports of a peer that are newer than the known ones."""
        for report in reports:
            if report.instance:
                if report.domain != self._domain or report.instance == self._instance:
                    continue
            elif report.domain == self._domain:
                # The own domain's sum is computed from its instances.
                continue
            key = (report.service, report.instance, report.domain)
            known = self._known.pop(key, None)
            if known is not None and known.at_s > report.at_s:
                report = known
            self._known[key] = report
        while len(self._known) > MAX_KNOWN:
            del self._known[next(iter(self._known))]

    def find_fleet(self, service: str) -> tuple[Demand | None, Mapping[str, float] | None]:
        """Return the sum over all instances, and the kept parts of surging teams if told.

        The sum is None if only the own figures are known.
        """
        gate = self._gates[service]
        reports = self._list_recent(service)
        collecting = [report for report in reports if report.instance]
        others = [report for report in reports if not report.instance and report.domain]
        told = [report for report in reports if not report.instance and not report.domain]
        if not collecting and not told and not others:
            return None, None
        if not collecting and told:
            # This instance is no follower.
            demand = told[0].demand
            kept = {}
            for name, (recent, usual) in demand.teams.items():
                kept[name] = min(1.0, usual / max(1e-9, recent))
            return demand, kept
        own = [gate.counter.read(MAX_TEAMS), *(report.demand for report in collecting)]
        return add_demands([*own, *(report.demand for report in others)]), None

    def list_own(self) -> list[DemandReport]:
        """Return what to tell a follower of the own domain."""
        now_s = self._now_s()
        reports = []
        for service, gate in self._list_told():
            demand = gate.counter.read(MAX_TEAMS)
            reports.append(DemandReport(service, self._instance, self._domain, now_s, demand))
        return reports[:MAX_REPORTS]

    def list_sums(self) -> list[DemandReport]:
        """Return what to tell a follower of any domain: own figures and sums of domains."""
        now_s = self._now_s()
        reports = self.list_own()
        for service, gate in self._list_told():
            known = self._list_recent(service)
            collected = [report.demand for report in known if report.instance]
            total = add_demands([gate.counter.read(MAX_TEAMS), *collected])
            reports.append(DemandReport(service, "", self._domain, now_s, _trim(total)))
            # The newest ones of other domains reach those that cannot be asked.
            others = [report for report in known if not report.instance and report.domain]
            reports.extend(sorted(others, key=lambda report: -report.at_s))
        return reports[:MAX_REPORTS]

    def list_totals(self) -> list[DemandReport]:
        """Return what to answer an instance of the own domain: the sums over all instances."""
        now_s = self._now_s()
        reports = []
        for service, gate in self._list_told():
            demand, _ = self.find_fleet(service)
            if demand is None:
                continue
            teams = {}
            for name, kept in gate.kept.items():
                recent = demand.teams.get(name, (0.0, 0.0))[0]
                teams[name] = (recent, kept * recent)
            total = replace(demand, teams=teams)
            reports.append(DemandReport(service, "", "", now_s, _trim(total)))
        return reports[:MAX_REPORTS]

    def _list_told(self) -> list[tuple[str, Gate]]:
        found = []
        for service, gate in self._gates.items():
            # Upstreams that report no load are seen to be full only by what all instances tell.
            if gate.scarce or max(gate.per_slot, gate.own_per_slot) >= TOLD_PER_SLOT:
                found.append((service, gate))
        return found

    def _list_recent(self, service: str) -> list[DemandReport]:
        since_s = self._now_s() - MAX_AGE_S
        return [
            report
            for report in self._known.values()
            if report.service == service and report.at_s >= since_s
        ]


def _trim(demand: Demand) -> Demand:
    """Return the figures with no more teams than a report holds."""
    largest = sorted(demand.teams, key=lambda name: -demand.teams[name][0])[:MAX_TEAMS]
    teams = {name: demand.teams[name] for name in largest}
    return replace(demand, teams=teams)
