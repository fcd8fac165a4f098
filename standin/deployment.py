"""The two example deployments: domains, services and worker counts."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Deployment:
    """Describes a deployment; `engines` and `plains` are the numbers of workers of each service."""

    name: str
    region: str
    domains: tuple[str, ...]
    engine_service: str
    engines: int
    plain_service: str
    plains: int
    instances_per_domain: int = 2
    plains_deduplicate: bool = False
    engine_arguments: tuple[str, ...] = ()


DEPLOYMENTS = {
    "ballenticket": Deployment(
        name="ballenticket",
        region="ch-central",
        domains=("luzern-a", "luzern-b", "zug-c"),
        engine_service="jayyoke-pool",
        engines=5,
        plain_service="ticket-desk",
        plains=3,
    ),
    "tapir-ridge": Deployment(
        name="tapir-ridge",
        region="cr-central",
        domains=("cr-central-a", "cr-central-b", "cr-central-c"),
        engine_service="guide-assist",
        engines=6,
        plain_service="booking-desk",
        plains=3,
        plains_deduplicate=True,
        engine_arguments=("--ignores-fencing",),
    ),
}
