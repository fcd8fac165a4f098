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
    """Identifies an upstream and what was last seen of it."""

    name: str
    service: str
    domain: str
    address: str
    state: UpstreamState = UpstreamState.LIVE
    incarnation: str = ""
    version: str = ""

    @property
    def url(self) -> str:
        """Return the base URL of the upstream."""
        return f"http://{self.address}"
