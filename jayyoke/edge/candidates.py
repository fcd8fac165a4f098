"""Lists the upstreams that a call may use, and describes each as this instance knows it."""

from __future__ import annotations

import time
from collections.abc import Callable, Collection, Sequence

from jayyoke.core.route import ServiceProfile
from jayyoke.core.upstream import Upstream
from jayyoke.edge.call import Call
from jayyoke.edge.canary import find_unordered_versions, select_upstreams
from jayyoke.edge.choose import Candidate
from jayyoke.edge.domain import DomainTracker
from jayyoke.edge.load import LoadEstimator, Loads, find_excluded
from jayyoke.edge.moves import MoveParticipant
from jayyoke.edge.track import UpstreamTracker
from jayyoke.edge.view import FleetView
from jayyoke.ops.notices import UpstreamNotices
from jayyoke.ops.requestlimit import RequestLimits

# Latency assumed of upstreams that have not answered yet.
UNKNOWN_LATENCY_S = 0.05
# Upstreams that declare no slots get at most this many requests at once from one instance.
DEFAULT_SLOTS = 64


class CandidateFinder:
    """Combines the store's rows with what answers told of the upstreams."""

    def __init__(
        self,
        view: FleetView,
        moves: MoveParticipant,
        tracker: UpstreamTracker,
        domain_tracker: DomainTracker,
        notices: UpstreamNotices,
        limits: RequestLimits,
        now_s: Callable[[], float],
        read_unix_s: Callable[[], float] = time.time,
    ):
        self._view = view
        self._moves = moves
        self._tracker = tracker
        self._domain_tracker = domain_tracker
        self._notices = notices
        self._limits = limits
        self._now_s = now_s
        self._read_unix_s = read_unix_s
        self._estimators: dict[str, LoadEstimator] = {}

    def list_candidates(
        self, call: Call, service: str, tried: set[str], draw: float, loads: Loads
    ) -> list[Candidate]:
        """Return the upstreams that the call may use."""
        now_s = self._now_s()
        view = self._view
        live = view.by_service.get(service, ())
        split = self._moves.find_split(service)
        unordered: frozenset[str] = frozenset()
        if not split.version:
            unordered = find_unordered_versions(live, view.first_seen_s, now_s)
        staying: Sequence[Upstream] = live
        if not self._notices.empty:
            staying = [f for f in live if not self._notices.is_withdrawn(f.incarnation)]
        allowed = self._drop_limited(select_upstreams(staying, split, draw, unordered))
        if not allowed and not self._limits.empty and draw < split.share < 1.0:
            # The upstreams of a version on trial are limited, so its share goes to the others.
            allowed = self._drop_limited(select_upstreams(staying, split, 1.0, unordered))
        found = []
        for upstream in allowed:
            if upstream.incarnation in tried or not self._may_use(call, upstream):
                continue
            candidate = self.describe(upstream, loads, repeat=bool(tried))
            if not self._tracker.get(upstream.incarnation).replaced:
                found.append(candidate)
        return found

    def list_allowed(self, call: Call, service: str) -> list[Upstream]:
        """Return the upstreams that the call may use, also while they want no requests."""
        live = self._view.by_service.get(service, ())
        excluded = find_excluded(live, self._moves.find_split(service), self._view.evacuated)
        return [f for f in live if f.incarnation not in excluded and self._may_use(call, f)]

    def describe(self, upstream: Upstream, loads: Loads, repeat: bool = False) -> Candidate:
        """Return what is known of an upstream; `repeat` is set if the call was sent before."""
        now_s = self._now_s()
        stats = self._tracker.get(upstream.incarnation)
        unreachable = self._domain_tracker.in_backoff(upstream.domain, now_s)
        # A call that lost time to a silent upstream does not try another one of its domain.
        unreachable = unreachable or (repeat and self._domain_tracker.has_failures(upstream.domain))
        return Candidate(
            upstream=upstream,
            load=loads.find(upstream.incarnation),
            own=stats.in_flight,
            slots=upstream.slots or DEFAULT_SLOTS,
            latency_s=stats.latency.value or UNKNOWN_LATENCY_S,
            suspended=stats.is_suspended(now_s),
            unreachable=unreachable,
            age_s=self._read_unix_s() - upstream.started_ms / 1000,
            load_age_s=stats.find_load_age_s(now_s),
            slowness=loads.slowness.get(upstream.incarnation, 1.0),
            figure=stats.figures.figure,
            last_answer=stats.find_last_answer(now_s),
        )

    def estimate_loads(self, service: str, now_s: float) -> Loads:
        """Return the loads of all live upstreams of a service, also those a call may not use."""
        live = self._view.by_service.get(service, ())
        stats_by_incarnation = {
            found.incarnation: self._tracker.get(found.incarnation) for found in live
        }
        excluded = find_excluded(live, self._moves.find_split(service), self._view.evacuated)
        if not self._notices.empty:
            # All instances learn that an upstream leaves, since all its answers say so.
            excluded |= {name for name in stats_by_incarnation if self._notices.is_leaving(name)}
        limited: Collection[str] = ()
        if not self._limits.empty:
            limited = {
                name for name in stats_by_incarnation if self._limits.find_limit(name) is not None
            }
        return self.find_estimator(service).estimate(stats_by_incarnation, now_s, excluded, limited)

    def sum_slots(self, service: str, loads: Loads, now_s: float) -> tuple[int, float]:
        """Return the slots and the load of the upstreams that get requests and declare slots."""
        slots = 0
        requests = 0.0
        for found in self._view.by_service.get(service, ()):
            name = found.incarnation
            if found.slots <= 0 or found.domain in self._view.evacuated:
                continue
            if self._notices.is_withdrawn(name) or self._tracker.get(name).is_suspended(now_s):
                continue
            slots += found.slots
            requests += loads.find(name)
        return slots, requests

    def count_slow(self) -> int:
        """Return how many upstreams of all services are slow now."""
        now_s = self._now_s()
        loads = [self.estimate_loads(service, now_s) for service in self._view.by_service]
        return sum(len(found.slowness) for found in loads)

    def is_suspected(self, domain: str) -> bool:
        """Tell whether a domain seems unreachable to this instance."""
        return self._domain_tracker.is_suspected(domain)

    def find_load_age_s(self, upstream: Upstream, now_s: float) -> float | None:
        """Return how old the last load of an upstream is, or None if it has reported none."""
        return self._tracker.get(upstream.incarnation).find_load_age_s(now_s)

    def find_estimator(self, service: str) -> LoadEstimator:
        """Return the estimator of the loads of a service's upstreams."""
        return self._estimators.setdefault(service, LoadEstimator())

    def can_fetch_from(self, upstream: Upstream, now_s: float) -> bool:
        """Tell whether another engine may fetch a prompt from an engine's cache."""
        stats = self._tracker.get(upstream.incarnation)
        if stats.replaced or stats.is_suspended(now_s):
            return False
        if self._notices.find_pause_s(upstream.incarnation) > 0.0:
            return False
        if self._domain_tracker.in_backoff(upstream.domain, now_s):
            return False
        return upstream.domain not in self._view.evacuated

    def list_sources(self, service: str, now_s: float) -> list[Upstream]:
        """Return the engines of a service from which a prompt may be fetched."""
        # An engine that is leaving still has its cached prompts.
        upstreams = self._view.upstreams.values()
        return [f for f in upstreams if f.service == service and self.can_fetch_from(f, now_s)]

    def is_cold(self, upstream: Upstream, profile: ServiceProfile, now_s: float) -> bool:
        """Tell whether an upstream is cold, and so bears only the rate of its service's profile."""
        if profile.warm_up_rate <= 0 or profile.warm_up_s <= 0:
            return False
        view = self._view
        seen_s = view.first_seen_s.get(upstream.incarnation, now_s)
        until_s = max(
            view.entry_seen_s.get(upstream.incarnation, seen_s) + upstream.warm_up_left_s,
            self._tracker.get(upstream.incarnation).cold_until_s,
            view.domain_returned_s.get(upstream.domain, float("-inf")) + profile.warm_up_s,
        )
        return now_s < until_s

    def _drop_limited(self, upstreams: list[Upstream]) -> list[Upstream]:
        """Return the upstreams whose limits have room for a request of this instance now."""
        if self._limits.empty:
            return upstreams
        return [found for found in upstreams if self._limits.may_send(found.incarnation)]

    def _may_use(self, call: Call, upstream: Upstream) -> bool:
        """Tell whether the operators allow the call at an upstream's place."""
        view = self._view
        if upstream.domain in view.evacuated:
            return False
        region = view.regions.get(upstream.domain, "")
        return not call.route.regions or region in call.route.regions
