"""Weighted fair queueing of teams' requests, with shares that hold across instances.

Start-time fair queueing: each request gets a virtual start time, the later of the virtual time and
the finish time of the team's request before it; the request with the smallest one goes next. Only
teams with waiting or running requests, and the heavy teams of peers, use memory.
"""

from __future__ import annotations

import asyncio
import heapq
import math
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from jayyoke.admission.share import find_fair_share, find_part
from jayyoke.core.code import DEADLINE_TOO_SHORT, OVERLOADED, TEAM_OVER_SHARE, refuse
from jayyoke.core.error import Refusal
from jayyoke.utils.ewma import Ewma
from jayyoke.wire.gen.ttypes import TeamLoad

MAX_WAITING = 512
# Digests are sent every second; the loads of a peer that missed three of them are dropped.
PEER_LOADS_MAX_AGE_S = 3.0
# Teams over their share leave this part of the capacity to the others. Without it, the others'
# requests would wait for several running ones to end. docs/limits.md compares values.
HEADROOM = 0.2
HEAVY_TEAMS = 8
# Computing the fair share takes a loop over all active teams, so it is kept for this long.
SHARES_MAX_AGE_S = 0.05
# A team counts as over its share for this long, so that a surging team does not fill the headroom
# whenever its queue is empty for a moment.
OVER_SHARE_PERIOD_S = 5.0
MAX_SENDERS = 64
MAX_ACCEPTED = 32
RETRY_AFTER_S = 1.0


@dataclass(slots=True, eq=False)
class Ticket:
    """Holds one waiting or running request; `cost` is in tokens, or 1 for a plain request."""

    team: str
    cost: float
    latest_start_s: float
    number: int = 0
    virtual_start: float = 0.0
    state: str = "waiting"
    admit: Callable[[Refusal | None], None] | None = None


@dataclass(slots=True)
class _Team:
    """Holds an active team's waiting tickets in order and its running and queued cost."""

    waiting: deque[Ticket] = field(default_factory=deque)
    running: float = 0.0
    queued: float = 0.0
    virtual_finish: float = 0.0
    over_share_until_s: float = -math.inf


