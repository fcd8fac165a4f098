"""One caller's request on its way through an instance."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from jayyoke.core.route import Route
from jayyoke.platform.message import RequestHead


@dataclass(frozen=True, slots=True)
class Call:
    """Holds a whole request that is admitted; times are seconds since boot.

    `deadline_s` is when the caller or the route gives up, whichever comes first. A body of None
    means that the caller sent none.
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
    """Takes the answer of one call."""

    @property
    def started(self) -> bool:
        """Tell whether the caller has the answer's head."""
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
        """End a whole answer; raise CallerGone."""
        ...

    def cut(self) -> None:
        """Close the connection, so that an unfinished answer does not look whole."""
        ...
