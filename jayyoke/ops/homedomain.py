"""Home domain of a chat, chosen by weighted rendezvous hashing over the domains of the region."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from jayyoke.core.clock import Clock
from jayyoke.core.member import Member
from jayyoke.core.peering import Peers
from jayyoke.ops.rendezvous import choose_weighted
from jayyoke.wire.gen.ttypes import Digest, ServiceCapacity

STEPS_PER_DOUBLING = 4  # A step is 19% of the capacity; smaller changes move no chats.
STEP_HYSTERESIS = 0.75  # A capacity near the border of two steps keeps its step.
MAX_STEP = 64
MAX_SERVICES = 64
MAX_DOMAINS = 64
FULL_EVERY = 10
MAX_DIGEST_AGE_S = 5.0
CountEngines = Callable[[str], int]


def choose_step(engines: int, before: int | None) -> int:
    """Return the capacity of a number of engines, rounded to logarithmic steps; 0 means none.

    `before` is the previous step, which small changes keep.
    """
    if engines <= 0:
        return 0
    exact = 1 + STEPS_PER_DOUBLING * math.log2(engines)
    if before and abs(exact - before) <= STEP_HYSTERESIS:
        return before
    return min(round(exact), MAX_STEP)


@dataclass(slots=True)
class _Domain:
    last_digest_s: float
    steps: dict[str, int] = field(default_factory=dict)


class HomeDomains:
    """Records other domains' capacities from digests and chooses each chat's home domain."""

    def __init__(
        self,
        clock: Clock,
        peers: Peers,
        count_engines: CountEngines,
        domains_out: Callable[[], frozenset[str]],
    ):
        # Replaced once the configuration is known; digests report the capacity of these services.
        self.list_services: Callable[[], Iterable[str]] = tuple
        self._clock = clock
        self._peers = peers
        self._count_engines = count_engines
        self._domains_out = domains_out
        self._own_steps: dict[str, int] = {}
        self._sent_steps: dict[str, int] = {}
        self._digest_count = 0
        self._domains: dict[str, _Domain] = {}

    def find(self, service: str, chat: str) -> str:
        """Return the chat's home domain if it belongs to another group, or an empty string."""
        if not self._domains:
            return ""
        me = self._peers.me.domain
        group = {member.domain for member in self._peers.members()}
        now_s = self._clock.now_s()
        domains_out = self._domains_out()
        weights = {}
        for name, domain in self._domains.items():
            step = domain.steps.get(service, 0)
            if (
                step
                and name not in group
                and now_s - domain.last_digest_s < MAX_DIGEST_AGE_S
                and name not in domains_out
            ):
                weights[name] = _compute_weight(step)
        step = self._update_own_step(service)
        if step and me not in domains_out:
            weights[me] = _compute_weight(step)
        home_domain = choose_weighted(chat, weights)
        return "" if home_domain is None or home_domain == me else home_domain

    def fill_digest(self, digest: Digest) -> None:
        """Add the own domain's changed capacities to a digest, and all of them every tenth time."""
        if self._digest_count % FULL_EVERY == 0:
            self._sent_steps.clear()
        self._digest_count += 1
        changed = []
        for service in list(self.list_services())[:MAX_SERVICES]:
            step = self._update_own_step(service)
            if self._sent_steps.get(service) != step:
                self._sent_steps[service] = step
                changed.append(ServiceCapacity(service, step))
        digest.capacities = changed or None

    def accept_digest(self, sender: Member, digest: Digest) -> None:
        """Record the capacities of a domain of this region from one of its instances' digests."""
        me = self._peers.me
        if sender.domain == me.domain or sender.region != me.region:
            return
        now_s = self._clock.now_s()
        domain = self._domains.get(sender.domain)
        if domain is None:
            if len(self._domains) >= MAX_DOMAINS:
                return
            domain = self._domains[sender.domain] = _Domain(now_s)
        domain.last_digest_s = now_s
        for capacity in (digest.capacities or [])[:MAX_SERVICES]:
            if capacity.service_name in domain.steps or len(domain.steps) < MAX_SERVICES:
                domain.steps[capacity.service_name] = min(max(capacity.step or 0, 0), MAX_STEP)

    def _update_own_step(self, service: str) -> int:
        step = choose_step(self._count_engines(service), self._own_steps.get(service))
        self._own_steps[service] = step
        return step


def _compute_weight(step: int) -> float:
    return 2.0 ** ((step - 1) / STEPS_PER_DOUBLING)
