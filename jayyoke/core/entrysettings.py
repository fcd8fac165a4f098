"""Settings of an entry instance, from the file that the platform writes for each process."""

from __future__ import annotations

from dataclasses import dataclass, field


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
    duty_service: DutyService | None = None
