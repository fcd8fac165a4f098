"""Interface for messages between instances, independent of the transport."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from reactivex import Observable

from jayyoke.core.member import Member, MemberChange

Message = Any  # A struct generated from idl/peer.thrift.
Handler = Callable[[Member, Message], Awaitable[Message | None]]


class Peers(Protocol):
    """Sends messages to live instances and handles those that they send."""

    @property
    def me(self) -> Member:
        """Return this instance."""
        ...

    @property
    def changes(self) -> Observable[MemberChange]:
        """Return the stream of membership changes."""
        ...

    def members(self) -> tuple[Member, ...]:
        """Return the live members of the placement group, sorted by name, this one included."""
        ...

    def reachable_domains(self) -> frozenset[str]:
        """Return the domains with at least one live instance, this instance's own included."""
        ...

    def connected_members(self, domain: str) -> tuple[Member, ...]:
        """Return the other instances of a domain that messages can reach."""
        ...

    async def ask(self, instance: str, message: Message, timeout_s: float) -> Message:
        """Return a peer's answer; raise PeerUnavailable after at most `timeout_s` seconds."""
        ...

    def tell(self, instance: str, message: Message) -> None:
        """Send a message without waiting for delivery or an answer."""
        ...

    def broadcast(self, message: Message) -> None:
        """Send a message to every live peer of the placement group, as `tell` does."""
        ...

    def serve(self, message_type: type, handler: Handler) -> None:
        """Register the handler of all messages of one type, also those that this instance sends."""
        ...
