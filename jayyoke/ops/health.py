"""What this instance believes of every upstream."""

from __future__ import annotations

import asyncio

from absl import logging

from jayyoke.core.error import StoreUnavailable
from jayyoke.core.upstream import Upstream, UpstreamState
from jayyoke.platform.listing import Listing

POLL_INTERVAL_S = 1.0


class Health:
    """Keeps the upstreams of the list; the last list stays while the list is unavailable."""

    def __init__(self, listing: Listing):
        self._listing = listing
        self._upstreams: dict[str, Upstream] = {}

    def candidates(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that may receive new work, by name."""
        found = []
        for name in sorted(self._upstreams):
            upstream = self._upstreams[name]
            if upstream.service != service:
                continue
            if upstream.state is not UpstreamState.LIVE:
                continue
            found.append(upstream)
        return tuple(found)

    def find(self, name: str) -> Upstream | None:
        """Return an upstream by name, whatever its state."""
        return self._upstreams.get(name)

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
        self._upstreams = {upstream.name: upstream for upstream in snapshot.upstreams}