class FairQueue:
    """Admits requests up to a capacity, in fair order between teams."""

    def __init__(
        self,
        capacity: Callable[[], float],
        now_s: Callable[[], float],
        max_waiting: int = MAX_WAITING,
        headroom: float = HEADROOM,
    ):
        self._capacity = capacity
        self._now_s = now_s
        self._max_waiting = max_waiting
        self._headroom = headroom
        self._teams: dict[str, _Team] = {}
        self._heap: list[tuple[float, int, Ticket]] = []
        self._idle_teams: set[str] = set()
        self._peer_loads: dict[str, tuple[float, dict[str, float]]] = {}
        self._virtual_time = 0.0
        self._fair_share = math.inf
        self._reduced_fair_share = math.inf
        self._shares_computed_s = -math.inf
        self._last_number = 0
        self._waiting_count = 0
        self._running_cost = 0.0
        self._service_rate = Ewma(0.05)
        self._last_end_s = now_s()

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return self._waiting_count

    @property
    def running(self) -> float:
        """Return the cost of the running requests."""
        return self._running_cost

    @property
    def active_teams(self) -> int:
        """Return the number of teams that are kept in memory."""
        return len(self._teams)

    def enter(self, ticket: Ticket) -> bool:
        """Admit a ticket and return True, or queue it and return False; raise Refusal if shed."""
        team = self._teams.get(ticket.team)
        if team is None:
            team = self._teams[ticket.team] = _Team()
            self._idle_teams.add(ticket.team)
        if self._waiting_count == 0 and self._fits(ticket, team):
            self._assign_start(team, ticket)
            self._virtual_time = max(self._virtual_time, ticket.virtual_start)
            self._start(team, ticket)
            return True
        self._refuse_if_late(ticket)
        if self._waiting_count >= self._max_waiting:
            self._drop_newest_of_longest_queue(ticket)
        self._assign_start(team, ticket)
        team.waiting.append(ticket)
        team.queued += ticket.cost
        self._waiting_count += 1
        if team.waiting[0] is ticket:
            heapq.heappush(self._heap, (ticket.virtual_start, ticket.number, ticket))
            self.admit_waiting()
        return ticket.state == "running"

    async def admit(self, ticket: Ticket) -> None:
        """Wait until a ticket is admitted; raise Refusal if it is shed. End it with `leave`."""
        if self.enter(ticket):
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def resolve(refusal: Refusal | None) -> None:
            if future.done():
                return
            if refusal is None:
                future.set_result(None)
            else:
                future.set_exception(refusal)

        ticket.admit = resolve
        timeout_s = max(0.0, ticket.latest_start_s - self._now_s())
        try:
            async with asyncio.timeout(timeout_s):
                await future
        except TimeoutError:
            self._withdraw(ticket)
            raise _refuse_late() from None
        except asyncio.CancelledError:
            self._withdraw(ticket)
            raise

    def leave(self, ticket: Ticket) -> None:
        """End an admitted ticket and admit those that now fit."""
        if ticket.state != "running":
            return
        ticket.state = "done"
        team = self._teams[ticket.team]
        team.running -= ticket.cost
        self._running_cost = max(0.0, self._running_cost - ticket.cost)
        self._forget_if_idle(ticket.team, team)
        now_s = self._now_s()
        self._update_service_rate(ticket.cost, now_s)
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Admit waiting tickets while they fit; call it after the capacity has grown."""
        now_s = self._now_s()
        skipped = []
        while self._heap:
            entry = heapq.heappop(self._heap)
            ticket = entry[2]
            if ticket.state != "waiting":
                continue
            if ticket.latest_start_s < now_s:
                self._drop(ticket, _refuse_late())
                continue
            team = self._teams[ticket.team]
            if not self._fits(ticket, team):
                skipped.append(entry)
                # Only a team over its share is skipped, so that large requests are not starved.
                if self._is_over_share(ticket, team):
                    continue
                break
            self._virtual_time = max(self._virtual_time, ticket.virtual_start)
            self._start(team, ticket)
            self._remove_waiting(ticket)
            if ticket.admit is not None:
                ticket.admit(None)
        for entry in skipped:
            heapq.heappush(self._heap, entry)
        self._forget_idle_teams()

    def build_team_loads(self) -> list[TeamLoad]:
        """Return the heaviest teams of this instance for the digest."""
        loads = []
        for name, team in self._teams.items():
            loads.append((team.running + team.queued, name))
        heaviest = heapq.nlargest(HEAVY_TEAMS, loads)
        return [TeamLoad(team=name, work_tokens=int(load)) for load, name in heaviest if load >= 1]

    def accept_team_loads(self, sender: str, loads: Sequence[TeamLoad]) -> None:
        """Record the heavy teams of a peer's digest."""
        now_s = self._now_s()
        if sender not in self._peer_loads and len(self._peer_loads) >= MAX_SENDERS:
            self._drop_stale_peer_loads(now_s)
            if len(self._peer_loads) >= MAX_SENDERS:
                return
        teams = {}
        for load in list(loads)[:MAX_ACCEPTED]:
            if load.team and load.work_tokens and load.work_tokens > 0:
                teams[load.team] = float(load.work_tokens)
        self._peer_loads[sender] = (now_s, teams)

    def get_team_weight(self, name: str) -> float:
        """Return a team's weight: the part of its load on all instances that this one has.

        A team that sends through many instances gets one share in total, not one on each.
        """
        if not self._peer_loads:
            return 1.0
        self._drop_stale_peer_loads(self._now_s())
        peer_load = 0.0
        for _, teams in self._peer_loads.values():
            peer_load += teams.get(name, 0.0)
        if peer_load == 0.0:
            return 1.0
        team = self._teams.get(name)
        local = 1.0 if team is None else max(1.0, team.running + team.queued)
        return find_part(local, peer_load, len(self._peer_loads))

    def _drop_stale_peer_loads(self, now_s: float) -> None:
        for sender in [
            s for s, (at, _) in self._peer_loads.items() if now_s - at > PEER_LOADS_MAX_AGE_S
        ]:
            del self._peer_loads[sender]

    def _fits(self, ticket: Ticket, team: _Team) -> bool:
        # One request always fits an idle instance, however large it is.
        if self._running_cost == 0:
            return True
        limit = self._capacity()
        if limit != math.inf and self._is_over_share(ticket, team):
            limit *= 1.0 - self._headroom
        return self._running_cost + ticket.cost <= limit

    def _is_over_share(self, ticket: Ticket, team: _Team) -> bool:
        """Tell whether the ticket would exceed the share of a team that was lately over it."""
        now_s = self._now_s()
        if now_s - self._shares_computed_s >= SHARES_MAX_AGE_S:
            self._shares_computed_s = now_s
            capacity = self._capacity()
            self._fair_share = self._compute_fair_share(capacity)
            self._reduced_fair_share = self._compute_fair_share(capacity * (1.0 - self._headroom))
        weight = self.get_team_weight(ticket.team)
        if team.running + team.queued > self._fair_share * weight:
            team.over_share_until_s = now_s + OVER_SHARE_PERIOD_S
        if now_s >= team.over_share_until_s:
            return False
        return team.running + ticket.cost > self._reduced_fair_share * weight

    def _compute_fair_share(self, capacity: float) -> float:
        """Return the max-min fair share of a team of weight 1, infinite without congestion."""
        demands = []
        for name, team in self._teams.items():
            weight = self.get_team_weight(name)
            demands.append(((team.running + team.queued) / weight, weight))
        # A single team may use the whole capacity.
        if len(demands) <= 1:
            return math.inf
        return find_fair_share(demands, capacity)

    def _assign_start(self, team: _Team, ticket: Ticket) -> None:
        self._last_number += 1
        ticket.number = self._last_number
        ticket.virtual_start = max(self._virtual_time, team.virtual_finish)
        team.virtual_finish = ticket.virtual_start + ticket.cost / self.get_team_weight(ticket.team)

    def _start(self, team: _Team, ticket: Ticket) -> None:
        ticket.state = "running"
        team.running += ticket.cost
        self._running_cost += ticket.cost

    def _remove_waiting(self, ticket: Ticket) -> _Team:
        team = self._teams[ticket.team]
        is_first = team.waiting[0] is ticket
        team.waiting.remove(ticket)
        team.queued -= ticket.cost
        self._waiting_count -= 1
        if is_first and team.waiting:
            following = team.waiting[0]
            heapq.heappush(self._heap, (following.virtual_start, following.number, following))
        return team

    def _drop(self, ticket: Ticket, refusal: Refusal) -> None:
        team = self._remove_waiting(ticket)
        ticket.state = "done"
        self._forget_if_idle(ticket.team, team)
        if ticket.admit is not None:
            ticket.admit(refusal)

    def _withdraw(self, ticket: Ticket) -> None:
        if ticket.state == "waiting":
            self._drop(ticket, _refuse_late())
            return
        self.leave(ticket)

    def _forget_if_idle(self, name: str, team: _Team) -> None:
        # A team whose virtual finish lies ahead is kept while others wait, so that it gets no more
        # than its share when it returns.
        if team.waiting or team.running > 1e-9:
            return
        if team.virtual_finish <= self._virtual_time or self._waiting_count == 0:
            del self._teams[name]
            self._idle_teams.discard(name)
            return
        self._idle_teams.add(name)

    def _forget_idle_teams(self) -> None:
        for name in list(self._idle_teams):
            self._forget_if_idle(name, self._teams[name])

    def _drop_newest_of_longest_queue(self, ticket: Ticket) -> None:
        """Drop the newest request of the team with the most waiting cost relative to its weight."""
        own = self._teams.get(ticket.team)
        own_queued = ticket.cost + (0.0 if own is None else own.queued)
        longest_team, longest_queued = ticket.team, own_queued / self.get_team_weight(ticket.team)
        for name, team in self._teams.items():
            queued = team.queued / self.get_team_weight(name)
            if team.waiting and queued > longest_queued:
                longest_team, longest_queued = name, queued
        detail = f"team {longest_team!r} waits for more than its share"
        refusal = refuse(429, TEAM_OVER_SHARE, detail, RETRY_AFTER_S)
        if longest_team == ticket.team:
            raise refusal
        self._drop(self._teams[longest_team].waiting[-1], refusal)

    def _refuse_if_late(self, ticket: Ticket) -> None:
        now_s = self._now_s()
        if ticket.latest_start_s < now_s:
            raise refuse(504, DEADLINE_TOO_SHORT, "the deadline cannot be met")
        rate = self._service_rate.value
        team = self._teams.get(ticket.team)
        if not rate or team is None or not team.waiting:
            return
        # The team's backlog is served at an equal share of the service rate.
        contenders = sum(1 for other in self._teams.values() if other.waiting)
        wait_s = team.queued * max(1, contenders) / rate
        if now_s + wait_s > ticket.latest_start_s:
            detail = f"team {ticket.team!r} would wait {wait_s:.1f} s for its share"
            raise refuse(429, TEAM_OVER_SHARE, detail, math.ceil(wait_s))

    def _update_service_rate(self, cost: float, now_s: float) -> None:
        elapsed_s = now_s - self._last_end_s
        self._last_end_s = now_s
        if self._waiting_count and elapsed_s < 1.0:
            self._service_rate.add(cost / max(elapsed_s, 1e-4))


def _refuse_late() -> Refusal:
    detail = "no capacity came free before the latest time at which the deadline could be met"
    return refuse(503, OVERLOADED, detail, RETRY_AFTER_S)
