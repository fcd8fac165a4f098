"""Assigns an upstream to each call, and records what answers tell of the upstreams."""

from __future__ import annotations

import random
import time
from collections.abc import Callable, Iterable

from jayyoke.core.entrysettings import AdmissionSettings, Bounds
from jayyoke.core.notice import Notice
from jayyoke.core.route import ServiceProfile
from jayyoke.core.upstream import Upstream
from jayyoke.edge.admitter import Admitter
from jayyoke.edge.assignment import Assignment, Refused
from jayyoke.edge.baseline import Ordering
from jayyoke.edge.call import Call
from jayyoke.edge.candidates import CandidateFinder
from jayyoke.edge.choose import (
    Candidate,
    choose_upstreams,
    count_shared_tokens,
    find_home_key,
    has_free_slot,
)
from jayyoke.edge.coldlimiter import ColdLimiter
from jayyoke.edge.domain import DomainTracker
from jayyoke.edge.limitexchange import LimitExchange
from jayyoke.edge.load import NO_LOADS, Loads
from jayyoke.edge.loadexchange import LoadExchange, ReportedLoad
from jayyoke.edge.log import log_event
from jayyoke.edge.moves import MoveParticipant
from jayyoke.edge.outcome import Delivered, Failed, MayHaveRun, NotRun, Outcome
from jayyoke.edge.placedlog import log_placed
from jayyoke.edge.promptlocator import PromptLocator
from jayyoke.edge.returns import ReturnTimes
from jayyoke.edge.spread import Spread
from jayyoke.edge.track import UpstreamTracker
from jayyoke.edge.view import FleetView
from jayyoke.edge.waitqueue import WaitQueue
from jayyoke.ops.notices import UpstreamNotices
from jayyoke.ops.requestlimit import RequestLimits
from jayyoke.platform.message import AnswerHead
from jayyoke.zones.preference import Zones

# A call waits in the queue for at most these fractions of its objective and of its time left.
WAIT_OBJECTIVE_FRACTION = 0.5
WAIT_LEFT_FRACTION = 0.3
FULL_RETRY_S = 0.5
# An upstream with more of its slots in use takes requests only if others have no room.
ROOMY_FRACTION = 0.75


