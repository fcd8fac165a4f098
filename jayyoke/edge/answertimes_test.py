"""Tests of detecting slow answers."""

from __future__ import annotations

import pytest

from jayyoke.edge.answertimes import AnswerTimes, MeanTimes, StreamTiming


def build_usual(latency_s: float, gap_s: float | None = None) -> MeanTimes:
    usual = MeanTimes()
    for _ in range(50):
        usual.add(AnswerTimes(latency_s, gap_s, False))
    return usual


class TestLatency:
    def test_no_answer_is_slow_without_a_mean(self):
        assert not MeanTimes().is_exceeded(AnswerTimes(9.0, 9.0, False))

    @pytest.mark.parametrize(("latency_s", "slow"), [(0.5, True), (0.15, False)])
    def test_prompts_that_must_be_computed_are_allowed_for(self, latency_s, slow):
        assert build_usual(0.06).is_exceeded(AnswerTimes(latency_s, None, True)) == slow

    def test_plain_service_four_times_slower_is_slow(self):
        """Guards against answers that took 45 ms, now take 180 ms and do not count as slow."""
        assert build_usual(0.045).is_exceeded(AnswerTimes(0.18, None, False))


class TestStreamTiming:
    def test_slow_stream_with_a_normal_first_token_is_slow(self):
        """Guards against a version whose tokens come four times slower after the first one."""
        usual = build_usual(0.064, 0.025)
        assert usual.is_exceeded(AnswerTimes(0.1, 0.1, True))
        assert not usual.is_exceeded(AnswerTimes(0.1, 0.04, True))

    def test_running_stream_can_be_judged_after_some_events(self):
        """Guards against a verdict that waits for the end of slow streams."""
        timing = StreamTiming()
        enough = []
        for number in range(6):
            timing.record(1, 10.0 + 0.1 * number)
            enough.append(timing.has_enough_events)
        assert enough == [False] * 4 + [True] * 2
        assert timing.gap_s == pytest.approx(0.1)

    def test_events_that_come_together_count_each(self):
        timing = StreamTiming()
        timing.record(3, 10.0)
        assert timing.gap_s is None
        timing.record(4, 10.4)
        assert timing.gap_s == pytest.approx(0.1)
