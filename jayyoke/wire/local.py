"""Peers within one process, for tests and benchmarks."""

from __future__ import annotations

import asyncio

from reactivex import Observable
from reactivex.subject import Subject

from jayyoke.core.error import PeerUnavailable
from jayyoke.core.member import Member, MemberChange, MemberState
from jayyoke.core.peering import Handler, Message


class LocalHub:
    """Connects local peers and simulates partitions between them.

    The placement group consists of all members or, with `by_domain`, of those of one domain.
    """

    def __init__(self, by_domain: bool = False) -> None:
        self.by_domain = by_domain
        self.peers: dict[str, LocalPeers] = {}
        self._partitions: set[frozenset[str]] = set()

    def join(self, member: Member) -> LocalPeers:
        """Add a member and return its Peers interface."""
        peers = LocalPeers(self, member)
        self.peers[member.name] = peers
        self._announce(member, MemberState.LIVE)
        return peers

    def leave(self, name: str) -> None:
        """Remove a member as if its process had died."""
        member = self.peers[name].me
        connected = [peers for other, peers in self.peers.items() if self.connects(name, other)]
        del self.peers[name]
        for peers in connected:
            if peers.me.name != name:
                peers.subject.on_next(MemberChange(member, MemberState.DEAD))

    def partition(self, one: str, other: str) -> None:
        """Partition two members; each sees the other as dead at once."""
        self._partitions.add(frozenset((one, other)))
        for viewer, viewed in ((one, other), (other, one)):
            change = MemberChange(self.peers[viewed].me, MemberState.DEAD)
            self.peers[viewer].subject.on_next(change)

    def heal(self, one: str, other: str) -> None:
        """End a partition of two members."""
        self._partitions.discard(frozenset((one, other)))
        for viewer, viewed in ((one, other), (other, one)):
            change = MemberChange(self.peers[viewed].me, MemberState.LIVE)
            self.peers[viewer].subject.on_next(change)

    def connects(self, one: str, other: str) -> bool:
        """Tell whether messages can pass between two members."""
        return other in self.peers and frozenset((one, other)) not in self._partitions

    def _announce(self, member: Member, state: MemberState) -> None:
        for name, peers in self.peers.items():
            if name != member.name and self.connects(name, member.name):
                peers.subject.on_next(MemberChange(member, state))


class LocalPeers:
    """Implements the Peers interface over a hub."""

    def __init__(self, hub: LocalHub, me: Member):
        self.subject: Subject[MemberChange] = Subject()
        self.handlers: dict[type, Handler] = {}
        self._hub = hub
        self._me = me
        self._tasks: set[asyncio.Task[None]] = set()

    @property
    def me(self) -> Member:
        """Return this member."""
        return self._me

    @property
    def changes(self) -> Observable[MemberChange]:
        """Return the stream of membership changes."""
        return self.subject

    def members(self) -> tuple[Member, ...]:
        """Return the reachable members of the placement group by name, this one included."""
        found = []
        for member in self._list_reachable():
            if member.domain == self._me.domain or not self._hub.by_domain:
                found.append(member)
        return tuple(found)

    def reachable_domains(self) -> frozenset[str]:
        """Return the domains of the reachable members."""
        return frozenset(member.domain for member in self._list_reachable())

    def connected_members(self, domain: str) -> tuple[Member, ...]:
        """Return the other reachable members of a domain."""
        found = []
        for member in self._list_reachable():
            if member.domain == domain and member.name != self._me.name:
                found.append(member)
        return tuple(found)

    async def ask(self, instance: str, message: Message, timeout_s: float) -> Message:
        """Return the answer of a member's handler; raise PeerUnavailable."""
        handler = self._find_handler(instance, message)
        if handler is None:
            raise PeerUnavailable(f"{instance} cannot be reached", sent=False)
        try:
            async with asyncio.timeout(timeout_s):
                return await handler(self._me, message)
        except TimeoutError as error:
            raise PeerUnavailable(f"{instance} did not answer in {timeout_s} s") from error

    def tell(self, instance: str, message: Message) -> None:
        """Run a member's handler in the background."""
        handler = self._find_handler(instance, message)
        if handler is None:
            return
        task = asyncio.ensure_future(handler(self._me, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def broadcast(self, message: Message) -> None:
        """Send a message to every other reachable member of the placement group."""
        for member in self.members():
            if member.name != self._me.name:
                self.tell(member.name, message)

    def serve(self, message_type: type, handler: Handler) -> None:
        """Register the handler of one message type."""
        self.handlers[message_type] = handler

    def _list_reachable(self) -> list[Member]:
        found = []
        for name in sorted(self._hub.peers):
            if name == self._me.name or self._hub.connects(self._me.name, name):
                found.append(self._hub.peers[name].me)
        return found

    def _find_handler(self, instance: str, message: Message) -> Handler | None:
        if instance != self._me.name and not self._hub.connects(self._me.name, instance):
            return None
        peers = self._hub.peers.get(instance)
        return None if peers is None else peers.handlers.get(type(message))
