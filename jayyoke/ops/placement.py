"""Placement at the entry instance: choice of the upstream for each request."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from absl import logging

from jayyoke.core.clock import Clock
from jayyoke.core.code import NO_UPSTREAM, OVERLOADED
from jayyoke.core.error import PeerUnavailable, Refusal, RunState
from jayyoke.core.member import MemberChange
from jayyoke.core.peering import Peers
from jayyoke.core.protocol import find_protocol
from jayyoke.core.request import CallerRequest
from jayyoke.core.upstream import Upstream
from jayyoke.ops.cachelocations import hash_chat
from jayyoke.ops.gateway import Gateway
from jayyoke.ops.homedomain import HomeDomains
from jayyoke.ops.notices import UpstreamNotices
from jayyoke.ops.owner import STEWARD_UNREACHABLE, Choice, Owner, parse_placed
from jayyoke.ops.policy import Policy
from jayyoke.ops.rendezvous import choose
from jayyoke.ops.requestlimit import MIN_RATE, RequestLimits, build_own_limits
from jayyoke.ops.stewardship import Directory, Stewardship
from jayyoke.wire.gen.ttypes import Abandoned, Ask, Holding, Holdings, Observed, Release

OWNER_SHORT_TIMEOUT_S = 0.005
# A placement lost by a missed answer costs a prefill of 100 ms and more, so an owner gets longer to
# answer unless it missed an answer within the last period.
OWNER_NORMAL_TIMEOUT_S = 0.025
OWNER_SHORT_TIMEOUT_PERIOD_S = 1.0
# At 17 requests/s per node a longer delay saves few messages. With 100 ms, a chat that returned at
# once found its own engine full: where few requests run, one late release can use the whole bound.
RELEASE_DELAY_S = 0.003
FLUSH_INTERVAL_S = 1.0
HOLDINGS_INTERVAL_S = 30.0
# A partition leaves stale loads for up to 2 s. With a wait of 0.5 s, a chat was refused although
# engines were idle.
OVERLOAD_WAIT_S = 2.5
OVERLOAD_WAIT_SHARE = 0.25  # Of the time left, so that a later answer still meets the deadline.
OVERLOAD_FIRST_PAUSE_S = 0.025
OVERLOAD_MAX_PAUSE_S = 0.2
RETRY_AFTER_S = 1.0
MIN_SLOT_PAUSE_S = 0.005
# Callers that are refused because of limits are spread over at most this time.
MAX_LIMIT_RETRY_S = 30.0


@dataclass(frozen=True, slots=True)
class Placement:
    """Holds the chosen upstream and why it was chosen."""

    upstream: Upstream
    reason: str
    passed_over: tuple[str, ...] = ()
    reservation: str = ""


class Placer:
    """Places the requests of this entry instance and tracks their reservations."""

    def __init__(
        self,
        clock: Clock,
        peers: Peers,
        owner: Owner,
        directory: Directory,
        policy: Policy,
        home_domains: HomeDomains,
        gateway: Gateway,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        notices: UpstreamNotices | None = None,
        request_limits: RequestLimits | None = None,
    ):
        self.notices = notices or UpstreamNotices(clock.now_s)
        self.request_limits = request_limits or build_own_limits(clock.now_s)
        self._clock = clock
        self._peers = peers
        self._owner = owner
        self._directory = directory
        self._policy = policy
        self._home_domains = home_domains
        self._gateway = gateway
        self._sleep = sleep
        self._stewardship = Stewardship(peers, directory)
        self._reservation_numbers = itertools.count(1)
        self._reservations: dict[str, dict[str, int]] = {}
        self._pending_releases: dict[str, list[str]] = {}
        self._plain_requests: dict[str, int] = {}
        self._plain_rotation = 0
        self._waiting_for_slots: Counter[str] = Counter()
        self._owner_missed_s: dict[str, float] = {}
        self._incarnations: dict[str, int] = {}
        self._stewards: dict[str, str] = {}
        self._release_pending = asyncio.Event()
        self._holdings_sent_s = clock.now_s()
        peers.changes.subscribe(self._on_member_change)

    async def place(self, request: CallerRequest, exclude: tuple[str, ...] = ()) -> Placement:
        """Return a placement, ended by `release`; raise Refusal if no upstream may be used."""
        if not self.notices.empty:
            exclude = (*exclude, *self.notices.list_withdrawn(self._list_names(request)))
        now_s = self._clock.now_s()
        until_s = now_s + min(OVERLOAD_WAIT_S, (request.deadline_s - now_s) * OVERLOAD_WAIT_SHARE)
        if not find_protocol(request.service.protocol).reports_load:
            return await self._place_plain(request, exclude, until_s)
        pause_s = OVERLOAD_FIRST_PAUSE_S
        while True:
            full = self._list_full(request, exclude)
            ask = self._build_ask(request, (*exclude, *full))
            choice = await self._choose(ask)
            upstream = self._directory.find(choice.upstream) if choice.upstream else None
            if upstream is not None and self.request_limits.may_send(upstream.name):
                reservations = self._reservations.setdefault(upstream.name, {})
                reservations[ask.request_id] = request.work_tokens
                passed_over = choice.passed_over
                return Placement(upstream, choice.reason, passed_over, ask.request_id)
            if choice.upstream:
                self._pending_releases.setdefault(choice.upstream, []).append(ask.request_id)
            if upstream is not None:
                # Another request took the last slot of its limit meanwhile.
                self._release_pending.set()
                continue
            if choice.reason == NO_UPSTREAM:
                await self._wait_for_slot(request, full, until_s)
                continue
            if self._clock.now_s() + pause_s > until_s:
                raise self._refuse(request, OVERLOADED, choice)
            await self._sleep(pause_s)
            pause_s = min(OVERLOAD_MAX_PAUSE_S, pause_s * 1.5)

    async def place_on(self, request: CallerRequest, upstream: Upstream) -> Placement | None:
        """Return a placement on one engine, or None if it may get no more work."""
        if self.notices.is_withdrawn(upstream.name):
            return None
        if not self.request_limits.may_send(upstream.name):
            return None
        ask = self._build_ask(request, ())
        if not await self._owner.admit(self._peers.me.name, ask, upstream.name):
            return None
        self._reservations.setdefault(upstream.name, {})[ask.request_id] = request.work_tokens
        return Placement(upstream, "copy", (), ask.request_id)

    def release(self, request: CallerRequest, placement: Placement) -> None:
        """End a placement; its release is sent to the steward within milliseconds."""
        name = placement.upstream.name
        if not placement.reservation:
            self._plain_requests[name] = max(0, self._plain_requests.get(name, 0) - 1)
            return
        reservations = self._reservations.get(name, {})
        if reservations.pop(placement.reservation, None) is None:
            return
        if not reservations:
            del self._reservations[name]
        self._pending_releases.setdefault(name, []).append(placement.reservation)
        self._release_pending.set()

    def report_engine(self, engine: str, incarnation: int = 0, failed: bool = False) -> None:
        """Report a broken connection or the incarnation in an answer to the engine's steward."""
        if not failed and self._incarnations.get(engine) == incarnation:
            return
        if failed:
            self._directory.avoid(engine)
        if incarnation != 0:
            self._incarnations[engine] = incarnation
        steward = self._stewardship.find_steward(engine)
        self._peers.tell(steward, Observed(engine, incarnation, failed))

    def send_releases(self) -> None:
        """Send the releases collected since the last call."""
        pending_releases, self._pending_releases = self._pending_releases, {}
        for engine, request_ids in pending_releases.items():
            self._peers.tell(
                self._stewardship.find_steward(engine), Release(engine, request_ids, "")
            )
        now_s = self._clock.now_s()
        if now_s - self._holdings_sent_s >= HOLDINGS_INTERVAL_S:
            self._holdings_sent_s = now_s
            self._send_holdings()

    async def run(self) -> None:
        """Send releases and holdings until cancelled."""
        while True:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._release_pending.wait(), FLUSH_INTERVAL_S)
                await asyncio.sleep(RELEASE_DELAY_S)
            self._release_pending.clear()
            self.send_releases()

    def _send_holdings(self) -> None:
        for engine in list(self._reservations):
            holdings = [Holding(key, work) for key, work in self._reservations[engine].items()]
            self._peers.tell(self._stewardship.find_steward(engine), Holdings(engine, holdings))

    def _on_member_change(self, change: MemberChange) -> None:
        for engine in list(self._reservations):
            steward = self._stewardship.find_steward(engine)
            if self._stewards.get(engine) != steward or change.member.name == steward:
                holdings = [Holding(key, work) for key, work in self._reservations[engine].items()]
                self._peers.tell(steward, Holdings(engine, holdings))
            self._stewards[engine] = steward

    def _build_ask(self, request: CallerRequest, exclude: tuple[str, ...]) -> Ask:
        # Callers choose request ids and may repeat them, so reservations have ids of their own.
        reservation = (
            f"{self._peers.me.incarnation & 0xFFFFFF:x}.{next(self._reservation_numbers):x}"
        )
        chat = hash_chat(request.chat or request.request_id)
        return Ask(
            reservation,
            request.service.name,
            chat,
            request.prompt_tokens,
            request.output_tokens,
            request.team.name,
            request.class_spec.priority,
            list(exclude),
        )

    async def _choose(self, ask: Ask) -> Choice:
        me = self._peers.me.name
        if not self._policy.asks_owner:
            return await self._owner.decide(me, ask)
        home_domain = self._home_domains.find(ask.service_name, str(ask.chat))
        if home_domain:
            choice = await self._gateway.ask(home_domain, ask)
            if choice is not None and choice.upstream:
                return choice
            # The home domain may still hold a reservation with the old id; its release must not end
            # the new one.
            ask.request_id = f"{ask.request_id}h"
        members = (member.name for member in self._peers.members())
        owner = choose(str(ask.chat), members) or me
        if owner == me:
            return await self._owner.decide(me, ask)
        now_s = self._clock.now_s()
        missed_lately = now_s - self._owner_missed_s.get(owner, -1e9) < OWNER_SHORT_TIMEOUT_PERIOD_S
        timeout_s = OWNER_SHORT_TIMEOUT_S if missed_lately else OWNER_NORMAL_TIMEOUT_S
        try:
            placed = await self._peers.ask(owner, ask, timeout_s)
        except PeerUnavailable:
            self._owner_missed_s[owner] = now_s
            self._peers.tell(owner, Abandoned([ask.request_id]))
            logging.debug("owner %s did not answer; instance %s decides", owner, me)
            # The abandoned reservation keeps the old id. Its release must not end the new one.
            ask.request_id = f"{ask.request_id}r"
            return await self._owner.decide(me, ask)
        return parse_placed(placed)

    async def _place_plain(
        self, request: CallerRequest, exclude: tuple[str, ...], until_s: float
    ) -> Placement:
        service = request.service.name
        while True:
            full = self._list_full(request, exclude)
            unusable = (*exclude, *full)
            names = self._owner.list_engines(service, unusable)
            # Plain services have no stewards, so workers of other groups serve if this one has
            # none.
            names = names or self._owner.list_reachable(service, unusable)
            if names:
                return self._choose_plain(names)
            await self._wait_for_slot(request, full, until_s)

    def _choose_plain(self, names: list[str]) -> Placement:
        self._plain_rotation += 1
        start = self._plain_rotation % len(names)
        rotated = [*names[start:], *names[:start]]
        name = min(rotated, key=lambda candidate: self._plain_requests.get(candidate, 0))
        upstream = self._directory.find(name)
        assert upstream is not None
        self._plain_requests[name] = self._plain_requests.get(name, 0) + 1
        return Placement(upstream, "least-loaded")

    def _list_full(self, request: CallerRequest, exclude: tuple[str, ...]) -> list[str]:
        """Return the upstreams whose limits alone leave no room for a request now."""
        if self.request_limits.empty:
            return []
        full = []
        for name in self._list_names(request):
            if name not in exclude and not self.request_limits.may_send(name):
                full.append(name)
        return full

    async def _wait_for_slot(self, request: CallerRequest, full: list[str], until_s: float) -> None:
        """Wait until one of the upstreams may get a request; raise Refusal if that is too late."""
        if not full:
            raise self._refuse(request, NO_UPSTREAM)
        limits = self.request_limits
        service = request.service.name
        soonest_s = min(limits.find_wait_s(name) for name in full)
        behind_s = self._waiting_for_slots[service] / max(MIN_RATE, limits.find_rate(full))
        if self._clock.now_s() + soonest_s + behind_s > until_s:
            detail = f"no upstream of service {service!r} takes more requests now"
            return_s = limits.choose_return_s(service, full, soonest_s, MAX_LIMIT_RETRY_S)
            raise Refusal(503, OVERLOADED, detail, RunState.NOT_RUN, return_s)
        self._waiting_for_slots[service] += 1
        try:
            await self._sleep(max(MIN_SLOT_PAUSE_S, soonest_s))
        finally:
            self._waiting_for_slots[service] -= 1

    def _list_names(self, request: CallerRequest) -> list[str]:
        return [found.name for found in self._directory.candidates(request.service.name)]

    def _refuse(self, request: CallerRequest, code: str, choice: Choice | None = None) -> Refusal:
        service = request.service.name
        soonest_s = None
        if code == NO_UPSTREAM:
            soonest_s = self.notices.find_soonest_s(self._list_names(request))
        if soonest_s is not None:
            detail = f"every upstream of service {service!r} has asked for a pause"
            retry_after_s = self.notices.choose_return_s(soonest_s)
            return Refusal(503, OVERLOADED, detail, RunState.NOT_RUN, retry_after_s)
        detail = f"no upstream of service {service!r} may receive new work"
        if code == OVERLOADED:
            detail = f"every engine of service {service!r} is at its load bound or limit"
        if choice is not None and choice.reason.startswith(STEWARD_UNREACHABLE):
            tried = ", ".join(choice.passed_over)
            detail = f"no steward of {tried} answered; {choice.reason}"
        return Refusal(503, code, detail, RunState.NOT_RUN, retry_after_s=RETRY_AFTER_S)
