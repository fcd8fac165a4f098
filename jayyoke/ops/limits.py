"""Admission of requests before dispatch: one fair queue per service, durations, retry budget."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from jayyoke.core.clock import Clock, SystemClock
from jayyoke.core.config import ClassKind
from jayyoke.core.request import CallerRequest
from jayyoke.ops.deadline import Durations
from jayyoke.ops.fairness import HEAVY_TEAMS, MAX_ACCEPTED, FairQueue, Ticket
from jayyoke.ops.hedge import HedgeDelays
from jayyoke.ops.retrybudget import RetryBudget
from jayyoke.wire.gen.ttypes import TeamLoad

MAX_SERVICES = 64
UNLIMITED = float("inf")


def return_unlimited(service: str) -> float:
    """Return no limit; used until placement provides the capacity."""
    return UNLIMITED


@dataclass(slots=True)
class Limits:
    """Holds what limits the work of one instance; `capacity` returns a service's limit.

    The limit is in tokens for engines and in requests for plain services.
    """

    clock: Clock = field(default_factory=SystemClock)
    capacity: Callable[[str], float] = return_unlimited
    retries: RetryBudget = field(default_factory=RetryBudget)
    durations: Durations = field(default_factory=Durations)
    hedges: HedgeDelays = field(default_factory=HedgeDelays)
    queues: dict[str, FairQueue] = field(default_factory=dict)

    async def admit(self, request: CallerRequest) -> Ticket:
        """Wait until a request may run; raise Refusal if it is shed. End it with `leave`."""
        self.retries.add_request()
        chat = request.class_spec.kind is ClassKind.CHAT
        cost = max(1.0, float(request.work_tokens)) if chat else 1.0
        latest_start_s = request.deadline_s - self.durations.estimate_s(request.class_spec.name)
        ticket = Ticket(request.team.name, cost, latest_start_s)
        await self._get_queue(request.service.name).admit(ticket)
        return ticket

    def leave(self, request: CallerRequest, ticket: Ticket) -> None:
        """End an admitted request."""
        self._get_queue(request.service.name).leave(ticket)

    def build_team_loads(self) -> list[TeamLoad]:
        """Return the heaviest teams of all services, named `service/team`."""
        loads = []
        for service, queue in self.queues.items():
            for load in queue.build_team_loads():
                loads.append(TeamLoad(team=f"{service}/{load.team}", work_tokens=load.work_tokens))
        loads.sort(key=lambda load: -load.work_tokens)
        return loads[:HEAVY_TEAMS]

    def accept_team_loads(self, sender: str, loads: Sequence[TeamLoad]) -> None:
        """Record the heavy teams of a peer's digest."""
        loads_by_service: dict[str, list[TeamLoad]] = {name: [] for name in self.queues}
        for load in loads[:MAX_ACCEPTED]:
            service, _, team = (load.team or "").partition("/")
            if service in loads_by_service:
                loads_by_service[service].append(TeamLoad(team=team, work_tokens=load.work_tokens))
        for service, queue in self.queues.items():
            queue.accept_team_loads(sender, loads_by_service[service])

    def _get_queue(self, service: str) -> FairQueue:
        queue = self.queues.get(service)
        if queue is None:
            if len(self.queues) >= MAX_SERVICES:
                self._forget_idle()
            queue = FairQueue(lambda: self.capacity(service), self.clock.now_s)
            self.queues[service] = queue
        return queue

    def _forget_idle(self) -> None:
        for name in [name for name, queue in self.queues.items() if queue.active_teams == 0]:
            del self.queues[name]
