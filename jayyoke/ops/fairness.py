"""Weighted fair queueing per team before dispatch, with shares across instances.

Start-time fair queueing: each request gets a virtual start time, the later of the virtual time and
the finish time of the team's request before it; the request with the smallest one goes next. Only
teams with waiting or running requests, and the heavy teams of peers, take memory.
"""

from __future__ import annotations

import asyncio
import heapq
import math
from collections import deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from jayyoke.core.code import DEADLINE_TOO_SHORT, OVERLOADED, TEAM_OVER_SHARE, refuse
from jayyoke.core.error import Refusal
from jayyoke.utils.ewma import Ewma
from jayyoke.wire.gen.ttypes import TeamLoad

MAX_WAITING = 512
# Digests are sent every second; a peer that missed three of them counts as gone.
LOADS_LIVE_S = 3.0
HEAVY_TEAMS = 8
MAX_SENDERS = 64
MAX_ACCEPTED = 32
RETRY_AFTER_S = 1.0


@dataclass(slots=True, eq=False)
class Ticket:
    """Holds one waiting or running request; `cost` is in tokens, or 1 per plain request."""

    team: str
    cost: float
    latest_start_s: float
    number: int = 0
    start: float = 0.0
    state: str = "waiting"
    admit: Callable[[Refusal | None], None] | None = None


@dataclass(slots=True)
class _Team:
    """Holds an active team: waiting tickets in order and its running cost."""

    waiting: deque[Ticket] = field(default_factory=deque)
    running: float = 0.0
    queued: float = 0.0
    finish: float = 0.0


