"""Tests of which requests may begin while a process stops."""

from __future__ import annotations

import random

from jayyoke.ops.stopwindow import FORGET_S, StopWindow

END_S = 107.5
BALANCED_UNTIL_S = 102.6


def build(*took_s: float) -> StopWindow:
    """Return the window of a stop that began at 100 s, after requests of kind `r`."""
    window = StopWindow()
    for each_s in took_s:
        window.record_duration("r", each_s, 100.0)
    window.begin(END_S, BALANCED_UNTIL_S)
    return window


class TestMayBegin:
    """Tests the decision at moments of a grace period of 7.5 s."""

    def test_everything_begins_while_no_stop_has_begun(self):
        assert StopWindow().may_begin("r", 1e9, True, 100.0)

    def test_request_that_runs_once_needs_its_whole_time(self):
        """Guards against a mutation that is cut off without an answer at the end of the grace."""
        window = build(0.1)
        assert window.may_begin("r", END_S, True, 104.0)
        assert not window.may_begin("r", END_S + 0.01, True, 100.5)

    def test_other_request_begins_while_the_balancer_sends_callers(self):
        """Guards against refusing callers who would be sent back here."""
        assert build().may_begin("r", 120.0, False, BALANCED_UNTIL_S - 0.1)
        assert not build().may_begin("r", 120.0, False, BALANCED_UNTIL_S)

    def test_other_request_begins_as_long_as_those_like_it_would_end(self):
        """Guards against streams that are cut, and against refusing those with time enough."""
        window = build(1.0, 2.0, 0.5)
        assert window.may_begin("r", 120.0, False, 104.0)
        assert not window.may_begin("r", 120.0, False, 105.3)

    def test_nothing_begins_once_the_window_is_closed(self):
        """Guards against requests that reach an upstream after the last one has been awaited."""
        window = build(0.1)
        window.close()
        assert not window.may_begin("r", 100.5, False, 100.0)
        assert not window.may_begin("r", 100.5, True, 100.0)

    def test_longest_time_fades(self):
        """Guards against one slow request that decides for the rest of the day."""
        window = StopWindow()
        window.record_duration("r", 10.0, 100.0)
        window.record_duration("r", 1.0, 100.0 + 3 * FORGET_S)
        begins_s = 100.0 + 3 * FORGET_S
        window.begin(begins_s + 7.5)
        assert window.may_begin("r", begins_s + 60.0, False, begins_s + 5.9)


class TestLoad:
    """Plays a planned stop under load against the decision."""

    def test_what_begins_ends_and_little_that_would_end_is_refused(self):
        """Guards against requests that are cut off, and against a stop that refuses all.

        300 requests arrive in 7.5 s; streams take 0.4 to 2.4 s, mutations 0.02 to 0.2 s of 2.7 s.
        """
        source = random.Random(3)
        window = StopWindow()
        for _ in range(200):
            window.record_duration("stream", source.uniform(0.4, 2.4), 99.0)
        window.begin(END_S, BALANCED_UNTIL_S)
        cut = refused_early = 0
        for number in range(300):
            at_s = 100.0 + 7.5 * number / 300
            once = number % 3 == 0
            took_s = source.uniform(0.02, 0.2) if once else source.uniform(0.4, 2.4)
            deadline_s = at_s + (2.7 if once else 12.0)
            if window.may_begin("order" if once else "stream", deadline_s, once, at_s):
                cut += at_s + took_s > END_S
            else:
                refused_early += at_s < 103.5
        assert (cut, refused_early) == (0, 0)
