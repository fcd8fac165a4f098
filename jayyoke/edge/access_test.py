"""Tests of admitting and rejecting requests."""

from __future__ import annotations

import json

import pytest

from jayyoke.core.entrysettings import Bounds
from jayyoke.edge.access import Admitted, Rejected, admit
from jayyoke.edge.view import FleetView
from jayyoke.platform.message import decode_request
from jayyoke.platform.table import Row

CONFIG = {
    "version": 1,
    "routes": [
        {"name": "p", "host": "h", "prefix": "/p/", "type": "safe", "backend": "s", "public": True},
        {"name": "r", "host": "h", "prefix": "/r/", "type": "safe", "backend": "s", "prio": 2},
    ],
    "backends": [{"name": "s"}],
    "tenants": [{"name": "yard", "apiKeys": ["good"], "prio": 0}],
}


def build_view(confirmed_s: float = 100.0) -> FleetView:
    view = FleetView(lambda: 100.0)
    row = Row("config", json.dumps(CONFIG).encode(), 1)
    view.merge("op", (row,), (), 1, whole=True, confirmed_s=confirmed_s, source="store")
    return view


def admit_path(view: FleetView, path: str, key: str = ""):
    headers = [(b"Authorization", b"Bearer " + key.encode())] if key else []
    return admit(view, Bounds(), "H:80".lower(), path, decode_request(headers))


class TestAdmit:
    def test_team_and_rank_come_from_the_key(self):
        found = admit_path(build_view(), "/r/x", "good")
        assert isinstance(found, Admitted)
        assert (found.team, found.rank) == ("yard", 0)

    def test_public_route_needs_no_key_and_names_no_team(self):
        found = admit_path(build_view(), "/p/x", "unknown")
        assert isinstance(found, Admitted)
        assert found.team == ""

    @pytest.mark.parametrize(("path", "status"), [("/r/x", 401), ("/none", 404)])
    def test_unknown_is_denied_by_a_fresh_configuration(self, path, status):
        found = admit_path(build_view(), path, "unknown")
        assert isinstance(found, Rejected)
        assert found.status == status

    @pytest.mark.parametrize("path", ["/r/x", "/none"])
    @pytest.mark.parametrize("age_s", [Bounds().converge_s + 0.1, 50.0])
    def test_outdated_configuration_denies_nothing(self, path, age_s):
        """Guards against a 401 or 404 for a key or route that was added meanwhile."""
        found = admit_path(build_view(confirmed_s=100.0 - age_s), path, "unknown")
        assert isinstance(found, Rejected)
        assert found.status == 503
        assert found.retry_after_s

    def test_known_key_is_served_by_an_outdated_configuration(self):
        """Guards against an instance that stops serving because it cannot reach the store."""
        assert isinstance(admit_path(build_view(confirmed_s=50.0), "/r/x", "good"), Admitted)
