"""Assembly of the parts that place the requests of one instance."""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Awaitable, Callable

from reactivex import Observable

from jayyoke.core.clock import Clock
from jayyoke.core.config import ServiceSpec
from jayyoke.core.member import Member, MemberChange, MemberState
from jayyoke.core.peering import Peers
from jayyoke.core.protocol import find_protocol
from jayyoke.ops.gateway import Gateway
from jayyoke.ops.homedomain import HomeDomains
from jayyoke.ops.loads import LoadReporter, Loads
from jayyoke.ops.notices import UpstreamNotices
from jayyoke.ops.owner import Owner
from jayyoke.ops.placement import Placer
from jayyoke.ops.policy import Policy
from jayyoke.ops.requestlimit import RequestLimits
from jayyoke.ops.steward import Steward
from jayyoke.ops.stewardship import Directory
from jayyoke.wire.gen.ttypes import Digest

SWEEP_INTERVAL_S = 0.5
# Load balancers spread connections, not work, so one instance may get this multiple of its share.
MAX_ARRIVALS_OVER_SHARE = 1.5


class Dispatch:
    """Holds the parts of placement; heartbeats call `fill_loads` and `accept_loads`."""

    def __init__(
        self,
        clock: Clock,
        peers: Peers,
        loads: Loads,
        directory: Directory,
        policy: Policy,
        domains_out: Callable[[], frozenset[str]],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        seed: int | None = None,
        notices: UpstreamNotices | None = None,
        request_limits: RequestLimits | None = None,
    ):
        self.loads = loads
        self._peers = peers
        self._directory = directory
        self.steward = Steward(clock, peers, loads, directory, domains_out)
        rng = random.Random(seed)
        self.owner = Owner(clock, peers, loads, directory, policy, domains_out, rng)
        self.owner.reserve_here = self.steward.reserve
        self.home_domains = HomeDomains(clock, peers, self._count_engines, domains_out)
        gateway = Gateway(clock, peers, self.owner)
        self.placer = Placer(
            clock,
            peers,
            self.owner,
            directory,
            policy,
            self.home_domains,
            gateway,
            sleep,
            notices,
            request_limits,
        )
        self._load_reporter = LoadReporter(self.steward.list_loads, loads.versions)
        self._limit_sums: dict[str, tuple[list[str], int, ServiceSpec, int]] = {}
        peers.changes.subscribe(self._on_member_change)

    @property
    def notices(self) -> Observable[str]:
        """Return an observable of engines whose load is to be sent in a digest at once."""
        return self.steward.notices

    def fill_loads(self, digest: Digest, only_engine: str | None = None) -> None:
        """Set the names and loads of the next digest to all peers.

        `only_engine` is the engine of a notice, whose digest is sent between two heartbeats.
        """
        self._load_reporter.fill(digest, only_engine)

    def accept_loads(self, sender: Member, digest: Digest) -> None:
        """Record the loads of a received digest and forget the caches of restarted engines."""
        for engine in self.loads.accept_loads(sender, digest):
            self.owner.cache_locations.forget_engine(engine)
            self.placer.notices.forget(engine)

    def capacity_tokens(self, service: str) -> float:
        """Return how much work of a service this instance may have running, in tokens.

        It is an equal share of the live engines' limits, with headroom for uneven arrivals; the
        stewards decide on each request. Plain services have no limit here.
        """
        spec = self._directory.find_service(service)
        if spec is None or not find_protocol(spec.protocol).reports_load:
            return math.inf
        engines = self.owner.list_engines(service)
        # The list is the same object until it changes, so most requests reuse the sum.
        cached = self._limit_sums.get(service)
        if (
            cached is None
            or cached[0] is not engines
            or cached[1:3] != (self.loads.limit_changes, spec)
        ):
            cached = (engines, self.loads.limit_changes, spec, self._sum_limits(spec, engines))
            self._limit_sums[service] = cached
        return max(cached[3] * MAX_ARRIVALS_OVER_SHARE / len(self._peers.members()), 1.0)

    def _count_engines(self, service: str) -> int:
        return len(self.owner.list_engines(service))

    def _sum_limits(self, spec: ServiceSpec, engines: list[str]) -> int:
        total = 0
        for engine in engines:
            load = self.loads.find(engine)
            total += spec.full_work_tokens if load is None else load.limit_tokens
        return total

    async def run(self) -> None:
        """Send releases and holdings, and sweep the steward's accounts, until cancelled."""
        release_task = asyncio.create_task(self.placer.run())
        try:
            while True:
                await asyncio.sleep(SWEEP_INTERVAL_S)
                self.steward.check_domains()
                self.steward.sweep()
        finally:
            release_task.cancel()

    def _on_member_change(self, change: MemberChange) -> None:
        if change.state is MemberState.LIVE:
            self._load_reporter.require_full()
            return
        self.loads.reporting_members.discard(change.member.name)
