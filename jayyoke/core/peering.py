"""Interface between the decisions and whatever carries messages to other instances."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any, Protocol

from reactivex import Observable

from jayyoke.core.member import Member, MemberChange

Message = Any  # A struct generated from idl/peer.thrift.
Handler = Callable[[Member, Message], Awaitable[Message | None]]


class Peers(Protocol):
    """Sends messages to live instances and serves theirs."""

    @property
    def me(self) -> Member:
        """Return this instance."""
        ...

    @property
    def changes(self) -> Observable[MemberChange]:
        """Return the stream of changes of the live view."""
        ...

    def members(self) -> tuple[Member, ...]:
        """Return the live members of the placement group by name, self included."""
        ...

    def reachable_domains(self) -> frozenset[str]:
        """Return the domains of which at least one instance is live, the own one included."""
        ...

    def linked(self, domain: str) -> tuple[Member, ...]:
        """Return the instances of a domain that messages reach."""
        ...

    async def ask(self, instance: str, message: Message, timeout_s: float) -> Message:
        """Return a peer's answer; raise PeerUnavailable after `timeout_s` seconds at the latest."""
        ...

    def tell(self, instance: str, message: Message) -> None:
        """Send a message without waiting for delivery or an answer."""
        ...

    def broadcast(self, message: Message) -> None:
        """Tell every live peer of the placement group."""
        ...

    def serve(self, message_type: type, handler: Handler) -> None:
        """Let a handler answer every message of one type, also those of this instance itself."""
        ...
