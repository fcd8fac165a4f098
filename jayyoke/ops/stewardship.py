"""Choice of the member that is the steward of an engine."""

from __future__ import annotations

from typing import Protocol

from jayyoke.core.config import ServiceSpec
from jayyoke.core.member import Member
from jayyoke.core.peering import Peers
from jayyoke.core.upstream import Upstream
from jayyoke.ops.rendezvous import choose


class Directory(Protocol):
    """Finds upstreams and services; implemented by Health and by test doubles."""

    def candidates(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of a service that may receive new work."""
        ...

    def find(self, name: str) -> Upstream | None:
        """Return an upstream by name."""
        ...

    def avoid(self, name: str) -> None:
        """Exclude an upstream from the candidates of this instance for a short time."""
        ...

    def find_service(self, name: str) -> ServiceSpec | None:
        """Return the declaration of a service."""
        ...


class Stewardship:
    """Maps each engine to the member that is its steward."""

    def __init__(self, peers: Peers, directory: Directory):
        self._peers = peers
        self._directory = directory
        self._members: tuple[Member, ...] = ()
        self._group_domains: frozenset[str] = frozenset()
        self._stewards: dict[str, str] = {}

    def find_steward(self, engine: str) -> str:
        """Return the name of an engine's steward.

        For an engine of another group it is a linked instance there, which forwards messages.
        """
        members = self._peers.members()
        if members != self._members:
            self._members = members
            self._group_domains = frozenset(member.domain for member in members)
            self._stewards.clear()
        steward = self._stewards.get(engine)
        if steward is None:
            linked_instance = self._find_linked_instance(engine)
            if linked_instance:
                return linked_instance
            steward = choose(engine, (member.name for member in members)) or self._peers.me.name
            self._stewards[engine] = steward
        return steward

    def _find_linked_instance(self, engine: str) -> str:
        upstream = self._directory.find(engine)
        if upstream is None or upstream.domain in self._group_domains:
            return ""
        connected = self._peers.connected_members(upstream.domain)
        return choose(engine, (member.name for member in connected)) or ""
