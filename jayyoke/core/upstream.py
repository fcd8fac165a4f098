"""Records of upstreams: engines and instances of plain services."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class UpstreamState(enum.Enum):
    """Whether an upstream may receive new work; only LIVE ones may."""

    LIVE = "live"
    LEAVING = "leaving"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Upstream:
    """Identifies an upstream and holds its last known state.

    `warm_up_left_s` is the rest of its warm-up time when its entry was written. `slots` is the
    number of requests that it runs at once, or 0 if the entry does not say. `started_ms` is the
    Unix time of its start, or 0 if it is not known.
    """

    name: str
    service: str
    domain: str
    address: str
    state: UpstreamState = UpstreamState.LIVE
    incarnation: str = ""
    version: str = ""
    slots: int = 0
    warm_up_left_s: float = 0.0
    started_ms: int = 0

    @property
    def url(self) -> str:
        """Return the base URL of the upstream."""
        return f"http://{self.address}"
