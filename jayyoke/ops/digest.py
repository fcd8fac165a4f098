"""Digests: the heartbeat message, filled and read by the components of an instance."""

from __future__ import annotations

from collections.abc import Callable

from jayyoke.core.member import Member
from jayyoke.core.peering import Peers
from jayyoke.wire.gen.ttypes import Digest

FillFields = Callable[[Digest], None]
Handler = Callable[[Member, Digest], None]
_SEQUENCE_LIMIT = 1 << 31


def strip_loads(digest: Digest) -> Digest:
    """Return a digest without loads, for instances outside the placement group.

    Stewards are chosen within a group, so that only its members need loads. With 14 domains, two
    thirds of all receivers are outside.
    """
    return Digest(
        control_version=digest.control_version,
        sequence=digest.sequence,
        leaving=digest.leaving,
        confirmed_age_ms=digest.confirmed_age_ms,
        halts=digest.halts,
        drains=digest.drains,
        capacities=digest.capacities,
    )


class Digests:
    """Builds this instance's digests and passes received ones to every registered handler."""

    def __init__(self, peers: Peers):
        self.leaving = False
        self._peers = peers
        self._fills: list[FillFields] = []
        self._handlers: list[Handler] = []
        self._sequence = 0
        peers.serve(Digest, self._receive)

    def add_fields(self, fill: FillFields) -> None:
        """Let a function set its fields of each heartbeat digest; unset fields cost no bytes."""
        self._fills.append(fill)

    def add_handler(self, handler: Handler) -> None:
        """Pass every received digest to a function; fields may be None."""
        self._handlers.append(handler)

    def build(self) -> Digest:
        """Return the next heartbeat digest."""
        self._sequence = (self._sequence + 1) % _SEQUENCE_LIMIT
        digest = Digest(sequence=self._sequence)
        if self.leaving:
            digest.leaving = True
        for fill in self._fills:
            fill(digest)
        return digest

    def broadcast_heartbeat(self) -> None:
        """Broadcast the next heartbeat digest."""
        self._peers.broadcast(self.build())

    def send_fields(self, fill: FillFields) -> None:
        """Send the group a digest at once with only the fields that one function sets."""
        digest = Digest()
        fill(digest)
        for member in self._peers.members():
            if member.name != self._peers.me.name:
                self._peers.tell(member.name, digest)

    async def _receive(self, sender: Member, digest: Digest) -> Digest:
        for handler in self._handlers:
            handler(sender, digest)
        return Digest()
