"""Settings of an entry instance, from the file that the platform writes for each process."""

from __future__ import annotations

import enum
import math
from dataclasses import dataclass, field

from jayyoke.core.machine import DEFAULT_MEMORY_BYTES


@dataclass(frozen=True, slots=True)
class Bounds:
    """Holds the bounds that the users set for a deployment; times are in seconds."""

    stop_grace_s: float = 8.0
    converge_s: float = 2.0
    retry_ratio: float = 0.2
    retry_window_s: float = 10.0
    retry_extra: float = 50.0
    canary_share: float = 0.1
    canary_extra: float = 50.0
    warm_up_excess: float = 1.5
    warm_up_extra: float = 5.0
    load_factor: float = 2.0
    fencing: bool = False
    lease_s: float = 3.0
    thaw_s: float = 0.3
    report_window_s: float = 5.0
    usage_tolerance: float = 0.05
    usage_delay_s: float = 10.0


class HomeScope(enum.Enum):
    """Among which engines a session has its home."""

    # All engines of the service; other engines follow in any order.
    ALL = "all"
    # One domain for each session, whose engines come first.
    SESSION = "session"
    # The domain of the instance that has the request.
    OWN = "own"


@dataclass(frozen=True, slots=True)
class ZoneSettings:
    """Holds which requests prefer a failure domain; by default none do.

    `short_homes` is for prompts with few shared tokens, which cost little to compute in each
    domain. `plain` makes requests to plain services prefer the instance's domain. Cached prompts of
    more than `fetch_max_bytes` are not fetched across domains; 0 means never. `crossing_cost_s` is
    the wait that a request to a plain service accepts rather than cross domains, beyond the round
    trip, which the upstreams' latencies include.
    """

    fetch_max_bytes: float = math.inf
    short_homes: HomeScope = HomeScope.ALL
    long_homes: HomeScope = HomeScope.ALL
    plain: bool = False
    crossing_cost_s: float = 0.02


@dataclass(frozen=True, slots=True)
class AdmissionSettings:
    """Holds which decisions of `jayyoke/admission` are in force; by default none are.

    `enabled` refuses calls by rank, team and deadline while room is scarce.
    `send_priority` sends each request's rank to engines, which admit the more urgent ones first.
    """

    enabled: bool = False
    send_priority: bool = False


@dataclass(frozen=True, slots=True)
class HedgeSettings:
    """Holds which share of a route's requests may be hedged; by default none.

    A request is hedged after the `percentile` of the route's recent times to the first answer,
    once `min_samples` of them are known.
    """

    share: float = 0.0
    percentile: float = 95.0
    min_samples: int = 100


@dataclass(frozen=True, slots=True)
class StoreProfile:
    """Holds the address of the platform's store."""

    address: str


@dataclass(frozen=True, slots=True)
class DutyService:
    """Holds the address of the service that takes usage reports and scale orders.

    All instances together may make `calls_per_s` calls a second. `metering` and `scaling` are the
    duties that the deployment wants.
    """

    address: str
    calls_per_s: float = 50.0
    metering: bool = False
    scaling: bool = False


@dataclass(frozen=True, slots=True)
class EntrySettings:
    """Holds the settings that an instance has before it has reached the store."""

    instance: str
    domain: str
    region: str
    caller_address: str
    ready_address: str
    peer_address: str
    store: StoreProfile
    regions: dict[str, str] = field(default_factory=dict)
    seeds: tuple[str, ...] = ()
    first_start: bool = False
    bounds: Bounds = Bounds()
    link_bytes_per_s: float = 125e6
    memory_bytes: int = DEFAULT_MEMORY_BYTES
    duty_service: DutyService | None = None
    zones: ZoneSettings = ZoneSettings()
    admission: AdmissionSettings = AdmissionSettings()
    hedge: HedgeSettings = HedgeSettings()
