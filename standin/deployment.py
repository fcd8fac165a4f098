"""The two example deployments: domains, services and worker counts."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class Deployment:
    """Describes a deployment; the counts are the numbers of workers of each service."""

    name: str
    region: str
    domains: tuple[str, ...]
    engine_service: str
    engine_count: int
    plain_service: str
    plain_upstream_count: int
    instances_per_domain: int = 2
    plain_upstreams_deduplicate: bool = False
    engine_arguments: tuple[str, ...] = ()


DEPLOYMENTS = {
    "ballenticket": Deployment(
        name="ballenticket",
        region="ch-central",
        domains=("luzern-a", "luzern-b", "zug-c"),
        engine_service="jayyoke-pool",
        engine_count=5,
        plain_service="ticket-desk",
        plain_upstream_count=3,
    ),
    "tapir-ridge": Deployment(
        name="tapir-ridge",
        region="cr-central",
        domains=("cr-central-a", "cr-central-b", "cr-central-c"),
        engine_service="guide-assist",
        engine_count=6,
        plain_service="booking-desk",
        plain_upstream_count=3,
        plain_upstreams_deduplicate=True,
        engine_arguments=("--ignores-fencing",),
    ),
}
