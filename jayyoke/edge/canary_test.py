"""Tests of the decisions about a version move."""

from __future__ import annotations

import pytest

from jayyoke.core.move import Counts
from jayyoke.core.route import MoveOrder, MoveState, MoveStatus
from jayyoke.core.upstream import Upstream
from jayyoke.edge.canary import (
    Split,
    decide_state,
    find_held_versions,
    is_slow,
    select_versions,
    split_versions,
)

ORDER = MoveOrder("desk", "v2", 12.0, 7)
STARTED = MoveStatus("desk", "v2", MoveState.ACTIVE, 7, 1000)
GOOD = {("v1", "r"): Counts(400, 4, 4), ("v2", "r"): Counts(60, 1, 1)}
BAD = {("v1", "r"): Counts(400, 4, 4), ("v2", "r"): Counts(20, 12, 0)}


def build(name: str, version: str) -> Upstream:
    return Upstream(name, "desk", "a", "127.0.0.1:1", incarnation=name, version=version)


class TestSplit:
    def test_nothing_before_the_status_row(self):
        assert split_versions(ORDER, None, 5000, False, 0.1) == Split("v2", 0.0)

    def test_status_of_an_earlier_order_says_nothing(self):
        """Guards against a second order for a version that was reverted before."""
        old = MoveStatus("desk", "v2", MoveState.DONE, 3, 0)
        assert split_versions(ORDER, old, 5000, False, 0.1) == Split("v2", 0.0)

    def test_share_grows_and_stays_small_at_first(self):
        shares = [
            split_versions(ORDER, STARTED, 1000 + ms, False, 0.1).share
            for ms in range(0, 12001, 500)
        ]
        assert shares == sorted(shares)
        assert shares[0] <= 0.1
        assert shares[-1] == 1.0

    def test_halted_version_gets_nothing(self):
        assert split_versions(ORDER, STARTED, 12_000, True, 0.1).share == 0.0

    def test_reverted_version_gets_nothing_after_its_order_is_gone(self):
        reverted = MoveStatus("desk", "v2", MoveState.REVERTED, 7, 1000)
        assert split_versions(None, reverted, 99_000, False, 0.1) == Split("v2", 0.0)


class TestState:
    def test_order_begins(self):
        assert decide_state(ORDER, None, 0, {}, 0).state is MoveState.ACTIVE

    def test_good_version_is_done_before_its_deadline(self):
        following = decide_state(ORDER, STARTED, 1000 + 11_500, GOOD, 2)
        assert following.state is MoveState.DONE

    def test_bad_version_is_reverted_at_once(self):
        assert decide_state(ORDER, STARTED, 3000, BAD, 2).state is MoveState.REVERTED

    def test_slow_version_is_reverted(self):
        counts = {("v1", "r"): Counts(400, 4, 4), ("v2", "r"): Counts(20, 0, 12)}
        assert decide_state(ORDER, STARTED, 3000, counts, 2).state is MoveState.REVERTED

    def test_version_without_upstreams_is_reverted_at_the_deadline(self):
        assert decide_state(ORDER, STARTED, 1000 + 12_500, {}, 0).state is MoveState.REVERTED

    @pytest.mark.parametrize("state", [MoveState.DONE, MoveState.REVERTED])
    def test_final_states_stay(self, state):
        final = MoveStatus("desk", "v2", state, 7, 1000)
        assert decide_state(ORDER, final, 99_000, BAD, 2) is None


class TestSelection:
    OLD = build("old", "v1")
    NEW = build("new", "v2")

    def test_small_share_by_draw(self):
        both = [self.OLD, self.NEW]
        assert select_versions(both, Split("v2", 0.1), 0.05, frozenset()) == [self.NEW]
        assert select_versions(both, Split("v2", 0.1), 0.5, frozenset()) == [self.OLD]

    def test_reverted_version_never_takes_over(self):
        """Guards against a bad version that serves because the old one is away."""
        assert select_versions([self.NEW], Split("v2", 0.0), 0.0, frozenset()) == []

    def test_old_version_serves_while_the_new_one_has_no_upstream(self):
        assert select_versions([self.OLD], Split("v2", 1.0), 0.5, frozenset()) == [self.OLD]

    def test_unordered_version_is_held_back_for_a_moment(self):
        seen_s = {"old": 0.0, "new": 99.5}
        both = [self.OLD, self.NEW]
        held = find_held_versions(both, seen_s, 100.0)
        assert select_versions(both, Split(), 0.5, held) == [self.OLD]
        assert find_held_versions(both, seen_s, 102.0) == frozenset()


class TestSlow:
    def test_needs_a_usual_time(self):
        assert not is_slow(9.0, None)
        assert is_slow(0.5, 0.06)
        assert not is_slow(0.15, 0.06)
