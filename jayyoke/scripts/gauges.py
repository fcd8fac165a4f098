"""Gauges of an entry instance that are read from its parts."""

from __future__ import annotations

from jayyoke.edge.placement import Placer
from jayyoke.ops.metrics import Metrics


def add_placement_gauges(metrics: Metrics, placement: Placer) -> None:
    """Expose what the placement decides on domains and on admission."""
    zones, admitter = placement.zones, placement.admitter
    for name, help_text, read in (
        ("requests_kept_in_domain", "Requests placed in the own domain.", lambda: zones.kept),
        ("requests_across_domains", "Requests placed in other domains.", lambda: zones.crossed),
        ("scarce_services", "Services without enough room.", lambda: admitter.scarce),
        ("admitted_part", "Smallest part of a service's work admitted.", lambda: admitter.fraction),
        ("refused_for_room", "Calls refused for lack of room.", lambda: admitter.refused),
        ("returning_callers", "Refused callers yet to return.", lambda: admitter.returning),
    ):
        metrics.add_gauge(f"jayyoke_{name}", help_text, read)
