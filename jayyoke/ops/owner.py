"""Owner of a chat: knows which engine holds the chat's cache and places its requests."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any

from jayyoke.core.clock import Clock
from jayyoke.core.code import NO_UPSTREAM, OVERLOADED
from jayyoke.core.config import ServiceSpec
from jayyoke.core.error import PeerUnavailable
from jayyoke.core.member import Member
from jayyoke.core.peering import Peers
from jayyoke.ops.cachelocations import CacheLocations
from jayyoke.ops.loadbound import compute_admission_multiple, compute_bound
from jayyoke.ops.loads import Loads
from jayyoke.ops.policy import PlacementQuery, Policy
from jayyoke.ops.stewardship import Directory, Stewardship
from jayyoke.wire.gen.ttypes import (
    Ask,
    CacheEvent,
    CacheEvents,
    Granted,
    Placed,
    Release,
    Reserve,
)

# A busy steward sometimes takes more than 5 ms, and each missed answer weakens the load bound.
RESERVE_TIMEOUT_S = 0.025
# For a second attempt: with peers 50 ms away, a timeout of 5 ms alone refused a third of the
# chats of an idle fleet.
RETRY_RESERVE_TIMEOUT_S = 0.25
MAX_TRIES = 4
STEWARD_UNREACHABLE = "steward-unreachable"
MAX_RECENT = 4096
LOCAL_PERIOD_S = 5.0
RETRY_AFTER_MS = 1000
MAX_EVENTS = 10_000


@dataclass(frozen=True, slots=True)
class Choice:
    """Holds the engine chosen, or none and why, and the engines that were passed over."""

    upstream: str
    reason: str
    passed_over: tuple[str, ...] = ()


Select = Callable[[str, str, list[str]], list[str]]
ReserveHere = Callable[[Reserve], Granted]


def parse_placed(placed: Placed) -> Choice:
    """Return the choice that another instance made."""
    return Choice(placed.upstream, placed.reason, tuple(placed.passed or ()))


def select_all(service: str, chat: str, engines: list[str]) -> list[str]:
    """Return all engines."""
    return engines


def build_forced(reserve: Reserve) -> Reserve:
    """Return the reservation as one that its steward counts without a check."""
    return Reserve(
        reserve.request_id,
        reserve.upstream,
        reserve.work_tokens,
        reserve.entry,
        reserve.mean_work_tokens,
        reserve.mean_requests,
        True,
    )


class Owner:
    """Places requests for one instance: those of the chats that it owns, and its own."""

    def __init__(
        self,
        clock: Clock,
        peers: Peers,
        loads: Loads,
        directory: Directory,
        policy: Policy,
        out: Callable[[], frozenset[str]],
        rng: random.Random,
    ):
        self.cache_locations = CacheLocations()
        # Version moves narrow the engines down to those that run the chat's version.
        self.select: Select = select_all
        # Reserves at this instance's own steward, if it has one, without a message or a timeout.
        self.reserve_here: ReserveHere | None = None
        self._clock = clock
        self._peers = peers
        self._loads = loads
        self._directory = directory
        self._policy = policy
        self._domains_out = out
        self._stewardship = Stewardship(peers, directory)
        self._random = rng
        self._engines_by_service: dict[str, tuple[Any, Any, Any, list[str]]] = {}
        self._members: tuple[Member, ...] = ()
        self._group_domains: frozenset[str] = frozenset()
        self._sequence_number = self._random.randrange(1 << 16)
        self._decided: OrderedDict[tuple[str, str], str] = OrderedDict()
        self._abandoned: OrderedDict[tuple[str, str], None] = OrderedDict()
        self._local_admissions: dict[str, list[tuple[float, int]]] = {}
        peers.serve(CacheEvents, self._serve_events)

    def list_engines(self, service: str, exclude: Sequence[str] = ()) -> list[str]:
        """Return the engines that may receive new work: live, reachable and not taken out."""
        names = self._list_all(service)
        return [name for name in names if name not in exclude] if exclude else names

    def list_reachable(self, service: str, exclude: Sequence[str] = ()) -> list[str]:
        """Return the upstreams of every domain of which an instance can be reached."""
        out = self._domains_out()
        reachable = self._peers.reachable_domains()
        names = []
        for upstream in self._directory.candidates(service):
            if upstream.domain not in reachable or upstream.domain in out:
                continue
            if upstream.name not in exclude:
                names.append(upstream.name)
        return names

    def _list_all(self, service: str) -> list[str]:
        out = self._domains_out()
        reachable = self._list_domains()
        candidates = self._directory.candidates(service)
        cached = self._engines_by_service.get(service)
        if cached is not None and cached[0] is candidates and cached[1:3] == (out, reachable):
            return cached[3]
        names = []
        for upstream in candidates:
            if upstream.domain in reachable and upstream.domain not in out:
                names.append(upstream.name)
        self._engines_by_service[service] = (candidates, out, reachable, names)
        return names

    def _list_domains(self) -> frozenset[str]:
        """Return the domains of the placement group, whose engines have their stewards in it."""
        view = self._peers.members()
        if view is not self._members:
            self._members = view
            self._group_domains = frozenset(member.domain for member in view)
        return self._group_domains

    async def decide(self, entry: str, ask: Ask) -> Choice:
        """Choose an engine and reserve the request's work at its steward."""
        service = self._directory.find_service(ask.service_name)
        engines = self.list_engines(ask.service_name, ask.exclude or ())
        engines = self.select(ask.service_name, str(ask.chat), engines)
        if service is None or not engines:
            return Choice("", NO_UPSTREAM)
        mean = self._loads.mean(service.name, engines)
        utilisation = self._loads.build_utilisation(service, mean)
        cached_on, cached = self.cache_locations.find(ask.chat, self._clock.now_s()) or ("", 0)
        self._sequence_number += 1
        query = PlacementQuery(
            str(ask.chat),
            engines,
            utilisation,
            self._random,
            self._sequence_number,
            cached_on,
            cached,
        )
        order = self._policy.order(query)
        work = ask.prompt_tokens + ask.output_tokens
        if not self._policy.admission:
            engine = next(iter(order))
            reserve = Reserve(ask.request_id, engine, work, entry, 0.0, 0.0, True)
            self._peers.tell(self._stewardship.find_steward(engine), reserve)
            if self._policy.asks_owner:
                self._remember(ask, entry, engine)
            return Choice(engine, "policy")
        passed: list[str] = []
        unreached: list[Reserve] = []
        tries = 0
        for engine in order:
            # The steward decides on the remembered engine: a stale digest must not lose a cache.
            if engine != cached_on and utilisation(engine) >= 1.0:
                if len(passed) < MAX_TRIES:
                    passed.append(engine)
                continue
            reserve = Reserve(
                ask.request_id, engine, work, entry, mean.work_tokens, mean.requests, False
            )
            reason = await self._reserve(reserve, service, engines)
            if not reason:
                self._remember(ask, entry, engine)
                source = "remembered" if engine == cached_on else "rendezvous"
                return Choice(engine, source, tuple(passed))
            if reason.startswith(STEWARD_UNREACHABLE):
                unreached.append(reserve)
            passed.append(engine)
            tries += 1
            if tries >= MAX_TRIES:
                break
        for reserve in unreached:
            reason = await self._reserve(reserve, service, engines, RETRY_RESERVE_TIMEOUT_S)
            if not reason:
                self._remember(ask, entry, reserve.upstream)
                return Choice(reserve.upstream, "rendezvous", tuple(passed))
            if reason.startswith(STEWARD_UNREACHABLE):
                break
        return Choice("", reason if unreached else OVERLOADED, tuple(passed))

    async def admit(self, entry: str, ask: Ask, engine: str) -> bool:
        """Reserve the request's work on one engine and tell whether it was admitted."""
        service = self._directory.find_service(ask.service_name)
        if service is None:
            return False
        engines = self.list_engines(service.name)
        mean = self._loads.mean(service.name, engines)
        work = ask.prompt_tokens + ask.output_tokens
        reserve = Reserve(
            ask.request_id, engine, work, entry, mean.work_tokens, mean.requests, False
        )
        return not await self._reserve(reserve, service, engines)

    async def _reserve(
        self,
        reserve: Reserve,
        service: ServiceSpec,
        engines: Sequence[str],
        timeout_s: float = RESERVE_TIMEOUT_S,
    ) -> str:
        """Return why the work was refused, or an empty string if it was admitted."""
        engine = reserve.upstream
        steward = self._stewardship.find_steward(engine)
        try:
            if self.reserve_here is not None and steward == self._peers.me.name:
                granted = self.reserve_here(reserve)
            else:
                granted = await self._peers.ask(steward, reserve, timeout_s)
        except PeerUnavailable:
            # The reservation may have been made; the local decision replaces it. A steward that is
            # only slow must count what was admitted without it, or it admits too much (P1).
            reason = self._reserve_locally(reserve, service, engines)
            if reason:
                release = Release(engine, [reserve.request_id], reserve.entry)
                self._peers.tell(steward, release)
            else:
                self._peers.tell(steward, build_forced(reserve))
            return reason
        if granted.reason not in ("not-steward", "unknown-upstream"):
            self._loads.record_granted(engine, granted)
        return "" if granted.granted else granted.reason

    def _reserve_locally(
        self, reserve: Reserve, service: ServiceSpec, engines: Sequence[str]
    ) -> str:
        """Admit without the steward, evenly and as if every member admitted as much.

        On an engine in slow start the members together stay within its limit for a cold engine.
        `engines` are those that the request may use: while others fail, they carry all work.
        """
        engine = reserve.upstream
        load = self._loads.find(engine)
        if load is None:
            return f"{STEWARD_UNREACHABLE}: its load is not known"
        warm = load.limit_tokens >= service.full_work_tokens
        now_s = self._clock.now_s()
        recent = self._list_recent_admissions(engine, now_s)
        mean = self._loads.mean(service.name, engines)
        if self._loads.build_utilisation(service, mean)(engine) >= 1.0:
            return f"{STEWARD_UNREACHABLE}: it is full"
        counts = sum(len(self._list_recent_admissions(name, now_s)) for name in engines)
        own_mean = (counts + 1) / max(len(engines), 1)
        if len(recent) + 1 > compute_bound(
            compute_admission_multiple(service.load_bound), own_mean
        ):
            return f"{STEWARD_UNREACHABLE}: the share of its bound is used"
        work = reserve.work_tokens + sum(tokens for _, tokens in recent)
        usable_tokens = (
            load.limit_tokens if warm else min(load.limit_tokens, service.cold_work_tokens)
        )
        free_tokens = usable_tokens - load.work_tokens
        if (recent or not warm) and work * len(self._peers.members()) > free_tokens:
            limit = "limit" if warm else "cold limit"
            return f"{STEWARD_UNREACHABLE}: the share of its {limit} is used"
        self._local_admissions[engine] = [*recent, (now_s, reserve.work_tokens)]
        return ""

    def _list_recent_admissions(self, engine: str, now_s: float) -> list[tuple[float, int]]:
        """Return time and work of what this instance lately admitted without a steward."""
        found = self._local_admissions.get(engine, ())
        return [item for item in found if now_s - item[0] < LOCAL_PERIOD_S]

    def _remember(self, ask: Ask, entry: str, engine: str) -> None:
        tokens = ask.prompt_tokens + ask.output_tokens
        self.cache_locations.learn(ask.chat, engine, tokens, self._clock.now_s())
        if (entry, ask.request_id) in self._abandoned:
            del self._abandoned[(entry, ask.request_id)]
            self._release(entry, ask.request_id, engine)
            return
        self._decided[(entry, ask.request_id)] = engine
        if len(self._decided) > MAX_RECENT:
            self._decided.popitem(last=False)

    async def answer(self, entry: str, ask: Ask) -> Placed:
        """Decide on another instance's request."""
        choice = await self.decide(entry, ask)
        retry_after_ms = 0 if choice.upstream else RETRY_AFTER_MS
        passed = list(choice.passed_over) or None
        count = len(choice.passed_over)
        return Placed(choice.upstream, choice.reason, count, 0, retry_after_ms, passed)

    def abandon(self, entry: str, request_id: str) -> None:
        """Release the reservation of a request whose entry gave up waiting."""
        engine = self._decided.pop((entry, request_id), None)
        if engine is not None:
            self._release(entry, request_id, engine)
            return
        # The decision is still in progress, or the Ask arrives later.
        self._abandoned[(entry, request_id)] = None
        if len(self._abandoned) > MAX_RECENT:
            self._abandoned.popitem(last=False)

    def _release(self, entry: str, request_id: str, engine: str) -> None:
        release = Release(engine, [request_id], entry)
        self._peers.tell(self._stewardship.find_steward(engine), release)

    def _restore(self, message: CacheEvents, event: CacheEvent, now_s: float) -> None:
        known = self.cache_locations.find(event.chat, now_s) if message.replayed else None
        if known is not None and known[0] != message.upstream and known[1] < event.tokens:
            # Two engines hold parts of a chat; the longer part is from the later turn.
            self.cache_locations.learn(event.chat, message.upstream, event.tokens, now_s)
            return
        self.cache_locations.restore(event.chat, message.upstream, event.tokens, now_s)

    async def _serve_events(self, sender: Member, message: CacheEvents) -> None:
        now_s = self._clock.now_s()
        if message.gap:
            self.cache_locations.discard_counts_before(message.upstream, now_s)
        for event in message.events[:MAX_EVENTS]:
            if event.tokens > 0:
                self._restore(message, event, now_s)
            else:
                self.cache_locations.evict(event.chat, message.upstream, now_s)
