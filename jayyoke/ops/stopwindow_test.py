"""Tests of which requests may begin while a process stops."""

from __future__ import annotations

import random

from jayyoke.ops.stopwindow import StopWindow

END_S = 107.5
BALANCED_UNTIL_S = 102.6


def build() -> StopWindow:
    """Return the window of a stop that began at 100 s."""
    window = StopWindow()
    window.begin(END_S, BALANCED_UNTIL_S)
    return window


class TestMayBegin:
    """Tests the decision at moments of a grace period of 7.5 s."""

    def test_everything_begins_while_no_stop_has_begun(self):
        assert StopWindow().may_begin(1e9, True, 100.0)

    def test_nothing_begins_once_the_window_is_closed(self):
        """Guards against requests that reach an upstream after the last one has been awaited."""
        window = build()
        window.close()
        assert not window.may_begin(100.5, False, 100.0)
        assert not window.may_begin(100.5, True, 100.0)

    def test_request_that_runs_once_needs_its_whole_time(self):
        """Guards against a mutation that is cut off without an answer at the end of the grace."""
        window = build()
        assert window.may_begin(END_S, True, 104.0)
        assert not window.may_begin(END_S + 0.01, True, 100.5)

    def test_other_request_begins_while_the_balancer_sends_callers(self):
        """Guards against refusing callers who would be sent back here."""
        assert build().may_begin(120.0, False, BALANCED_UNTIL_S - 0.1)

    def test_other_request_needs_its_whole_time_afterwards(self):
        """Guards against streams that begin late in the grace, since earlier ones were quick."""
        assert build().may_begin(END_S, False, BALANCED_UNTIL_S)
        assert not build().may_begin(END_S + 0.01, False, BALANCED_UNTIL_S)


class TestFindReturn:
    """Tests when refused callers are told to return."""

    def test_caller_returns_when_the_balancer_knows(self):
        """Guards against a caller who is sent back here and refused again."""
        assert build().find_return_s(100.6) == 2.0
        assert build().find_return_s(103.0) == 0.0


class TestLoad:
    """Plays a planned stop under load against the decision."""

    def test_what_begins_late_ends_and_little_that_would_end_is_refused(self):
        """Guards against requests that are cut off, and against a stop that refuses all.

        300 requests arrive in 7.5 s. Engines slow down as the stop begins: streams that took 1 s
        take any time up to their deadlines of 8 s, mutations any time up to theirs of 2.5 s.
        """
        source = random.Random(3)
        window = build()
        cut_late = refused_in_window = refused_early = 0
        for number in range(300):
            at_s = 100.0 + 7.5 * number / 300
            once = number % 3 == 0
            limit_s = 2.5 if once else 8.0
            if window.may_begin(at_s + limit_s, once, at_s):
                ends_s = at_s + source.uniform(0.05, limit_s)
                cut_late += ends_s > END_S and at_s >= BALANCED_UNTIL_S
            else:
                refused_in_window += at_s < BALANCED_UNTIL_S
                refused_early += at_s + limit_s <= END_S
        assert (cut_late, refused_in_window, refused_early) == (0, 0, 0)
