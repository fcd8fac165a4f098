"""Tests of which requests may begin while a process stops."""

from __future__ import annotations

import random

from jayyoke.ops.stopwindow import StopWindow

END_S = 107.5


class TestMayBegin:
    """Tests the decision at moments of a grace period of 7.5 s."""

    def test_everything_begins_while_no_stop_has_begun(self):
        assert StopWindow().may_begin(1e9)

    def test_nothing_begins_once_the_window_is_closed(self):
        """Guards against requests that reach an upstream after the last one has been awaited."""
        window = StopWindow()
        window.begin(END_S)
        window.close()
        assert not window.may_begin(100.5)

    def test_request_needs_its_whole_time(self):
        """Guards against a request that is cut off without an answer at the end of the grace."""
        window = StopWindow()
        window.begin(END_S)
        assert window.may_begin(END_S)
        assert not window.may_begin(END_S + 0.01)


class TestLoad:
    """Plays a planned stop under load against the decision."""

    def test_what_begins_ends_and_nothing_that_surely_ends_is_refused(self):
        """Guards against requests that are cut off, and against a stop that refuses all.

        300 requests arrive in 7.5 s. Engines slow down as the stop begins: streams that took 1 s
        take any time up to their deadlines of 8 s, mutations any time up to theirs of 2.5 s.
        """
        source = random.Random(3)
        window = StopWindow()
        window.begin(END_S)
        cut = begun = refused_early = 0
        for number in range(300):
            at_s = 100.0 + 7.5 * number / 300
            limit_s = 2.5 if number % 3 == 0 else 8.0
            if window.may_begin(at_s + limit_s):
                begun += 1
                cut += at_s + source.uniform(0.05, limit_s) > END_S
            else:
                refused_early += at_s + limit_s <= END_S
        assert (cut, begun, refused_early) == (0, 67, 0)
