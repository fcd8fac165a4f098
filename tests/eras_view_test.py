"""Tests of views whose store comes back from an older copy."""

from __future__ import annotations

import pytest

from jayyoke.core.route import MoveState
from jayyoke.edge.canary import split_versions
from jayyoke.edge.storeclock import StoreClock
from jayyoke.eras.fact import RESTORE_S
from tests.eraviews import ORDER, Peer, build_config, build_row, build_status, build_upstream


class TestOrder:
    def test_newer_era_replaces_rows_of_higher_revisions(self):
        """Guards against a copy that stays at the revisions which the store has lost."""
        peer = Peer()
        peer.read("servers", [build_upstream("u1", 90)], 100, 1)
        peer.read("servers", [build_upstream("u1", 60), build_upstream("u2", 61)], 70, 2)
        assert peer.view.tables["servers"].revision == 70
        assert peer.list_live() == ["u1", "u2"]

    def test_answers_of_an_older_era_change_nothing(self):
        """Guards against a late answer, or a peer on the older era, that brings rows back."""
        peer = Peer()
        peer.read("op", [build_config(1, 5)], 70, 2)
        peer.read("op", [build_row("evacuate/a", 90, {})], 100, 1, whole=False)
        peer.read("op", [build_row("evacuate/a", 90, {})], 100, 1)
        assert not peer.view.evacuated
        assert peer.view.tables["op"].revision == 70

    def test_changes_of_a_newer_era_wait_for_its_table(self):
        """Guards against changes that are merged into the rows of another era."""
        peer = Peer()
        peer.read("op", [build_config(1, 5)], 70, 1)
        peer.read("op", [build_row("evacuate/a", 90, {})], 100, 2, whole=False)
        assert peer.view.tables["op"].era == 1
        assert not peer.view.evacuated

    def test_late_answer_of_an_older_era_does_not_set_the_clock(self):
        """Guards against members that count as dead by the clock before the store's return."""
        clock = StoreClock(lambda: 50.0)
        clock.update(9_000, 50.0, 2)
        clock.update(90_000, 50.0, 1)
        assert clock.read_ms() == 9_000


class TestUpstreams:
    def test_gone_upstream_stays_gone_until_its_entry_is_written_again(self):
        """Guards against requests to an upstream that has left, through two eras in a row."""
        peer = Peer()
        peer.read("servers", [build_upstream("u1", 90), build_upstream("u2", 91)], 100, 1)
        peer.remove("servers", "u1", 101, 1)
        for era in (2, 3):
            peer.read("servers", [build_upstream("u1", 60), build_upstream("u2", 61)], 70, era)
            assert peer.list_live() == ["u2"]
        peer.now_s += 10 * RESTORE_S
        peer.read("servers", [], 71, 3, whole=False)
        assert peer.list_live() == ["u2"]
        peer.read("servers", [build_upstream("u1", 72)], 72, 3, whole=False)
        assert peer.list_live() == ["u1", "u2"]

    def test_leaving_upstream_stays_leaving(self):
        """Guards against requests to an upstream that drains."""
        peer = Peer()
        peer.read("servers", [build_upstream("u1", 90, "draining")], 100, 1)
        peer.read("servers", [build_upstream("u1", 60)], 70, 2)
        assert peer.list_live() == []
        assert "u1" in peer.view.upstreams

    def test_restarted_upstream_keeps_its_newer_entry(self):
        """Guards against requests to the address of an upstream's ended predecessor."""
        peer = Peer()
        peer.read("servers", [build_upstream("u1", 90, born=2)], 100, 1)
        peer.read("servers", [build_upstream("u1", 60, born=1)], 70, 2)
        assert peer.view.upstreams["u1"].started_ms == 2

    def test_unlisted_upstream_is_dropped_after_some_time(self):
        """Guards against an upstream that ended during the store's absence and is kept for good."""
        peer = Peer()
        peer.read("servers", [build_upstream("u1", 90)], 100, 1)
        peer.read("servers", [], 70, 2)
        assert peer.list_live() == ["u1"]
        for _ in range(int(RESTORE_S) + 1):
            peer.now_s += 1.0
            peer.read("servers", [], 71, 2, whole=False)
        assert peer.list_live() == []


