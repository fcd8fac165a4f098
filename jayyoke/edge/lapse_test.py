"""Tests of upstreams whose entries lapse in a store outage."""

from __future__ import annotations

import json

import pytest

from jayyoke.edge.lapse import GRACE_S
from jayyoke.edge.view import FleetView
from jayyoke.platform import names
from jayyoke.platform.table import Row

ENGINES = ("e1", "e2", "e3")
OUTAGE_S = 9.0


class Clock:
    def __init__(self) -> None:
        self.now_s = 100.0

    def read_s(self) -> float:
        return self.now_s


class Scenario:
    """Holds a view of three engines and advances its clock."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.view = FleetView(self.clock.read_s)
        self.revision = 1
        self.merge(rows=[self.build_row(name) for name in ENGINES], whole=True)

    def build_row(self, name: str, state: str = "ready", born: int = 1) -> Row:
        entry = {"backend": "pool", "address": "127.0.0.1:9000", "az": "a", "state": state}
        return Row(name, json.dumps(entry | {"born": born}).encode(), self.revision)

    def merge(self, rows=(), removed=(), whole=False) -> None:
        self.view.merge(
            names.UPSTREAM_TABLE,
            rows,
            removed,
            self.revision,
            whole=whole,
            confirmed_s=self.clock.now_s,
            source="store",
        )

    def remove(self, *keys: str) -> None:
        self.revision += 1
        self.merge(removed=[Row(key, b"", self.revision) for key in keys])

    def list_live(self) -> set[str]:
        self.view.drop_lapsed()
        return {found.name for found in self.view.by_service.get("pool", ())}


class TestLapseGrace:
    def test_entries_that_lapsed_in_an_outage_stay_usable(self):
        """Guards against all requests going to the engine that is listed again first."""
        scenario = Scenario()
        scenario.clock.now_s += OUTAGE_S
        scenario.remove(*ENGINES)
        assert scenario.list_live() == set(ENGINES)
        scenario.clock.now_s += 0.4
        scenario.revision += 1
        scenario.merge(rows=[scenario.build_row("e2")])
        assert scenario.list_live() == set(ENGINES)

    def test_snapshot_after_an_outage_removes_no_entries(self):
        """Guards against the same with a store that has lost its history."""
        scenario = Scenario()
        scenario.clock.now_s += OUTAGE_S
        scenario.revision += 1
        scenario.merge(rows=[scenario.build_row("e2")], whole=True)
        assert scenario.list_live() == set(ENGINES)

    def test_entry_that_lapses_within_the_grace_period_stays_until_its_end(self):
        scenario = Scenario()
        scenario.clock.now_s += OUTAGE_S
        scenario.merge()
        scenario.clock.now_s += 1.0
        scenario.remove("e1")
        assert scenario.list_live() == set(ENGINES)
        scenario.clock.now_s += GRACE_S - 1.0
        assert scenario.list_live() == {"e2", "e3"}

    def test_entry_missing_after_the_grace_period_is_removed(self):
        scenario = Scenario()
        scenario.clock.now_s += OUTAGE_S
        scenario.remove(*ENGINES)
        scenario.clock.now_s += 1.0
        scenario.revision += 1
        scenario.merge(rows=[scenario.build_row("e2")])
        scenario.clock.now_s += GRACE_S - 1.0
        assert scenario.list_live() == {"e2"}

    def test_incarnation_that_is_listed_again_is_not_new(self):
        """Guards against forgetting an engine's age, load and failures with its entry."""
        scenario = Scenario()
        seen_s = dict(scenario.view.first_seen_s)
        scenario.clock.now_s += OUTAGE_S
        scenario.remove(*ENGINES)
        scenario.revision += 1
        scenario.merge(rows=[scenario.build_row(name) for name in ENGINES])
        assert scenario.view.first_seen_s == seen_s

    def test_entry_removed_without_an_outage_is_gone_at_once(self):
        scenario = Scenario()
        scenario.clock.now_s += 0.8
        scenario.remove("e1")
        assert scenario.list_live() == {"e2", "e3"}

    def test_draining_upstream_is_gone_at_once(self):
        scenario = Scenario()
        scenario.clock.now_s += 0.8
        scenario.revision += 1
        scenario.merge(rows=[scenario.build_row("e1", state="draining")])
        scenario.clock.now_s += OUTAGE_S
        scenario.remove("e1")
        assert "e1" not in scenario.view.upstreams

    def test_confirmations_of_peers_prevent_a_grace_period(self):
        """Guards against using a removed upstream although peers kept the table up to date."""
        scenario = Scenario()
        for _ in range(10):
            scenario.clock.now_s += 1.0
            scenario.view.confirm(names.UPSTREAM_TABLE, scenario.revision, scenario.clock.now_s)
        scenario.remove("e1")
        assert scenario.list_live() == {"e2", "e3"}

    @pytest.mark.parametrize("again", [False, True])
    def test_outage_starts_one_grace_period(self, again):
        """Guards against upstreams that are kept for ever by repeated outages."""
        scenario = Scenario()
        scenario.clock.now_s += OUTAGE_S
        scenario.remove(*ENGINES)
        scenario.clock.now_s += GRACE_S
        scenario.merge()
        assert scenario.list_live() == set()
        if again:
            scenario.clock.now_s += OUTAGE_S
            scenario.merge()
            assert scenario.list_live() == set()
