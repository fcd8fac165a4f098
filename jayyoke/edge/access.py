"""Admits or rejects a caller's request by its route and its team's key."""

from __future__ import annotations

from dataclasses import dataclass

from jayyoke.core.entrysettings import Bounds
from jayyoke.core.route import Route
from jayyoke.edge.view import FleetView
from jayyoke.platform.message import RequestHead

UNREADY_RETRY_S = 0.5


@dataclass(frozen=True, slots=True)
class Admitted:
    """Holds how a request is served.

    `team` is None if the configuration defines no teams, and empty for public access.
    """

    route: Route
    team: str | None
    rank: int
    config_version: int


@dataclass(frozen=True, slots=True)
class Rejected:
    """Holds why a request is not served; it has not run."""

    status: int
    reason: str
    retry_after_s: float | None = None


def admit(
    view: FleetView, bounds: Bounds, host: str, path: str, head: RequestHead
) -> Admitted | Rejected:
    """Return the route and team of a request, or why it is rejected.

    While the configuration may be outdated, an unknown route or key gets status 503 instead of 404
    or 401.
    """
    config = view.config
    if config is None:
        return Rejected(503, "no-configuration", UNREADY_RETRY_S)
    # An older configuration may lack routes and keys that are in force by now.
    fresh = view.config_age_s < bounds.converge_s
    route = view.routes.find(_strip_port(host).lower(), path)
    if route is None:
        if fresh:
            return Rejected(404, "no-route")
        return Rejected(503, "no-route-known", UNREADY_RETRY_S)
    if config.teams is None:
        return Admitted(route, None, route.rank, config.version)
    team = view.teams.get(head.team_key)
    if team is not None:
        rank = route.rank if team.rank is None else team.rank
        return Admitted(route, team.name, rank, config.version)
    if route.public:
        return Admitted(route, "", route.rank, config.version)
    if fresh:
        return Rejected(401, "unknown-key")
    return Rejected(503, "key-not-known", UNREADY_RETRY_S)


def _strip_port(host: str) -> str:
    name, colon, port = host.rpartition(":")
    return name if colon and port.isdigit() else host
