"""Tests how answer times count by their age."""

from __future__ import annotations

import pytest

from jayyoke.pace.figure import MAX_SLOWNESS
from jayyoke.pace.latency import LastAnswer, estimate_latency_s

USUAL_S = 0.06


class TestLatency:
    def test_slow_answer_counts_while_it_is_fresh(self):
        """Guards against a server that is avoided for seconds after a spell of 0.6 s."""
        times_s = [
            estimate_latency_s(USUAL_S, LastAnswer(0.15, age_s), USUAL_S)
            for age_s in (0.0, 0.3, 2.0)
        ]
        assert times_s[0] == pytest.approx(0.15)
        assert 0.08 < times_s[1] < 0.1
        assert times_s[2] < 0.061

    def test_old_average_returns_to_that_of_the_service(self):
        """Guards against servers avoided for long since nobody asks them any more."""
        assert estimate_latency_s(0.2, LastAnswer(0.2, 0.0), USUAL_S) == pytest.approx(0.2)
        assert estimate_latency_s(0.2, LastAnswer(0.2, 20.0), USUAL_S) < 0.062

    @pytest.mark.parametrize("last_s", [0.0, 0.03, 0.06])
    def test_fast_answer_draws_no_requests(self, last_s):
        """Guards against instances that all choose the server that answered fast."""
        assert estimate_latency_s(USUAL_S, LastAnswer(last_s, 0.0), USUAL_S) == USUAL_S

    def test_odd_times_are_bounded(self):
        """Guards against one odd answer that shuts out a server, and against a division by 0."""
        longest_s = MAX_SLOWNESS * USUAL_S
        assert estimate_latency_s(USUAL_S, LastAnswer(60.0, -9.0), USUAL_S) == longest_s
        assert estimate_latency_s(0.0, LastAnswer(60.0, 0.0), USUAL_S) >= 0.0

    def test_reported_slowness_counts_once(self):
        """Guards against a spell that counts twice, by the figure and by the answer time."""
        last = LastAnswer(0.15, 0.0)
        assert estimate_latency_s(USUAL_S, last, USUAL_S, 2.5) == pytest.approx(0.15)
