"""An admitted request and the interface to its caller."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from jayyoke.core.route import Route
from jayyoke.platform.message import RequestHead


@dataclass(frozen=True, slots=True)
class Call:
    """Holds a complete, admitted request; times are seconds since boot.

    `deadline_s` is the earlier of the caller's and the route's deadline. `body` is None if the
    caller sent none.
    """

    head: RequestHead
    method: str
    target: bytes
    raw_headers: tuple[tuple[bytes, bytes], ...]
    body: bytes | None
    route: Route
    team: str | None
    rank: int
    arrived_s: float
    deadline_s: float
    config_version: int


class CallerGone(Exception):
    """Reports that the caller's connection is closed."""


class Caller(Protocol):
    """Receives the answer to one call."""

    @property
    def started(self) -> bool:
        """Tell whether the head of the answer was sent."""
        ...

    def note_sent(self) -> None:
        """Record that the call was sent to an upstream, and so may have run."""
        ...

    async def start(
        self, status: int, phrase: str, headers: tuple[tuple[str, str], ...], length: int | None
    ) -> None:
        """Send the head; raise CallerGone."""
        ...

    async def write(self, data: bytes) -> None:
        """Send a part of the body; raise CallerGone."""
        ...

    async def finish(self) -> None:
        """End a complete answer; raise CallerGone."""
        ...

    def abort(self) -> None:
        """Close the connection, so that an unfinished answer does not look complete."""
        ...
