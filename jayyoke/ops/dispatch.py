"""The parts of placement of one instance, put together."""

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
from jayyoke.ops.home import Homes
from jayyoke.ops.loads import Loads, Reporter
from jayyoke.ops.owner import Owner
from jayyoke.ops.placement import Placer
from jayyoke.ops.policy import Policy
from jayyoke.ops.steward import Steward
from jayyoke.ops.stewardship import Directory
from jayyoke.wire.gen.ttypes import Digest

SWEEP_INTERVAL_S = 0.5
# A balancer spreads connections, not work; the share of one instance may be this much larger.
UNEVEN_ARRIVALS = 1.5


class Dispatch:
    """Holds placement's parts; the heartbeat calls `fill_loads` and `accept_loads`."""

    def __init__(
        self,
        clock: Clock,
        peers: Peers,
        loads: Loads,
        directory: Directory,
        policy: Policy,
        out: Callable[[], frozenset[str]],
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
        seed: int | None = None,
    ):
        self.loads = loads
        self._peers = peers
        self._directory = directory
        self.steward = Steward(clock, peers, loads, directory, out)
        rng = random.Random(seed)
        self.owner = Owner(clock, peers, loads, directory, policy, out, rng)
        self.owner.reserve_here = self.steward.reserve
        self.homes = Homes(clock, peers, self._count_engines, out)
        gateway = Gateway(clock, peers, self.owner)
        self.placer = Placer(
            clock, peers, self.owner, directory, policy, self.homes, gateway, sleep
        )
        self._reporter = Reporter(self.steward.list_loads, loads.versions)
        self._totals: dict[str, tuple[list[str], int, ServiceSpec, int]] = {}
        peers.changes.subscribe(self._on_change)

    @property
    def notices(self) -> Observable[str]:
        """Return engines near the bound; the heartbeat is to send a digest at once."""
        return self.steward.notices

    def fill_loads(self, digest: Digest, only: str | None = None) -> None:
        """Set the names and loads of the next digest to all peers.

        `only` names the engine of a notice; such a digest goes out between two heartbeats.
        """
        self._reporter.fill(digest, only)

    def accept_loads(self, sender: Member, digest: Digest) -> None:
        """Learn from a received digest."""
        for engine in self.loads.accept_loads(sender, digest):
            self.owner.memory.forget_engine(engine)

    def capacity(self, service: str) -> float:
        """Return the work that this instance may have running on a service, in tokens.

        It is an equal share of what the live engines bear, with room for uneven arrivals; the
        stewards decide on each request. Plain services have no limit here.
        """
        spec = self._directory.service(service)
        if spec is None or not find_protocol(spec.protocol).reports_load:
            return math.inf
        engines = self.owner.list_engines(service)
        # The list is the same object until it changes, so most requests sum nothing.
        known = self._totals.get(service)
        if (
            known is None
            or known[0] is not engines
            or known[1:3] != (self.loads.limit_changes, spec)
        ):
            known = (engines, self.loads.limit_changes, spec, self._sum_limits(spec, engines))
            self._totals[service] = known
        return max(known[3] * UNEVEN_ARRIVALS / len(self._peers.members()), 1.0)

    def _count_engines(self, service: str) -> int:
        return len(self.owner.list_engines(service))

    def _sum_limits(self, spec: ServiceSpec, engines: list[str]) -> int:
        total = 0
        for engine in engines:
            load = self.loads.find(engine)
            total += spec.full_work_tokens if load is None else load.limit_tokens
        return total

    async def run(self) -> None:
        """Release, report and sweep until cancelled."""
        releases = asyncio.create_task(self.placer.run())
        try:
            while True:
                await asyncio.sleep(SWEEP_INTERVAL_S)
                self.steward.check_domains()
                self.steward.sweep()
        finally:
            releases.cancel()

    def _on_change(self, change: MemberChange) -> None:
        if change.state is MemberState.LIVE:
            self._reporter.require_full()
            return
        self.loads.reporting_members.discard(change.member.name)
