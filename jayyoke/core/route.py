"""Records of the routing configuration that the operator keeps in the platform's store."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field


class RouteKind(enum.Enum):
    """Whether a route's requests may be repeated, may run only once, or get a stream of events."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """Assigns a share of a route's requests to a service; weights are relative."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """Maps requests of a host and path prefix to services, with their targets and options.

    `rank` 0 is the most urgent. `max_event_gap_s` is the target for the longest time between two
    events of a stream. Empty `regions` mean that any region may serve the route.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_s: float
    objective_s: float
    max_event_gap_s: float = 0.3
    rank: int = 0
    attempts: int = 1
    public: bool = False
    prefix_affinity: bool = False
    resumable: bool = False
    regions: frozenset[str] = frozenset()

    @property
    def repeatable(self) -> bool:
        """Tell whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAM and self.resumable)


@dataclass(frozen=True, slots=True)
class ScaleLimits:
    """Limits the number of upstreams of a service in each domain; new ones serve after a time."""

    min_upstreams: int
    max_upstreams: int
    startup_s: float


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """Describes the upstreams of a service.

    An upstream that warms up takes `warm_up_s` seconds and can serve only `warm_up_rate` requests/s
    meanwhile. `slots` is the number of requests that an upstream runs at once, or 0 if the
    service does not declare it.
    """

    name: str
    health_path: str = ""
    max_connections: int = 0
    warm_up_s: float = 0.0
    warm_up_rate: float = 0.0
    slots: int = 0
    cache_tokens: int = 0
    # Memory per cached token in bytes; 0 if engines cannot fetch cached prompts from each other.
    token_bytes: float = 0.0
    scale_limits: ScaleLimits | None = None

    @property
    def engine(self) -> bool:
        """Tell whether the upstreams are inference engines."""
        return self.cache_tokens > 0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits the sizes of callers' requests, the time to send the head and the idle time."""

    header_bytes: int = 16384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class TeamAccess:
    """Holds a team's bearer keys; its rank, unless it is None, replaces the route's."""

    name: str
    keys: frozenset[str]
    rank: int | None = None


@dataclass(frozen=True, slots=True)
class RoutingConfig:
    """Holds one version of the operator's configuration; version numbers only grow."""

    version: int
    routes: tuple[Route, ...] = ()
    services: dict[str, ServiceProfile] = field(default_factory=dict)
    limits: CallerLimits = CallerLimits()
    # None: the configuration defines no teams, so requests need no key.
    teams: tuple[TeamAccess, ...] | None = None


@dataclass(frozen=True, slots=True)
class MoveOrder:
    """Orders the move of a service to the upstreams of another version within `duration_s`.

    `revision` is that of the order's row; a repeated order for the same version has a new one.
    """

    service: str
    version: str
    duration_s: float
    revision: int


class MoveState(enum.Enum):
    """Progress of a service's move to another version."""

    ACTIVE = "active"
    DONE = "done"
    ROLLED_BACK = "reverted"


@dataclass(frozen=True, slots=True)
class MoveStatus:
    """Reports the progress of an order; `started_ms` is a time of the store's steady clock.

    `order` is the revision of the order's row. While the move is active, `share` is the new
    version's share of the requests. `set_aside` are versions of earlier orders that were not found
    good; they get no requests, although their upstreams may still be there.
    """

    service: str
    version: str
    state: MoveState
    order: int
    started_ms: int
    reason: str = ""
    share: float = 0.0
    set_aside: tuple[str, ...] = ()