class FairQueue:
    """Admits requests up to a capacity, in fair order between teams."""

    def __init__(
        self,
        capacity: Callable[[], float],
        now_s: Callable[[], float],
        max_waiting: int = MAX_WAITING,
    ):
        self._capacity = capacity
        self._now_s = now_s
        self._max_waiting = max_waiting
        self._teams: dict[str, _Team] = {}
        self._heap: list[tuple[float, int, Ticket]] = []
        self._idle: set[str] = set()
        self._abroad: dict[str, tuple[float, dict[str, float]]] = {}
        self._virtual = 0.0
        self._number = 0
        self._waiting = 0
        self._running = 0.0
        self._rate = Ewma(0.05)
        self._last_leave_s = now_s()

    @property
    def waiting(self) -> int:
        """Return the number of waiting requests."""
        return self._waiting

    @property
    def running(self) -> float:
        """Return the cost of the running requests."""
        return self._running

    @property
    def active_teams(self) -> int:
        """Return the number of teams that take memory."""
        return len(self._teams)

    def enter(self, ticket: Ticket) -> bool:
        """Admit a ticket and return True, or queue it and return False; raise Refusal if shed."""
        team = self._teams.get(ticket.team)
        if self._waiting == 0 and self._fits(ticket):
            if team is None:
                team = self._teams[ticket.team] = _Team()
            self._charge(team, ticket)
            self._virtual = max(self._virtual, ticket.start)
            self._begin(team, ticket)
            return True
        self._shed_if_late(ticket)
        if self._waiting >= self._max_waiting:
            self._make_room(ticket)
        team = self._teams.get(ticket.team)
        if team is None:
            team = self._teams[ticket.team] = _Team()
        self._charge(team, ticket)
        team.waiting.append(ticket)
        team.queued += ticket.cost
        self._waiting += 1
        if len(self._heap) > 2 * self._max_waiting:
            self._heap = [entry for entry in self._heap if entry[2].state == "waiting"]
            heapq.heapify(self._heap)
        heapq.heappush(self._heap, (ticket.start, ticket.number, ticket))
        return False

    async def admit(self, ticket: Ticket) -> None:
        """Wait until a ticket is admitted; raise Refusal if it is shed. End it with `leave`."""
        if self.enter(ticket):
            return
        future: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def settle(refusal: Refusal | None) -> None:
            if future.done():
                return
            if refusal is None:
                future.set_result(None)
            else:
                future.set_exception(refusal)

        ticket.admit = settle
        late_s = max(0.0, ticket.latest_start_s - self._now_s())
        try:
            async with asyncio.timeout(late_s):
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
        self._running = max(0.0, self._running - ticket.cost)
        self._forget(ticket.team, team)
        now_s = self._now_s()
        self._note_rate(ticket.cost, now_s)
        self.pump()

    def pump(self) -> None:
        """Admit waiting tickets while they fit; call it when the capacity grew."""
        now_s = self._now_s()
        while self._heap:
            start, _, ticket = self._heap[0]
            if ticket.state != "waiting":
                heapq.heappop(self._heap)
                continue
            if ticket.latest_start_s < now_s:
                self._drop(ticket, _refuse_late())
                continue
            if not self._fits(ticket):
                return
            heapq.heappop(self._heap)
            self._virtual = max(self._virtual, start)
            team = self._unqueue(ticket)
            self._begin(team, ticket)
            if ticket.admit is not None:
                ticket.admit(None)
        self._sweep()

    def build_team_loads(self) -> list[TeamLoad]:
        """Return the heaviest teams of this instance for the digest."""
        loads = []
        for name, team in self._teams.items():
            loads.append((team.running + team.queued, name))
        heaviest = heapq.nlargest(HEAVY_TEAMS, loads)
        return [TeamLoad(team=name, work_tokens=int(load)) for load, name in heaviest if load >= 1]

    def accept_team_loads(self, sender: str, loads: Sequence[TeamLoad]) -> None:
        """Take over the heavy teams of a peer's digest."""
        now_s = self._now_s()
        if sender not in self._abroad and len(self._abroad) >= MAX_SENDERS:
            self._expire(now_s)
            if len(self._abroad) >= MAX_SENDERS:
                return
        teams = {}
        for load in list(loads)[:MAX_ACCEPTED]:
            if load.team and load.work_tokens and load.work_tokens > 0:
                teams[load.team] = float(load.work_tokens)
        self._abroad[sender] = (now_s, teams)

    def weigh(self, name: str) -> float:
        """Return a team's weight here: the part of its fleet-wide load that this instance holds.

        A team that sends through many instances gets one share of the fleet, not one of each.
        """
        if not self._abroad:
            return 1.0
        self._expire(self._now_s())
        abroad = 0.0
        for _, teams in self._abroad.values():
            abroad += teams.get(name, 0.0)
        if abroad == 0.0:
            return 1.0
        team = self._teams.get(name)
        local = 1.0 if team is None else max(1.0, team.running + team.queued)
        return max(1.0 / (len(self._abroad) + 1), local / (local + abroad))

    def _expire(self, now_s: float) -> None:
        for sender in [s for s, (at, _) in self._abroad.items() if now_s - at > LOADS_LIVE_S]:
            del self._abroad[sender]

    def _fits(self, ticket: Ticket) -> bool:
        # One request always fits an idle instance, however large it is.
        return self._running == 0 or self._running + ticket.cost <= self._capacity()

    def _charge(self, team: _Team, ticket: Ticket) -> None:
        self._number += 1
        ticket.number = self._number
        ticket.start = max(self._virtual, team.finish)
        team.finish = ticket.start + ticket.cost / self.weigh(ticket.team)

    def _begin(self, team: _Team, ticket: Ticket) -> None:
        ticket.state = "running"
        team.running += ticket.cost
        self._running += ticket.cost

    def _unqueue(self, ticket: Ticket) -> _Team:
        team = self._teams[ticket.team]
        team.waiting.remove(ticket)
        team.queued -= ticket.cost
        self._waiting -= 1
        return team

    def _drop(self, ticket: Ticket, refusal: Refusal) -> None:
        team = self._unqueue(ticket)
        ticket.state = "done"
        self._forget(ticket.team, team)
        if ticket.admit is not None:
            ticket.admit(refusal)

    def _withdraw(self, ticket: Ticket) -> None:
        if ticket.state == "waiting":
            self._drop(ticket, _refuse_late())
            return
        self.leave(ticket)

    def _forget(self, name: str, team: _Team) -> None:
        # A team that still owes virtual time keeps its finish time while others are served.
        if team.waiting or team.running > 1e-9:
            return
        if team.finish <= self._virtual or self._waiting == 0:
            del self._teams[name]
            self._idle.discard(name)
            return
        self._idle.add(name)

    def _sweep(self) -> None:
        for name in list(self._idle):
            self._forget(name, self._teams[name])

    def _make_room(self, ticket: Ticket) -> None:
        """Drop the newest request of the team that waits for most, relative to its weight."""
        own = self._teams.get(ticket.team)
        own_queued = ticket.cost + (0.0 if own is None else own.queued)
        longest, most = ticket.team, own_queued / self.weigh(ticket.team)
        for name, team in self._teams.items():
            queued = team.queued / self.weigh(name)
            if team.waiting and queued > most:
                longest, most = name, queued
        detail = f"team {longest!r} waits for more than its share"
        refusal = refuse(429, TEAM_OVER_SHARE, detail, RETRY_AFTER_S)
        if longest == ticket.team:
            raise refusal
        self._drop(self._teams[longest].waiting[-1], refusal)

    def _shed_if_late(self, ticket: Ticket) -> None:
        now_s = self._now_s()
        if ticket.latest_start_s < now_s:
            raise refuse(504, DEADLINE_TOO_SHORT, "the deadline cannot be met")
        rate = self._rate.value
        team = self._teams.get(ticket.team)
        if not rate or team is None or not team.waiting:
            return
        # The team's own backlog is served at the team's share of the rate.
        contenders = sum(1 for other in self._teams.values() if other.waiting)
        wait_s = team.queued * max(1, contenders) / rate
        if now_s + wait_s > ticket.latest_start_s:
            detail = f"team {ticket.team!r} would wait {wait_s:.1f} s for its share"
            raise refuse(429, TEAM_OVER_SHARE, detail, math.ceil(wait_s))

    def _note_rate(self, cost: float, now_s: float) -> None:
        elapsed_s = now_s - self._last_leave_s
        self._last_leave_s = now_s
        if self._waiting and elapsed_s < 1.0:
            self._rate.add(cost / max(elapsed_s, 1e-4))


def _refuse_late() -> Refusal:
    detail = "no capacity came free before the latest time at which the deadline could be met"
    return refuse(503, OVERLOADED, detail, RETRY_AFTER_S)
