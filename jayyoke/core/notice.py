"""What an upstream says of itself in an answer."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Notice:
    """Says whether an upstream is leaving, and for how many seconds it wants no requests.

    `pause_s` is None if it does not ask for a pause. `limit_per_s` is how many requests a second it
    takes from all instances together, or None if it names no limit.
    """

    leaving: bool = False
    pause_s: float | None = None
    limit_per_s: float | None = None


NO_NOTICE = Notice()
