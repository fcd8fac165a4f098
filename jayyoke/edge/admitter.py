"""Asks the gate of a call's service whether the call is admitted, and tells what it decides.

The decisions are in `jayyoke/admission`. Without the setting, all calls are admitted.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable, Sequence

from jayyoke.admission.exchange import DemandExchange
from jayyoke.admission.gate import Asked, Gate, Room
from jayyoke.core.entrysettings import AdmissionSettings
from jayyoke.edge.assignment import Refused
from jayyoke.edge.call import Call
from jayyoke.edge.candidates import CandidateFinder
from jayyoke.edge.choose import Candidate
from jayyoke.edge.load import Loads
from jayyoke.edge.log import log_event

# Older figures of a full upstream are doubted: loads that others hear are at most 0.6 s old. All
# instances doubt them together, so each tries with a chance that makes this many trials.
OLD_FIGURES_S = 1.0
MEAN_TRIALS = 2.0


class Admitter:
    """Holds the gates of all services at one instance."""

    def __init__(
        self,
        settings: AdmissionSettings | None,
        candidates: CandidateFinder,
        instance: str,
        domain: str,
        now_s: Callable[[], float],
        source: random.Random,
        list_instances: Callable[[], Iterable[str]],
    ):
        self._settings = settings or AdmissionSettings()
        self._list_instances = list_instances
        self._candidates = candidates
        self._now_s = now_s
        self._source = source
        self.gates: dict[str, Gate] = {}
        self.exchange = DemandExchange(instance, domain, self.gates, now_s)

    @property
    def scarce(self) -> int:
        """Return for how many services room is scarce."""
        return sum(gate.scarce for gate in self.gates.values())

    @property
    def refused(self) -> int:
        """Return how many calls were refused for lack of room."""
        counts = [gate.counts for gate in self.gates.values()]
        return sum(found.refused + found.late + found.missed for found in counts)

    @property
    def returning(self) -> int:
        """Return how many refused callers have yet to return."""
        return sum(gate.returning for gate in self.gates.values())

    @property
    def fraction(self) -> float:
        """Return the smallest part of a service's work that is admitted."""
        return min((gate.fraction for gate in self.gates.values()), default=1.0)

    def admit(
        self, call: Call, service: str, candidates: Sequence[Candidate], loads: Loads
    ) -> Refused | None:
        """Count a call that asks for a place for the first time; return a refusal, or None."""
        if not self._settings.enabled:
            return None
        now_s = self._now_s()
        gate = self.gates.get(service)
        if gate is None:
            gate = self.gates[service] = Gate(now_s, self._source)
        if gate.is_due(now_s):
            self._update(service, gate, loads, now_s)
        asked = self._describe(call, candidates)
        turned = gate.decide(asked, now_s)
        return None if turned is None else Refused(turned.reason, turned.return_s, spread=True)

    def find_wait_until_s(self, call: Call, service: str, loads: Loads) -> float:
        """Return until when a call may wait for a place, infinite while there is room."""
        gate = self.gates.get(service)
        if gate is None:
            return math.inf
        now_s = self._now_s()
        if gate.is_due(now_s):
            self._update(service, gate, loads, now_s)
        wait_s = gate.find_wait_s(call.route.objective_s)
        return math.inf if wait_s is None else call.arrived_s + wait_s

    def may_try(self, service: str, found: Candidate) -> bool:
        """Tell whether an upstream that seems full may get a call, since the figures are old.

        Otherwise no instance of a domain would hear that it has room again.
        """
        gate = self.gates.get(service)
        if gate is None or not gate.scarce or found.own > 0:
            return False
        if found.load_age_s is None or found.load_age_s < OLD_FIGURES_S:
            return False
        return self._source.random() < MEAN_TRIALS / self._count_instances()

    def record_placed(self, service: str, first: bool) -> None:
        """Count a call that got a place; `first` if it did not have one before."""
        gate = self.gates.get(service)
        if gate is not None:
            gate.record_placed(first)

    def record_ended(self, service: str, rank: int | None, duration_s: float | None) -> None:
        """Count a request whose place is free again, and how long it ran if that is known."""
        gate = self.gates.get(service)
        if gate is not None:
            gate.record_ended(rank, duration_s)

    def refuse(self, call: Call, service: str, refused: Refused) -> Refused:
        """Return the refusal of a call that found no place in time, spread while room is scarce."""
        gate = self.gates.get(service)
        if gate is None or not gate.scarce:
            return refused
        turned = gate.refuse_missed(self._describe(call, ()), self._now_s())
        return Refused(turned.reason, turned.return_s, spread=True)

    def _update(self, service: str, gate: Gate, loads: Loads, now_s: float) -> None:
        slots, requests = self._candidates.sum_slots(service, loads, now_s)
        per_slot = requests / slots if slots else 0.0
        duration_s = self._candidates.find_estimator(service).duration_s
        room = Room(slots, per_slot, duration_s, self._count_instances())
        fleet, kept = self.exchange.find_fleet(service)
        before = set(gate.kept)
        changed = gate.update(now_s, room, fleet, kept)
        if set(gate.kept) != before:
            log_event("team-surge", service=service, teams=sorted(gate.kept))
        if not changed:
            return
        log_event(
            "room-scarce" if gate.scarce else "room-again",
            service=service,
            load_per_slot=round(per_slot, 2),
            admitted_part=round(gate.fraction, 2),
            surging=sorted(gate.kept),
            all_instances=fleet is not None,
        )

    def _count_instances(self) -> int:
        return max(1, len(set(self._list_instances())))

    def _describe(self, call: Call, candidates: Sequence[Candidate]) -> Asked:
        return Asked(
            rank=call.rank,
            team=call.team or "",
            objective_s=call.route.objective_s,
            left_s=call.deadline_s - self._now_s(),
            expected_s=min((found.latency_s for found in candidates), default=0.0),
        )
