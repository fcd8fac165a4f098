"""Tests of upstreams whose entries lapse while the store is away."""

from __future__ import annotations

import json

import pytest

from jayyoke.edge.lapse import RETURN_S
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


class Play:
    """Holds a view of three engines and moves its time."""

    def __init__(self) -> None:
        self.clock = Clock()
        self.view = FleetView(self.clock.read_s)
        self.revision = 1
        self.take(rows=[self.build_row(name) for name in ENGINES], whole=True)

    def build_row(self, name: str, state: str = "ready", born: int = 1) -> Row:
        entry = {"backend": "pool", "address": "127.0.0.1:9000", "az": "a", "state": state}
        return Row(name, json.dumps(entry | {"born": born}).encode(), self.revision)

    def take(self, rows=(), removed=(), whole=False) -> None:
        self.view.take(
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
        self.take(removed=[Row(key, b"", self.revision) for key in keys])

    def list_live(self) -> set[str]:
        self.view.drop_lapsed()
        return {found.name for found in self.view.by_service.get("pool", ())}


class TestLapsedEntries:
    def test_entries_that_lapsed_with_the_stores_silence_stay_usable(self):
        """Guards against all requests going to the engine that is listed again first."""
        play = Play()
        play.clock.now_s += OUTAGE_S
        play.remove(*ENGINES)
        assert play.list_live() == set(ENGINES)
        play.clock.now_s += 0.4
        play.revision += 1
        play.take(rows=[play.build_row("e2")])
        assert play.list_live() == set(ENGINES)

    def test_snapshot_without_them_is_no_news_either(self):
        """Guards against the same with a history that the store has lost."""
        play = Play()
        play.clock.now_s += OUTAGE_S
        play.revision += 1
        play.take(rows=[play.build_row("e2")], whole=True)
        assert play.list_live() == set(ENGINES)

    def test_entry_that_lapses_just_after_the_return_stays_as_long(self):
        play = Play()
        play.clock.now_s += OUTAGE_S
        play.take()
        play.clock.now_s += 1.0
        play.remove("e1")
        assert play.list_live() == set(ENGINES)
        play.clock.now_s += RETURN_S - 1.0
        assert play.list_live() == {"e2", "e3"}

    def test_what_is_still_missing_two_seconds_later_is_gone(self):
        play = Play()
        play.clock.now_s += OUTAGE_S
        play.remove(*ENGINES)
        play.clock.now_s += 1.0
        play.revision += 1
        play.take(rows=[play.build_row("e2")])
        play.clock.now_s += RETURN_S - 1.0
        assert play.list_live() == {"e2"}

    def test_incarnation_that_returns_is_not_taken_for_a_new_one(self):
        """Guards against forgetting an engine's age, load and failures with its entry."""
        play = Play()
        seen_s = dict(play.view.first_seen_s)
        play.clock.now_s += OUTAGE_S
        play.remove(*ENGINES)
        play.revision += 1
        play.take(rows=[play.build_row(name) for name in ENGINES])
        assert play.view.first_seen_s == seen_s

    def test_entry_that_is_removed_while_the_store_answers_is_gone_at_once(self):
        play = Play()
        play.clock.now_s += 0.8
        play.remove("e1")
        assert play.list_live() == {"e2", "e3"}

    def test_upstream_that_was_draining_is_gone_at_once(self):
        play = Play()
        play.clock.now_s += 0.8
        play.revision += 1
        play.take(rows=[play.build_row("e1", state="draining")])
        play.clock.now_s += OUTAGE_S
        play.remove("e1")
        assert "e1" not in play.view.upstreams

    def test_instance_that_peers_kept_informed_missed_nothing(self):
        """Guards against using an upstream whose leaving a peer has told in time."""
        play = Play()
        for _ in range(10):
            play.clock.now_s += 1.0
            play.view.confirm(names.UPSTREAM_TABLE, play.revision, play.clock.now_s)
        play.remove("e1")
        assert play.list_live() == {"e2", "e3"}

    @pytest.mark.parametrize("again", [False, True])
    def test_one_silence_keeps_entries_once(self, again):
        """Guards against upstreams that stay for ever while the store comes and goes."""
        play = Play()
        play.clock.now_s += OUTAGE_S
        play.remove(*ENGINES)
        play.clock.now_s += RETURN_S
        play.take()
        assert play.list_live() == set()
        if again:
            play.clock.now_s += OUTAGE_S
            play.take()
            assert play.list_live() == set()
