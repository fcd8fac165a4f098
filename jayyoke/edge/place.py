"""Finds a place at an upstream for a call, and keeps what answers tell of each upstream."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from jayyoke.core.machine import Bounds
from jayyoke.core.route import ServiceProfile
from jayyoke.core.upstream import Upstream
from jayyoke.edge.baseline import Order
from jayyoke.edge.call import Call
from jayyoke.edge.canary import find_held_versions, select_versions
from jayyoke.edge.choose import (
    Candidate,
    choose_upstreams,
    count_shared_tokens,
    find_home_key,
    has_place,
)
from jayyoke.edge.cold import ColdLimiter
from jayyoke.edge.domain import DomainTracks
from jayyoke.edge.holder import PromptHolders
from jayyoke.edge.line import WaitingLine
from jayyoke.edge.load import NO_LOADS, LoadEstimator, Loads, find_resting
from jayyoke.edge.loadnews import HeardLoad, LoadNews
from jayyoke.edge.log import log_event
from jayyoke.edge.moves import MoveKeeper
from jayyoke.edge.outcome import Delivered, Failed, MayHaveRun, NotRun, Outcome
from jayyoke.edge.track import Tracks
from jayyoke.edge.view import FleetView
from jayyoke.platform.message import AnswerHead

# How long a call may wait in line: part of its objective, then part of what is left.
WAIT_OBJECTIVE_PART = 0.5
WAIT_LEFT_PART = 0.3
# Upstreams and domains come back after seconds; the caller's time left bounds this further.
NO_UPSTREAM_RETRY_S = 2.0
FULL_RETRY_S = 0.5
# Latency assumed of upstreams that have not answered yet.
UNKNOWN_LATENCY_S = 0.05
# Plain services that tell no slots get at most this many requests at once from one instance.
DEFAULT_PLACES = 64


@dataclass(frozen=True, slots=True)
class Place:
    """Names the upstream of a call.

    `fetch_from` is the address of another engine that has the prompt in its cache, or empty.
    """

    upstream: Upstream
    fetch_from: str = ""


@dataclass(frozen=True, slots=True)
class Refused:
    """Says why there is no place now; the call has not run."""

    reason: str
    retry_after_s: float


class Placement:
    """Chooses upstreams by what the instance knows of them."""

    def __init__(
        self,
        view: FleetView,
        moves: MoveKeeper,
        bounds: Bounds,
        instance: str,
        now_s: Callable[[], float],
        source: random.Random,
        list_instances: Callable[[], Iterable[str]],
        baseline: Order | None = None,
        read_unix_s: Callable[[], float] = time.time,
    ):
        self._view = view
        self._moves = moves
        self._bounds = bounds
        self._now_s = now_s
        self._source = source
        self._cold = ColdLimiter(bounds, instance)
        self._list_instances = list_instances
        self._baseline = baseline
        self._read_unix_s = read_unix_s
        self._lines: dict[str, WaitingLine] = {}
        self._instance = instance
        self._holders = PromptHolders(lambda found, _: self._describe(found, NO_LOADS))
        self._estimators: dict[str, LoadEstimator] = {}
        self.tracks = Tracks(now_s)
        self._domains = DomainTracks()
        self.load_news = LoadNews(now_s, self._learn_load)

    @property
    def view(self) -> FleetView:
        """Return what the instance knows of upstreams and configuration."""
        return self._view

    @property
    def instances(self) -> int:
        """Return how many instances share budgets, this one included."""
        return len({self._instance, *self._list_instances()})

    def draw_service(self, call: Call) -> str:
        """Return the service of a call, by the route's shares."""
        shares = call.route.shares
        if len(shares) == 1:
            return shares[0].service
        weights = [share.weight for share in shares]
        if sum(weights) <= 0:
            return shares[0].service
        return self._source.choices(shares, weights)[0].service

    async def find(
        self, call: Call, service: str, tried: set[str], started: bool
    ) -> Place | Refused:
        """Take a place at an upstream; the caller of this function must leave it again."""
        line = self._lines.setdefault(service, WaitingLine())
        ends_s = self._now_s() + self._find_wait_limit_s(call)
        waited = False
        refused = Refused("no-place", FULL_RETRY_S)
        draw = self._source.random()
        while True:
            self._view.drop_lapsed()
            now_s = self._now_s()
            loads = self._estimate_loads(service, now_s)
            candidates = self._list_candidates(call, service, tried, draw, loads)
            if not candidates:
                # Waiting here brings none: upstreams come back with news that take seconds.
                reason = "no-other-upstream" if tried else "no-upstream"
                return Refused(reason, NO_UPSTREAM_RETRY_S)
            if waited or not line.outranked(call.rank, call.deadline_s):
                taken = self._take(call, service, candidates, loads.mean)
                if isinstance(taken, Place):
                    return taken
                refused = taken
            waited = True
            left_s = ends_s - now_s
            if left_s <= 0 or line.full:
                return refused
            await line.wait(call.rank, call.deadline_s, left_s)

    def find_load(self, service: str, upstream: Upstream) -> float:
        """Return how many requests an upstream has now, as far as this instance can tell."""
        return self._estimate_loads(service, self._now_s()).find(upstream.incarnation)

    def leave(
        self,
        service: str,
        upstream: Upstream,
        answered: bool = False,
        lasted_s: float | None = None,
    ) -> None:
        """Free a place that a request had for `lasted_s`; `answered` tells of a begun answer."""
        track = self.tracks.get(upstream.incarnation)
        track.in_flight = max(0, track.in_flight - 1)
        if answered:
            track.answering = max(0, track.answering - 1)
        if lasted_s is not None:
            self._find_estimator(service).note_duration(lasted_s)
        line = self._lines.get(service)
        if line is not None:
            line.call_next()

    def note_answer(self, upstream: Upstream, head: AnswerHead) -> None:
        """Take what an answer's head tells of its upstream; `leave` must be told of it."""
        track = self.tracks.get(upstream.incarnation)
        track.answering += 1
        now_s = self._now_s()
        if head.load is not None:
            track.record_load(head.load, now_s)
            self.load_news.hear(upstream.incarnation, head.load.running + head.load.waiting)
        if head.cold_left_s:
            track.cold_until_s = now_s + head.cold_left_s

    def record(
        self,
        call: Call,
        service: str,
        upstream: Upstream,
        outcome: Outcome,
        latency_s: float | None,
    ) -> tuple[Upstream, ...]:
        """Count an outcome for the upstream and its domain.

        The upstreams returned are those whose kept connections are in doubt.
        """
        track = self.tracks.get(upstream.incarnation)
        now_s = self._now_s()
        suspended = False
        doubted = self._record_domain(call, upstream, outcome, now_s)
        match outcome:
            case Delivered():
                track.record_success(latency_s, now_s)
            case NotRun(_, arrived, misdirected):
                if misdirected:
                    track.replaced = True
                    suspended = True
                elif not arrived and outcome.reason.startswith("unreachable"):
                    suspended = track.record_unreachable(now_s)
            case MayHaveRun(_, silent):
                if silent:
                    suspended = track.record_unreachable(now_s)
                else:
                    suspended = self._count_failure(service, upstream)
            case Failed():
                suspended = self._count_failure(service, upstream)
        if suspended:
            log_event(
                "upstream-suspended",
                request_id=call.head.request_id,
                upstream=upstream.name,
                reason=str(outcome)[:200],
                failure_rate=round(track.failure_rate, 2),
                hold_s=track.suspension_s,
            )
        return doubted

    def _record_domain(
        self, call: Call, upstream: Upstream, outcome: Outcome, now_s: float
    ) -> tuple[Upstream, ...]:
        """Note whether the domain was reached; return its upstreams when doubt begins."""
        domain = upstream.domain
        match outcome:
            case NotRun(silent=True) | MayHaveRun(path_lost=True):
                if not self._domains.record_lost(domain, upstream.incarnation, now_s):
                    return ()
                event = "domain-doubted"
            case Delivered() | Failed() | NotRun(arrived=True):
                if not self._domains.record_reached(domain):
                    return ()
                event = "domain-reached"
            case _:
                return ()
        log_event(event, request_id=call.head.request_id, domain=domain, upstream=upstream.name)
        if event == "domain-reached":
            return ()
        return tuple(f for f in self._view.upstreams.values() if f.domain == domain)

    def retain(self) -> None:
        """Forget upstreams that are gone."""
        live = {found.incarnation for found in self._view.upstreams.values()}
        self.tracks.retain(live)
        self._cold.retain(live)

    def _learn_load(self, load: HeardLoad) -> None:
        """Take a load that another instance heard, if the engine is known here."""
        track = self.tracks.find(load.incarnation)
        if track is not None:
            track.learn_load(load.requests, load.heard_s)

    def _count_failure(self, service: str, upstream: Upstream) -> bool:
        names = [found.incarnation for found in self._view.by_service.get(service, ())]
        rate = self.tracks.find_failure_rate(names)
        return self.tracks.get(upstream.incarnation).record_failure(self._now_s(), rate)

    def _find_wait_limit_s(self, call: Call) -> float:
        left_s = call.deadline_s - self._now_s()
        return min(WAIT_OBJECTIVE_PART * call.route.objective_s, WAIT_LEFT_PART * left_s)

    def _list_candidates(
        self, call: Call, service: str, tried: set[str], draw: float, loads: Loads
    ) -> list[Candidate]:
        """Return the upstreams that the call may use at all."""
        now_s = self._now_s()
        view = self._view
        live = view.by_service.get(service, ())
        split = self._moves.find_split(service)
        held: frozenset[str] = frozenset()
        if not split.version:
            held = find_held_versions(live, view.first_seen_s, now_s)
        allowed = select_versions(live, split, draw, held)
        found = []
        for upstream in allowed:
            if upstream.domain in view.evacuated or upstream.incarnation in tried:
                continue
            region = view.regions.get(upstream.domain, "")
            if call.route.regions and region not in call.route.regions:
                continue
            candidate = self._describe(upstream, loads, repeat=bool(tried))
            if not self.tracks.get(upstream.incarnation).replaced:
                found.append(candidate)
        return found

    def _describe(self, upstream: Upstream, loads: Loads, repeat: bool = False) -> Candidate:
        now_s = self._now_s()
        track = self.tracks.get(upstream.incarnation)
        unreachable = self._domains.is_held(upstream.domain, now_s)
        # A call that has lost time to an unreachable upstream does not try its neighbours next.
        unreachable = unreachable or (repeat and self._domains.has_lost(upstream.domain))
        return Candidate(
            upstream=upstream,
            load=loads.find(upstream.incarnation),
            own=track.in_flight,
            places=upstream.slots or DEFAULT_PLACES,
            latency_s=track.latency.value or UNKNOWN_LATENCY_S,
            suspended=track.is_suspended(now_s),
            unreachable=unreachable,
            age_s=self._read_unix_s() - upstream.started_ms / 1000,
            load_age_s=track.find_load_age_s(now_s),
        )

    def _estimate_loads(self, service: str, now_s: float) -> Loads:
        """Return the loads of all live upstreams of a service, also those a call may not use."""
        live = self._view.by_service.get(service, ())
        tracks = {found.incarnation: self.tracks.get(found.incarnation) for found in live}
        resting = find_resting(live, self._moves.find_split(service), self._view.evacuated)
        return self._find_estimator(service).estimate(tracks, now_s, resting)

    def _find_estimator(self, service: str) -> LoadEstimator:
        return self._estimators.setdefault(service, LoadEstimator())

    def _take(
        self, call: Call, service: str, candidates: list[Candidate], mean: float
    ) -> Place | Refused:
        now_s = self._now_s()
        config = self._view.config
        profile = config.services.get(service) if config is not None else None
        profile = profile or ServiceProfile(service)
        key = find_home_key(call.head.parts) if call.route.cached_prompts else ""
        shared = count_shared_tokens(call.head.parts)
        if self._baseline is not None and profile.engine:
            choice = self._baseline(candidates, key, self._source)
        else:
            choice = choose_upstreams(
                candidates,
                key,
                shared,
                profile.engine,
                self._source,
                self._bounds.load_factor,
                mean,
                call.route.repeatable,
            )
        for found in choice.order:
            if not has_place(found):
                continue
            upstream = found.upstream
            if self._is_cold(upstream, profile, now_s) and not self._cold.take(
                upstream.incarnation, profile.cold_rate, self._list_instances(), now_s
            ):
                continue
            self.tracks.get(upstream.incarnation).in_flight += 1
            self._domains.note_test(upstream.domain, now_s)
            fetch_from = self._find_holder(call, key, upstream, profile, now_s)
            if key:
                self._holders.note(call.head.parts, upstream, now_s)
            log_event(
                "placed",
                request_id=call.head.request_id,
                route=call.route.name,
                service=service,
                upstream=upstream.name,
                reason=choice.reason,
                home_key=key,
                shared_tokens=shared,
                load=round(found.load, 1),
                load_age_ms=None if found.load_age_s is None else round(found.load_age_s * 1000),
                own=found.own,
                mean_load=round(mean, 1),
                load_limit=None if choice.limit is None else round(choice.limit, 1),
                candidates=len(candidates),
                suspended=choice.suspended,
                fetch_from=fetch_from,
            )
            return Place(upstream, fetch_from)
        return Refused("no-place" if choice.order else "load-limit", FULL_RETRY_S)

    def _find_holder(
        self, call: Call, key: str, chosen: Upstream, profile: ServiceProfile, now_s: float
    ) -> str:
        """Return the address of the engine to fetch the prompt from, or an empty string."""
        if not key or profile.token_bytes <= 0:
            return ""
        # A leaving engine still has what it read.
        sources = {
            found.incarnation: found
            for found in self._view.upstreams.values()
            if found.service == chosen.service and self._may_fetch(found, now_s)
        }
        return self._holders.find_address(call.head.parts, key, chosen, sources, now_s)

    def _may_fetch(self, upstream: Upstream, now_s: float) -> bool:
        track = self.tracks.get(upstream.incarnation)
        if track.replaced or track.is_suspended(now_s):
            return False
        if self._domains.is_held(upstream.domain, now_s):
            return False
        return upstream.domain not in self._view.evacuated

    def _is_cold(self, upstream: Upstream, profile: ServiceProfile, now_s: float) -> bool:
        if profile.cold_rate <= 0 or profile.cold_s <= 0:
            return False
        view = self._view
        seen_s = view.first_seen_s.get(upstream.incarnation, now_s)
        until_s = max(
            view.entry_seen_s.get(upstream.incarnation, seen_s) + upstream.cold_left_s,
            self.tracks.get(upstream.incarnation).cold_until_s,
            view.returned_s.get(upstream.domain, float("-inf")) + profile.cold_s,
        )
        return now_s < until_s
