"""Sums up the loads of a domain's upstreams by service, and tells them to the holder of the duties.

Designed for 14 domains whose instances mostly use the upstreams of their own domain: only the
followers of a domain hear of all its upstreams several times a second.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from thrift.TSerialization import serialize

from jayyoke.core.error import PeerProtocolError
from jayyoke.core.upstream import Upstream, UpstreamState
from jayyoke.duties.scaling import DomainLoad
from jayyoke.edge.candidates import CandidateFinder
from jayyoke.edge.countmessage import read_message
from jayyoke.edge.load import Loads
from jayyoke.edge.view import FleetView
from jayyoke.wire.gen import ttypes

# Instances hear of an engine's load several times a second; an older one says nothing of now.
FRESH_S = 3.0
MAX_SERVICES = 1024
_HUNDREDTHS = 100


class LoadSummary:
    """Reads the view and the estimated loads of this instance."""

    def __init__(self, candidates: CandidateFinder, view: FleetView, now_s: Callable[[], float]):
        self._candidates = candidates
        self._view = view
        self._now_s = now_s

    def list_domains(self) -> set[str]:
        """Return the domains of live upstreams of services with limits."""
        return {found.domain for name in self._list_services() for found in self._list_live(name)}

    def summarize(self) -> dict[str, dict[str, DomainLoad]]:
        """Return the loads of the services with limits, by domain and service."""
        now_s = self._now_s()
        disturbed = self._is_disturbed()
        found: dict[str, dict[str, DomainLoad]] = {}
        for name in self._list_services():
            loads = self._candidates.estimate_loads(name, now_s)
            by_domain: dict[str, list[Upstream]] = {}
            for upstream in self._list_live(name):
                by_domain.setdefault(upstream.domain, []).append(upstream)
            for domain, upstreams in by_domain.items():
                load = self._add_up(upstreams, loads, disturbed, now_s)
                found.setdefault(domain, {})[name] = load
        return found

    def answer(self, message: bytes) -> bytes:
        """Return the loads of the domain that a query names; raise PeerProtocolError."""
        query = read_message(ttypes.LoadQuery(), message, PeerProtocolError)
        if not query.domain:
            raise PeerProtocolError("the query names no domain")
        return serialize(encode_loads(self.summarize().get(query.domain, {})))

    def _list_services(self) -> list[str]:
        config = self._view.config
        if config is None:
            return []
        limited = [w.name for w in config.services.values() if w.scale_limits is not None]
        return limited[:MAX_SERVICES]

    def _list_live(self, service: str) -> list[Upstream]:
        upstreams = self._view.by_service.get(service, ())
        return [found for found in upstreams if found.state is UpstreamState.LIVE]

    def _is_disturbed(self) -> bool:
        if self._view.evacuated:
            return True
        return any(self._candidates.is_suspected(domain) for domain in self.list_domains())

    def _add_up(
        self, upstreams: Iterable[Upstream], loads: Loads, disturbed: bool, now_s: float
    ) -> DomainLoad:
        live = slots = fresh = 0
        requests = 0.0
        for found in upstreams:
            live += 1
            slots += found.slots
            requests += loads.find(found.incarnation)
            age_s = self._candidates.find_load_age_s(found, now_s)
            fresh += age_s is not None and age_s < FRESH_S
        return DomainLoad(live, slots, requests, fresh / live, disturbed)


def encode_loads(loads: dict[str, DomainLoad]) -> ttypes.DomainLoads:
    """Return a message with the loads of services."""
    values = list(loads.values())
    return ttypes.DomainLoads(
        services=list(loads),
        live=[load.live for load in values],
        slots=[load.slots for load in values],
        requests=[round(load.requests * _HUNDREDTHS) for load in values],
        fresh=[round(load.fresh_part * load.live) for load in values],
        disturbed=any(load.disturbed for load in values),
    )


def decode_loads(message: ttypes.DomainLoads) -> dict[str, DomainLoad]:
    """Return the loads of services; those that cannot be are left out."""
    columns = (message.services, message.live, message.slots, message.requests, message.fresh)
    found = {}
    for name, live, slots, requests, fresh in zip(*(c or () for c in columns), strict=False):
        if live > 0 and slots >= 0 and requests >= 0 and 0 <= fresh <= live:
            part = fresh / live
            disturbed = bool(message.disturbed)
            found[name] = DomainLoad(live, slots, requests / _HUNDREDTHS, part, disturbed)
    return found
