"""What this instance believes of every upstream."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

from absl import logging

from jayyoke.core.clock import Clock
from jayyoke.core.config import ServiceSpec
from jayyoke.core.error import StoreUnavailable
from jayyoke.core.upstream import Upstream, UpstreamState
from jayyoke.ops.loads import Loads
from jayyoke.ops.versions import EngineVersions
from jayyoke.platform.listing import Listing, Snapshot

POLL_INTERVAL_S = 1.0
AVOID_S = 1.0  # Within this time the steward's digest tells every peer.


class Health:
    """Combines the list, the digests and this instance's own probes and failures.

    The last list stays while the list is unavailable.
    """

    def __init__(
        self,
        listing: Listing,
        clock: Clock,
        loads: Loads,
        find_service: Callable[[str], ServiceSpec | None],
    ):
        self._listing = listing
        self._clock = clock
        self._loads = loads
        self._find_service = find_service
        self._listed: dict[str, Upstream] = {}
        self._probed: dict[str, UpstreamState] = {}
        self._avoided: dict[str, float] = {}
        self._snapshot: Snapshot | None = None

    def candidates(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that may receive new work, by name."""
        found = []
        now_s = self._clock.now_s()
        for name, listed in self._listed.items():
            if listed.service != service or now_s < self._avoided.get(name, now_s):
                continue
            if self._judge(listed) is UpstreamState.LIVE:
                found.append(listed)
        return tuple(found)

    def find(self, name: str) -> Upstream | None:
        """Return an upstream by name, whatever its state."""
        listed = self._listed.get(name)
        if listed is None:
            return None
        state = self._judge(listed)
        return listed if state is listed.state else replace(listed, state=state)

    def service(self, name: str) -> ServiceSpec | None:
        """Return the declaration of a service."""
        return self._find_service(name)

    @property
    def versions(self) -> EngineVersions:
        """Return what is known of the engines' versions."""
        return self._loads.versions

    def list_service(self, service: str) -> list[Upstream]:
        """Return every listed upstream of a service, whatever its state but leaving."""
        found = []
        for listed in self._listed.values():
            if listed.service == service and listed.state is not UpstreamState.LEAVING:
                found.append(listed)
        return found

    def names(self) -> tuple[str, ...]:
        """Return the names of all listed upstreams."""
        return tuple(self._listed)

    def record_probe(self, name: str, state: UpstreamState | None) -> None:
        """Record what this steward's probe found; None once another instance is the steward."""
        if state is None:
            self._probed.pop(name, None)
            return
        self._probed[name] = state

    def avoid(self, name: str) -> None:
        """Keep an upstream out of this instance's candidates until its steward has judged it."""
        self._avoided[name] = self._clock.now_s() + AVOID_S

    async def run(self) -> None:
        """Follow the list until cancelled."""
        while True:
            try:
                await self.refresh()
            except StoreUnavailable as error:
                logging.warning("instance list cannot be read: %s", error)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def refresh(self) -> None:
        """Read the list once; raise StoreUnavailable."""
        snapshot = await self._listing.read()
        if snapshot is self._snapshot:
            return
        self._snapshot = snapshot
        listed = sorted(snapshot.upstreams, key=lambda upstream: upstream.name)
        self._listed = {upstream.name: upstream for upstream in listed}
        self._avoided = {n: at for n, at in self._avoided.items() if n in self._listed}
        self._loads.versions.forget(set(self._listed))
        self._probed = {n: state for n, state in self._probed.items() if n in self._listed}

    def _judge(self, listed: Upstream) -> UpstreamState:
        if listed.state is not UpstreamState.LIVE:
            return listed.state
        probed = self._probed.get(listed.name)
        if probed is not None:
            return probed
        load = self._loads.find(listed.name)
        return listed.state if load is None else load.state
