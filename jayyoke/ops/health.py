"""State of every upstream, as far as this instance knows it."""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable
from dataclasses import replace

from absl import logging

from jayyoke.core.clock import Clock
from jayyoke.core.config import ServiceSpec
from jayyoke.core.error import PeerUnavailable, StoreUnavailable
from jayyoke.core.member import Member
from jayyoke.core.peering import Peers
from jayyoke.core.upstream import Upstream, UpstreamState
from jayyoke.ops.loads import Loads
from jayyoke.ops.notices import UpstreamNotices
from jayyoke.ops.requestlimit import RequestLimits
from jayyoke.ops.upstreamlist import format_upstreams, hash_upstreams, parse_upstreams
from jayyoke.ops.versions import EngineVersions
from jayyoke.platform.listing import Listing, Snapshot
from jayyoke.wire.gen.ttypes import ListUpstreams, Upstreams

POLL_INTERVAL_S = 1.0
MIN_PAUSE_S = 0.1
ASK_TIMEOUT_S = 0.5
PEERS_ASKED = 2
AVOID_S = 1.0  # By then the steward's digest has reported the state to every peer.
MAX_SERVICES = 64


class Health:
    """Combines the list, the digests and this instance's own probes and failures.

    While the list cannot be read, this instance takes over newer lists of its peers.
    """

    def __init__(
        self,
        listing: Listing,
        clock: Clock,
        loads: Loads,
        find_service: Callable[[str], ServiceSpec | None],
        peers: Peers | None = None,
        request_limits: RequestLimits | None = None,
    ):
        self.notices = UpstreamNotices(clock.now_s)
        self._request_limits = request_limits
        self._listing = listing
        self._clock = clock
        self._loads = loads
        self._find_service = find_service
        self._listed: dict[str, Upstream] = {}
        self._probed_states: dict[str, UpstreamState] = {}
        self._avoided_until_s: dict[str, float] = {}
        self._candidate_cache: dict[str, tuple[int, float, tuple[Upstream, ...]]] = {}
        self._peers = peers
        self._list_read_s: float | None = None
        self._read_failed = False
        self._list_source = ""
        self._snapshot: Snapshot | None = None
        self._ask_round = 0
        if peers is not None:
            peers.serve(ListUpstreams, self._serve_list)

    @property
    def has_list(self) -> bool:
        """Tell whether this instance has a list, from the platform or from a peer."""
        return self._list_read_s is not None

    def candidates(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that may receive new work, in order of their names."""
        now_s = self._clock.now_s()
        known = self._candidate_cache.get(service)
        if known is not None and known[0] == self._loads.state_changes and now_s < known[1]:
            return known[2]
        found = []
        until_s = math.inf
        for name, listed in self._listed.items():
            if listed.service != service:
                continue
            avoided_until_s = self._avoided_until_s.get(name, now_s)
            if now_s < avoided_until_s:
                until_s = min(until_s, avoided_until_s)
                continue
            if self._determine_state(listed) is UpstreamState.LIVE:
                found.append(listed)
        if len(self._candidate_cache) >= MAX_SERVICES:
            self._candidate_cache.clear()
        self._candidate_cache[service] = (self._loads.state_changes, until_s, tuple(found))
        return self._candidate_cache[service][2]

    def find(self, name: str) -> Upstream | None:
        """Return an upstream by name, whatever its state."""
        listed = self._listed.get(name)
        if listed is None:
            return None
        state = self._determine_state(listed)
        return listed if state is listed.state else replace(listed, state=state)

    def find_service(self, name: str) -> ServiceSpec | None:
        """Return the declaration of a service."""
        return self._find_service(name)

    @property
    def versions(self) -> EngineVersions:
        """Return the known versions of engines."""
        return self._loads.versions

    def list_upstreams(self, service: str) -> list[Upstream]:
        """Return the listed upstreams of a service in every state but leaving."""
        found = []
        for listed in self._listed.values():
            if listed.service == service and listed.state is not UpstreamState.LEAVING:
                found.append(listed)
        return found

    def names(self) -> tuple[str, ...]:
        """Return the names of all listed upstreams."""
        return tuple(self._listed)

    def record_probe(self, name: str, state: UpstreamState | None) -> None:
        """Record the state that a probe of this steward found.

        None removes it, since another instance is now the steward.
        """
        if self._probed_states.get(name) is not state:
            self._candidate_cache.clear()
        if state is None:
            self._probed_states.pop(name, None)
            return
        self._probed_states[name] = state

    def avoid(self, name: str) -> None:
        """Exclude an upstream from the candidates until its steward's digest reports its state."""
        self._avoided_until_s[name] = self._clock.now_s() + AVOID_S
        self._candidate_cache.clear()

    async def run(self) -> None:
        """Poll the list until cancelled."""
        while True:
            started_s = self._clock.now_s()
            await self.step()
            # A read that times out must not delay the next request to the peers.
            spent_s = self._clock.now_s() - started_s
            await asyncio.sleep(max(MIN_PAUSE_S, POLL_INTERVAL_S - spent_s))

    async def step(self) -> None:
        """Read the list; ask peers for theirs if the last read failed."""
        asks = [self.ask_peers()] if self._read_failed else []
        try:
            await asyncio.gather(self.refresh(), *asks)
            self._read_failed = False
        except StoreUnavailable as error:
            logging.warning("instance list cannot be read: %s", error)
            if not self._read_failed:
                self._read_failed = True
                await self.ask_peers()

    async def ask_peers(self) -> None:
        """Ask some peers for their lists; take one that was read later than this instance's."""
        if self._peers is None:
            return
        me = self._peers.me.name
        names = [member.name for member in self._peers.members() if member.name != me]
        if not names:
            return
        # Successive rounds reach every peer. The peer whose list is in use is asked in each round.
        self._ask_round += 1
        chosen = {
            names[(self._ask_round * PEERS_ASKED + n) % len(names)] for n in range(PEERS_ASKED)
        }
        if self._list_source in names:
            chosen.add(self._list_source)
        await asyncio.gather(*(self._ask_peer(name) for name in sorted(chosen)))

    async def _ask_peer(self, name: str) -> None:
        known = hash_upstreams(self._listed.values()) if self.has_list else 0
        asked_s = self._clock.now_s()
        try:
            answer = await self._peers.ask(name, ListUpstreams(known), ASK_TIMEOUT_S)
        except PeerUnavailable as error:
            logging.debug("instance list not available from %s: %s", name, error)
            return
        if not isinstance(answer, Upstreams) or answer.age_ms is None or answer.age_ms < 0:
            return
        read_s = asked_s - answer.age_ms / 1000
        if self._list_read_s is not None and read_s <= self._list_read_s:
            return
        if not answer.unchanged:
            upstreams = parse_upstreams(answer)
            if upstreams is None:
                logging.warning("instance list of %s is out of bounds", name)
                return
            self._snapshot = None
            self._replace(upstreams)
        self._list_read_s = read_s
        self._list_source = name

    async def _serve_list(self, sender: Member, request: ListUpstreams) -> Upstreams:
        if self._list_read_s is None:
            return Upstreams(-1)
        age_ms = int((self._clock.now_s() - self._list_read_s) * 1000)
        listed = self._listed.values()
        if request.known and request.known == hash_upstreams(listed):
            return Upstreams(age_ms, True)
        return Upstreams(age_ms, False, format_upstreams(listed))

    async def refresh(self) -> None:
        """Read the list once; raise StoreUnavailable."""
        asked_s = self._clock.now_s()
        snapshot = await self._listing.read()
        self._list_read_s = max(asked_s, self._list_read_s or asked_s)
        if snapshot is self._snapshot:
            return
        self._snapshot = snapshot
        self._replace(sorted(snapshot.upstreams, key=lambda upstream: upstream.name))

    def _replace(self, listed: list[Upstream]) -> None:
        self._listed = {upstream.name: upstream for upstream in listed}
        self._avoided_until_s = {
            n: at for n, at in self._avoided_until_s.items() if n in self._listed
        }
        self._loads.versions.retain(set(self._listed))
        self._probed_states = {
            n: state for n, state in self._probed_states.items() if n in self._listed
        }
        self._candidate_cache.clear()
        live = {found.name for found in listed if found.state is UpstreamState.LIVE}
        self.notices.update_listed(live)
        if self._request_limits is not None:
            self._request_limits.retain(self._listed)

    def _determine_state(self, listed: Upstream) -> UpstreamState:
        if listed.state is not UpstreamState.LIVE:
            return listed.state
        probed = self._probed_states.get(listed.name)
        if probed is not None:
            return probed
        load = self._loads.find(listed.name)
        return listed.state if load is None else load.state
