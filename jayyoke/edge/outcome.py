"""Outcomes of one send to an upstream."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Delivered:
    """Says that the caller has the complete answer."""

    status: int


@dataclass(frozen=True, slots=True)
class NotRun:
    """Says that the upstream certainly did not run the request and never will.

    `arrived` is set if the upstream received it, `misdirected` if the address now belongs to
    another upstream, `silent` if no connection was accepted in time.
    """

    reason: str
    arrived: bool
    misdirected: bool = False
    silent: bool = False


@dataclass(frozen=True, slots=True)
class MayHaveRun:
    """Says that no complete answer came although the request was sent.

    `silent` is set if nothing came from the upstream, which is then suspended; `path_lost` if not
    even its host acknowledged anything.
    """

    reason: str
    silent: bool
    path_lost: bool = False


@dataclass(frozen=True, slots=True)
class Failed:
    """Holds an upstream's failure; it may be passed on, or the request repeated elsewhere."""

    status: int
    phrase: str
    headers: tuple[tuple[str, str], ...]
    body: bytes


Outcome = Delivered | NotRun | MayHaveRun | Failed

# The caller left, or another upstream's answer is used.
CANCELLED = NotRun("cancelled", arrived=False)
