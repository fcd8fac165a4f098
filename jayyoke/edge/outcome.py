"""What became of one send to an upstream."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Delivered:
    """Says that the caller has the whole answer."""

    status: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """Says that the upstream certainly did not run the request and never will.

    `arrived` tells whether the upstream has seen it; `misdirected` that the address belongs to
    another upstream by now; `silent` that no connection was accepted in time.
    """

    reason: str
    arrived: bool
    misdirected: bool = False
    silent: bool = False


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """Says that no whole answer came although the request was sent.

    `silent` tells that nothing was heard of the upstream, which then is in doubt, and `path_lost`
    that not even its host acknowledged anything.
    """

    reason: str
    silent: bool
    path_lost: bool = False


@dataclass(frozen=True, slots=True)
class Failed:
    """Holds an upstream's own failure, which may be delivered or repeated elsewhere."""

    status: int
    phrase: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


Outcome = Delivered | NotRun | MayHaveRun | Failed