class Placer:
    """Chooses upstreams by load, failures and reachability as this instance knows them."""

    def __init__(
        self,
        view: FleetView,
        moves: MoveParticipant,
        bounds: Bounds,
        instance: str,
        now_s: Callable[[], float],
        source: random.Random,
        list_instances: Callable[[], Iterable[str]],
        baseline: Ordering | None = None,
        read_unix_s: Callable[[], float] = time.time,
        read_common_s: Callable[[], float] | None = None,
        zones: Zones | None = None,
        admission: AdmissionSettings | None = None,
        domain: str = "",
    ):
        self._view = view
        self._moves = moves
        self._bounds = bounds
        self._now_s = now_s
        self._source = source
        self._cold_limiter = ColdLimiter(bounds, instance)
        self._list_instances = list_instances
        self._baseline = baseline
        self._queues: dict[str, WaitQueue] = {}
        self._spreads: dict[str, Spread] = {}
        # Requests that left an upstream since it was slow for a moment.
        self.slow_left = 0
        self._instance = instance
        self.zones = zones or Zones()
        self._prompt_locator = PromptLocator(
            lambda found, _: self._candidates.describe(found, NO_LOADS)
        )
        self.tracker = UpstreamTracker(now_s)
        self.notices = UpstreamNotices(now_s, source)
        self._domain_tracker = DomainTracker()
        self.limits = RequestLimits(instance, list_instances, read_common_s or now_s, now_s, source)
        self.candidates = self._candidates = CandidateFinder(
            view,
            moves,
            self.tracker,
            self._domain_tracker,
            self.notices,
            self.limits,
            now_s,
            read_unix_s,
        )
        self._returns = ReturnTimes(self._candidates, self.notices, self.limits, now_s)
        self.load_exchange = LoadExchange(now_s, self._record_peer_load)
        self.limit_exchange = LimitExchange(self.limits)
        self.admitter = Admitter(
            admission, self._candidates, instance, domain, now_s, source, list_instances
        )

    @property
    def view(self) -> FleetView:
        """Return the view of upstreams and configuration."""
        return self._view

    @property
    def instances(self) -> int:
        """Return how many instances share budgets, this one included."""
        return len({self._instance, *self._list_instances()})

    def count_slow(self) -> int:
        """Return how many upstreams are slow now, by the figures of all services."""
        return self._candidates.count_slow()

    def draw_service(self, call: Call) -> str:
        """Return the service of a call, drawn by the route's shares."""
        shares = call.route.shares
        if len(shares) == 1:
            return shares[0].service
        weights = [share.weight for share in shares]
        if sum(weights) <= 0:
            return shares[0].service
        return self._source.choices(shares, weights)[0].service

    async def assign(
        self, call: Call, service: str, tried: set[str], started: bool
    ) -> Assignment | Refused:
        """Take a slot at an upstream, which must be freed with `release`, or return why not."""
        queue = self._queues.setdefault(service, WaitQueue())
        wait_until_s = self._now_s() + self._find_wait_limit_s(call)
        waited = False
        first = not tried and not started
        refused = Refused("no-place", FULL_RETRY_S)
        draw = self._source.random()
        while True:
            self._view.drop_lapsed()
            now_s = self._now_s()
            loads = self._candidates.estimate_loads(service, now_s)
            candidates = self._candidates.list_candidates(call, service, tried, draw, loads)
            if not candidates:
                ahead = queue.count_ahead(call.rank, call.deadline_s)
                wait = self._returns.find_wait(call, service, tried, ahead)
                if wait is None or wait.expected_s > wait_until_s - now_s or queue.full:
                    return self._returns.refuse(call, service, tried)
                await queue.wait(call.rank, call.deadline_s, wait.recheck_s, wait.recheck_s)
                continue
            if first and not waited:
                turned = self.admitter.admit(call, service, candidates, loads)
                if turned is not None:
                    return turned
            wait_until_s = min(wait_until_s, self.admitter.find_wait_until_s(call, service, loads))
            if waited or not queue.outranked(call.rank, call.deadline_s):
                taken = self._assign(call, service, candidates, loads)
                if isinstance(taken, Assignment):
                    self.admitter.record_placed(service, first)
                    return taken
                refused = taken
            waited = True
            left_s = wait_until_s - now_s
            if left_s <= 0 or queue.full:
                return self.admitter.refuse(call, service, refused)
            await queue.wait(call.rank, call.deadline_s, left_s)

    def estimate_load(self, service: str, upstream: Upstream) -> float:
        """Return an estimate of how many requests an upstream has now."""
        return self._candidates.estimate_loads(service, self._now_s()).find(upstream.incarnation)

    def release(
        self,
        service: str,
        upstream: Upstream,
        answered: bool = False,
        duration_s: float | None = None,
        give_back: bool = False,
        rank: int | None = None,
    ) -> None:
        """Free the slot of a request after `duration_s`; `answered` if its answer had begun.

        `give_back` is set if it had room within the upstream's limit and was not sent.
        """
        if give_back:
            self.limits.give_back(upstream.incarnation)
        self.admitter.record_ended(service, rank, duration_s)
        stats = self.tracker.get(upstream.incarnation)
        stats.in_flight = max(0, stats.in_flight - 1)
        if answered:
            stats.answering = max(0, stats.answering - 1)
        if duration_s is not None:
            self._candidates.find_estimator(service).record_duration(duration_s)
        queue = self._queues.get(service)
        if queue is not None:
            queue.wake_next()

    def record_answer_head(self, upstream: Upstream, head: AnswerHead) -> None:
        """Record what an answer's head tells of its upstream; `release` then needs `answered`."""
        stats = self.tracker.get(upstream.incarnation)
        stats.answering += 1
        now_s = self._now_s()
        if head.load is not None:
            stats.record_load(head.load, now_s)
            self.load_exchange.record_own(
                upstream.incarnation, head.load.running + head.load.waiting, head.load.slowness
            )
        if head.warm_up_left_s:
            stats.cold_until_s = now_s + head.warm_up_left_s

    def record_notice(self, call: Call, upstream: Upstream, notice: Notice) -> None:
        """Record what an answer says of its upstream."""
        if self.notices.record(upstream.incarnation, notice):
            log_event(
                "upstream-notice",
                request_id=call.head.request_id,
                upstream=upstream.name,
                leaving=notice.leaving,
                pause_s=notice.pause_s,
            )

    def record_limit(
        self, call: Call, upstream: Upstream, limit_per_s: float | None, asked_s: float
    ) -> None:
        """Record the limit that an upstream's answer to a request of `asked_s` names, or None."""
        if self.limits.record(upstream.incarnation, limit_per_s, asked_s):
            log_event(
                "upstream-limit",
                request_id=call.head.request_id,
                upstream=upstream.name,
                limit_per_s=limit_per_s,
                source="answer",
            )

    def record_outcome(
        self,
        call: Call,
        service: str,
        upstream: Upstream,
        outcome: Outcome,
        latency_s: float | None,
    ) -> tuple[Upstream, ...]:
        """Record an outcome for the upstream and its domain.

        Return the upstreams whose idle connections may be dead.
        """
        stats = self.tracker.get(upstream.incarnation)
        now_s = self._now_s()
        suspended = False
        suspected = self._record_domain(call, upstream, outcome, now_s)
        match outcome:
            case Delivered():
                stats.record_success(latency_s, now_s)
            case NotRun(_, arrived, misdirected):
                if misdirected:
                    stats.replaced = True
                    suspended = True
                elif not arrived and outcome.reason.startswith("unreachable"):
                    suspended = stats.record_unreachable(now_s)
            case MayHaveRun(_, silent):
                if silent:
                    suspended = stats.record_unreachable(now_s)
                else:
                    suspended = self._count_failure(service, upstream)
            case Failed():
                suspended = self._count_failure(service, upstream)
        if suspended:
            self._log_suspension(call, upstream, str(outcome)[:200])
        return suspected

    def record_silence(self, call: Call, upstream: Upstream) -> None:
        """Suspend an upstream that is silent, so that other calls avoid it."""
        if self.tracker.get(upstream.incarnation).record_unreachable(self._now_s()):
            self._log_suspension(call, upstream, "silent")

    def record_end(self, upstream: Upstream) -> None:
        """Suspend an upstream that has ended, so that no call finds its port closed."""
        self.tracker.get(upstream.incarnation).record_unreachable(self._now_s())

    def _log_suspension(self, call: Call, upstream: Upstream, reason: str) -> None:
        stats = self.tracker.get(upstream.incarnation)
        log_event(
            "upstream-suspended",
            request_id=call.head.request_id,
            upstream=upstream.name,
            reason=reason,
            failure_rate=round(stats.failure_rate, 2),
            hold_s=stats.suspension_s,
        )

    def _record_domain(
        self, call: Call, upstream: Upstream, outcome: Outcome, now_s: float
    ) -> tuple[Upstream, ...]:
        """Record whether the domain was reached; return its upstreams if it becomes suspected."""
        domain = upstream.domain
        event = self._domain_tracker.record_outcome(domain, upstream.incarnation, outcome, now_s)
        if not event:
            return ()
        log_event(event, request_id=call.head.request_id, domain=domain, upstream=upstream.name)
        if event == "domain-reached":
            return ()
        return tuple(f for f in self._view.upstreams.values() if f.domain == domain)

    def forget_missing(self) -> None:
        """Forget upstreams that are gone."""
        live = {found.incarnation for found in self._view.upstreams.values()}
        self.tracker.retain(live)
        self._cold_limiter.retain(live)
        self.limits.retain(live)

    def _record_peer_load(self, load: ReportedLoad) -> None:
        """Record a load reported to another instance, if the engine is known here."""
        stats = self.tracker.find(load.incarnation)
        if stats is not None:
            stats.record_peer_load(load.requests, load.reported_at_s, load.slowness)

    def _count_failure(self, service: str, upstream: Upstream) -> bool:
        names = [found.incarnation for found in self._view.by_service.get(service, ())]
        rate = self.tracker.find_failure_rate(names)
        return self.tracker.get(upstream.incarnation).record_failure(self._now_s(), rate)

    def _find_wait_limit_s(self, call: Call) -> float:
        left_s = call.deadline_s - self._now_s()
        return min(WAIT_OBJECTIVE_FRACTION * call.route.objective_s, WAIT_LEFT_FRACTION * left_s)

    def _assign(
        self, call: Call, service: str, candidates: list[Candidate], loads: Loads
    ) -> Assignment | Refused:
        if loads.free_mean > loads.mean:
            # The others serve what upstreams with a limit do not take, until they are nearly full.
            roomy = [f for f in candidates if f.load < ROOMY_FRACTION * f.slots]
            taken = self._assign_within(call, service, roomy, loads.free_mean)
            if isinstance(taken, Assignment):
                return taken
        return self._assign_within(call, service, candidates, loads.free_mean)

    def _assign_within(
        self, call: Call, service: str, candidates: list[Candidate], mean: float
    ) -> Assignment | Refused:
        now_s = self._now_s()
        config = self._view.config
        profile = (config.services.get(service) if config else None) or ServiceProfile(service)
        key = find_home_key(call.head.parts) if call.route.prefix_affinity else ""
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
                self.zones,
                self._find_spread(service),
                profile.token_bytes > 0,
            )
        for found in choice.order:
            if not has_free_slot(found) and not self.admitter.may_try(service, found):
                continue
            upstream = found.upstream
            if self._candidates.is_cold(upstream, profile, now_s) and not self._cold_limiter.take(
                upstream.incarnation, profile.warm_up_rate, self._list_instances(), now_s
            ):
                continue
            limited = self.limits.find_limit(upstream.incarnation) is not None
            if not self.limits.take(upstream.incarnation):
                continue
            self.tracker.get(upstream.incarnation).in_flight += 1
            self._domain_tracker.record_probe(upstream.domain, now_s)
            fetch_from = ""
            if key and profile.token_bytes > 0:
                sources = self._candidates.list_sources(service, now_s)
                fetch_from = self._prompt_locator.find_source(
                    call.head.parts, upstream, profile.token_bytes, sources, self.zones, now_s
                )
            if key:
                self._prompt_locator.record(call.head.parts, upstream, now_s)
            self.slow_left += choice.avoids_slow
            crosses = self.zones.count(upstream)
            log_placed(
                call, service, found, choice, mean, len(candidates), fetch_from, now_s, crosses
            )
            return Assignment(upstream, fetch_from, limited)
        return Refused("no-place" if choice.order else "load-limit", FULL_RETRY_S)

    def _find_spread(self, service: str) -> Spread:
        spread = self._spreads.get(service)
        if spread is None:
            spread = Spread(self._instance, self._list_instances, self._now_s)
            self._spreads[service] = spread
        return spread
