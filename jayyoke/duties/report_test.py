"""Tests of the plan of reports."""

from __future__ import annotations

import pytest

from jayyoke.duties.report import (
    ReportPlanner,
    build_report_key,
    decode_counts,
    encode_counts,
    find_barred,
)
from jayyoke.duties.window import GIVE_UP_S, find_end_s

WINDOW_S = 5.0
COUNTS = {"yard": 4}


def build_planner(reported: int = 99, barred: int = 50, unix_s: float = 505.0) -> ReportPlanner:
    """Return the planner of a new holder; window 100 ends at 505 s."""
    planner = ReportPlanner(WINDOW_S, 10.0)
    planner.begin(reported, barred, unix_s)
    return planner


class TestPlan:
    def test_window_is_collected_after_its_end_and_waits_until_before_it_is_due(self):
        """Guards against counts that are fixed before the others have sent theirs."""
        planner = build_planner()
        assert planner.find_due(506.0) is None
        assert planner.find_due(508.3) == 100
        assert planner.may_wait(100, 512.9)
        assert not planner.may_wait(100, 513.1)

    def test_report_is_sent_with_the_counts_that_were_fixed_first(self):
        """Guards against two reports of a window with different counts."""
        planner = build_planner()
        planner.record_fixed(100, COUNTS)
        planner.record_fixed(100, {"yard": 5})
        assert planner.find_unsent(508.0).counts == COUNTS
        assert planner.find_due(520.0) == 101

    def test_report_is_repeated_until_it_is_settled(self):
        """Guards against a window that is lost with the answer to its report."""
        planner = build_planner()
        planner.record_fixed(100, COUNTS)
        assert planner.find_unsent(508.0) == planner.find_unsent(509.0)
        planner.record_sent(100)
        assert planner.reported == 100
        assert planner.find_unsent(509.0) is None

    def test_window_without_an_answer_does_not_delay_the_others(self):
        """Guards against reports that are all late since a slow service answers too late."""
        planner = build_planner()
        for window in (100, 101):
            planner.record_fixed(window, COUNTS)
        planner.record_attempt(100)
        assert planner.find_unsent(513.0).window == 101
        planner.record_sent(101)
        assert planner.reported == 99
        assert planner.find_unsent(513.0).window == 100
        planner.record_sent(100)
        assert planner.reported == 101

    def test_window_that_nobody_takes_is_given_up(self):
        """Guards against a service that is away for long and then gets windows without end."""
        planner = build_planner()
        planner.record_fixed(100, COUNTS)
        assert planner.find_unsent(505.0 + GIVE_UP_S + WINDOW_S) is None
        assert planner.reported >= 100

    def test_new_holder_goes_on_after_the_last_reported_window(self):
        """Guards against a window that no holder reports at a change."""
        planner = build_planner(reported=98)
        assert planner.find_due(508.5) == 99


class TestEras:
    def test_windows_that_an_older_era_may_have_reported_are_barred(self):
        """Guards against other counts for a window whose row the store has lost."""
        planner = build_planner(reported=-1, barred=find_barred(505.0, WINDOW_S))
        assert planner.find_due(530.0) == 101
        planner.record_fixed(100, COUNTS)
        assert planner.find_unsent(530.0) is None

    def test_window_between_one_that_is_known_and_the_present_is_barred(self):
        """Guards against a process that fills the gaps in what it knows with other counts."""
        planner = build_planner(reported=97)
        planner.record_fixed(98, COUNTS)
        planner.begin(-1, 100, 512.0)
        assert planner.find_unsent(512.0).window == 98
        planner.record_sent(98)
        assert planner.find_unsent(512.0) is None
        assert planner.find_due(514.0) == 101

    def test_clock_that_is_late_bars_the_window_as_well(self):
        """Guards against a window that had ended by the clock of the older era's holder."""
        assert find_barred(504.5, WINDOW_S) == 100

    def test_process_that_knows_the_row_repeats_its_report(self):
        """Guards against losing each report at a return, although one process knows it."""
        planner = build_planner()
        planner.record_fixed(100, COUNTS)
        planner.begin(-1, find_barred(509.0, WINDOW_S), 512.0)
        assert planner.find_unsent(512.0).counts == COUNTS
        planner.record_sent(100)
        planner.begin(-1, find_barred(513.0, WINDOW_S), 514.0)
        assert planner.find_unsent(514.0) is None

    def test_two_returns_in_a_row(self):
        """Guards against windows of the era before that are reported in the one after."""
        planner = build_planner(reported=-1, barred=100)
        planner.begin(-1, 102, 517.0)
        assert planner.find_due(540.0) == 103


class TestRows:
    def test_counts_survive_encoding(self):
        """Guards against a repeat that differs from what was sent."""
        counts = {"z": 1, "a": 2}
        assert decode_counts(encode_counts(counts)) == counts

    @pytest.mark.parametrize("value", [b"", b"[]", b'{"a": 1.5}', b'{"a": true}'])
    def test_malformed_row_is_reported(self, value):
        """Guards against a process that ends on a malformed row."""
        with pytest.raises(ValueError):
            decode_counts(value)

    def test_old_rows_are_removed_only_when_nobody_can_report_them(self):
        """Guards against a row that is removed and written again with other counts."""
        planner = build_planner()
        removable = planner.list_removable(120)
        assert removable
        assert find_end_s(max(removable), WINDOW_S) < find_end_s(120, WINDOW_S) - GIVE_UP_S
        assert build_report_key(9) < build_report_key(10)
