"""Home domain of a chat: a weighted rendezvous hash over the domains of the region."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from jayyoke.core.clock import Clock
from jayyoke.core.member import Member
from jayyoke.core.peering import Peers
from jayyoke.ops.rendezvous import choose_weighted
from jayyoke.wire.gen.ttypes import Digest, ServiceCapacity

STEPS_PER_DOUBLING = 4  # A step is 19% of the capacity; smaller changes move no chat.
KEEP_STEPS = 0.75  # A capacity near the border of two steps keeps the one that it has.
MAX_STEP = 64
MAX_SERVICES = 64
MAX_DOMAINS = 64
FULL_EVERY = 10
SILENT_S = 5.0
CountEngines = Callable[[str], int]


def choose_step(engines: int, before: int | None) -> int:
    """Return the coarse capacity of a number of engines; 0 means none, `before` the last one."""
    if engines <= 0:
        return 0
    exact = 1 + STEPS_PER_DOUBLING * math.log2(engines)
    if before and abs(exact - before) <= KEEP_STEPS:
        return before
    return min(round(exact), MAX_STEP)


@dataclass(slots=True)
class _Domain:
    heard_s: float
    steps: dict[str, int] = field(default_factory=dict)


class Homes:
    """Learns the capacity of other domains from digests and chooses the home of each chat."""

    def __init__(
        self,
        clock: Clock,
        peers: Peers,
        count_engines: CountEngines,
        out: Callable[[], frozenset[str]],
    ):
        # Set where the configuration is known; digests tell the capacity of these services.
        self.list_services: Callable[[], Iterable[str]] = tuple
        self._clock = clock
        self._peers = peers
        self._count_engines = count_engines
        self._out = out
        self._own: dict[str, int] = {}
        self._sent: dict[str, int] = {}
        self._beats = 0
        self._domains: dict[str, _Domain] = {}

    def find(self, service: str, chat: str) -> str:
        """Return the home domain if it is another group's, or an empty string."""
        if not self._domains:
            return ""
        me = self._peers.me.domain
        group = {member.domain for member in self._peers.members()}
        now_s = self._clock.now_s()
        out = self._out()
        weights = {}
        for name, domain in self._domains.items():
            step = domain.steps.get(service, 0)
            if step and name not in group and now_s - domain.heard_s < SILENT_S and name not in out:
                weights[name] = _weigh(step)
        step = self._update(service)
        if step and me not in out:
            weights[me] = _weigh(step)
        home = choose_weighted(chat, weights)
        return "" if home is None or home == me else home

    def fill(self, digest: Digest) -> None:
        """Add the capacities of the own domain that changed, all of them every tenth time."""
        if self._beats % FULL_EVERY == 0:
            self._sent.clear()
        self._beats += 1
        changed = []
        for service in list(self.list_services())[:MAX_SERVICES]:
            step = self._update(service)
            if self._sent.get(service) != step:
                self._sent[service] = step
                changed.append(ServiceCapacity(service, step))
        digest.capacities = changed or None

    def accept(self, sender: Member, digest: Digest) -> None:
        """Learn the capacities of a domain of the region from one of its instances."""
        me = self._peers.me
        if sender.domain == me.domain or sender.region != me.region:
            return
        now_s = self._clock.now_s()
        domain = self._domains.get(sender.domain)
        if domain is None:
            if len(self._domains) >= MAX_DOMAINS:
                return
            domain = self._domains[sender.domain] = _Domain(now_s)
        domain.heard_s = now_s
        for capacity in (digest.capacities or [])[:MAX_SERVICES]:
            if capacity.service_name in domain.steps or len(domain.steps) < MAX_SERVICES:
                domain.steps[capacity.service_name] = min(max(capacity.step or 0, 0), MAX_STEP)

    def _update(self, service: str) -> int:
        step = choose_step(self._count_engines(service), self._own.get(service))
        self._own[service] = step
        return step


def _weigh(step: int) -> float:
    return 2.0 ** ((step - 1) / STEPS_PER_DOUBLING)
