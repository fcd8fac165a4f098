"""The result of placing a call: an upstream, or why there is none."""

from __future__ import annotations

from dataclasses import dataclass

from jayyoke.core.upstream import Upstream


@dataclass(frozen=True, slots=True)
class Assignment:
    """Holds the upstream assigned to a call.

    `fetch_from` is the address of another engine that has the prompt in its cache, or empty.
    `limited` is set if the call has taken a slot of the upstream's limit.
    """

    upstream: Upstream
    fetch_from: str = ""
    limited: bool = False


@dataclass(frozen=True, slots=True)
class Refused:
    """Holds why no upstream is assigned; the call has not run.

    `spread` is set if `retry_after_s` differs already between the callers refused for this reason,
    `final` if no instance serves the call before that time, whatever time the caller has left.
    """

    reason: str
    retry_after_s: float
    spread: bool = False
    final: bool = False