class TestOperatorRows:
    def test_configuration_never_goes_back(self):
        """Guards against a removed route or key that the copy brings back."""
        peer = Peer()
        peer.read("op", [build_config(7, 90)], 100, 1)
        peer.read("op", [build_config(5, 40)], 70, 2)
        peer.read("op", [build_config(6, 71)], 71, 2, whole=False)
        assert peer.view.config.version == 7
        assert peer.view.tables["op"].kept
        peer.read("op", [build_config(7, 72)], 72, 2, whole=False)
        assert not peer.view.tables["op"].kept

    def test_evacuation_ends_with_its_removal_in_the_new_era(self):
        """Guards against an evacuation that ends by the copy, or never."""
        peer = Peer()
        peer.read("op", [build_row("evacuate/a", 90, {})], 100, 1)
        peer.read("op", [], 70, 2)
        peer.now_s += 10 * RESTORE_S
        peer.read("op", [], 71, 2, whole=False)
        assert peer.view.evacuated == {"a"}
        peer.remove("op", "evacuate/a", 72, 2)
        assert not peer.view.evacuated

    def test_withdrawn_evacuation_may_be_withdrawn_again(self):
        """Guards against a domain that is evacuated again because the copy is older."""
        peer = Peer()
        peer.read("op", [build_row("evacuate/a", 60, {})], 90, 1)
        peer.remove("op", "evacuate/a", 91, 1)
        peer.read("op", [build_row("evacuate/a", 60, {})], 70, 2)
        assert not peer.view.evacuated
        peer.now_s += RESTORE_S + 0.1
        peer.read("op", [], 71, 2, whole=False)
        assert peer.view.evacuated == {"a"}

    def test_row_of_a_higher_revision_is_newer(self):
        """Guards against an instance that was cut off and keeps an order older than the copy."""
        peer = Peer()
        peer.read("op", [build_row("rollout/desk", 40, ORDER)], 50, 1)
        later = build_row("rollout/desk", 60, ORDER | {"to": "v3"})
        peer.read("op", [later], 70, 2)
        assert peer.view.orders["desk"].version == "v3"


class TestMoves:
    def build_moved(self, state: MoveState) -> Peer:
        peer = Peer()
        peer.read("op", [build_row("rollout/desk", 90, ORDER)], 100, 1)
        peer.read("status", [build_status(state, 90, 95)], 100, 1)
        return peer

    @pytest.mark.parametrize("state", [MoveState.ROLLED_BACK, MoveState.DONE])
    @pytest.mark.parametrize("status_first", [False, True])
    def test_finished_move_stays_finished_under_the_new_revision(self, state, status_first):
        """Guards against a reverted version that is tried again, through two eras in a row."""
        peer = self.build_moved(state)
        revision = 60
        for era in (2, 3):
            if status_first:
                peer.read("status", [], 55, era)
            peer.read("op", [], 55, era)
            peer.read("status", [], 55, era)
            assert peer.view.statuses["desk"].state is state
            revision += era
            row = build_row("rollout/desk", revision, ORDER)
            peer.read("op", [row], revision, era, whole=False)
            status = peer.view.statuses["desk"]
            assert (status.state, status.order) == (state, revision)

    def test_other_order_with_the_revision_of_a_finished_one_begins_anew(self):
        """Guards against a version that gets all requests untested."""
        peer = self.build_moved(MoveState.DONE)
        other = build_row("rollout/desk", 90, ORDER | {"to": "v3"})
        peer.read("op", [other], 92, 2)
        peer.now_s += 1.0
        other = build_row("rollout/desk", 95, ORDER | {"to": "v3"})
        peer.read("op", [other], 95, 2, whole=False)
        peer.read("status", [build_status(MoveState.DONE, 95, 50)], 95, 2)
        order, status = peer.view.orders["desk"], peer.view.statuses["desk"]
        assert order.version == "v3"
        assert split_versions(order, status, False).share == 0.0

    def test_status_of_another_order_with_the_same_revision_is_not_its_own(self):
        """Guards against a version that gets all requests by the row of a move that was lost."""
        peer = Peer()
        peer.read("op", [build_row("rollout/desk", 90, ORDER | {"to": "v3"})], 92, 2)
        peer.read("status", [build_status(MoveState.DONE, 90, 50)], 92, 2)
        order, status = peer.view.orders["desk"], peer.view.statuses["desk"]
        assert split_versions(order, status, False).share == 0.0

    def test_status_of_a_new_instance_does_not_replace_a_final_one(self):
        """Guards against a new instance that begins a reverted move for all."""
        peer = self.build_moved(MoveState.ROLLED_BACK)
        peer.read("op", [build_row("rollout/desk", 60, ORDER)], 60, 2)
        peer.read("status", [], 60, 2)
        peer.read("status", [build_status(MoveState.ACTIVE, 60, 61)], 61, 2, whole=False)
        assert peer.view.statuses["desk"].state is MoveState.ROLLED_BACK
        assert "rollout/desk" in peer.view.tables["status"].kept
        peer.read("status", [build_status(MoveState.ROLLED_BACK, 60, 62)], 62, 2, whole=False)
        assert not peer.view.tables["status"].kept

    def test_new_instance_gives_an_order_the_status_that_others_keep(self):
        """Guards against a new instance that tries a reverted version until others object."""
        peer, started = self.build_moved(MoveState.ROLLED_BACK), Peer()
        for found in (peer, started):
            found.read("op", [], 60, 2)
            found.read("status", [], 60, 2)
        started.ask(peer)
        started.read("op", [build_row("rollout/desk", 61, ORDER)], 61, 2, whole=False)
        status = started.view.statuses["desk"]
        assert (status.state, status.order) == (MoveState.ROLLED_BACK, 61)

    def test_repeated_order_of_the_new_era_begins_anew(self):
        """Guards against an order that can never be repeated."""
        peer = self.build_moved(MoveState.ROLLED_BACK)
        peer.read("op", [], 60, 2)
        for revision in (61, 62):
            row = build_row("rollout/desk", revision, ORDER)
            peer.read("op", [row], revision, 2, whole=False)
        order, status = peer.view.orders["desk"], peer.view.statuses["desk"]
        assert (order.revision, status.order) == (62, 61)
