"""Tests the estimate of how slow upstreams are now."""

from __future__ import annotations

import random

import pytest

from jayyoke.pace.figure import (
    MAX_SLOW_FRACTION,
    MAX_SLOWNESS,
    SLOW,
    Figure,
    FigureTrack,
    estimate_slowness,
)

NOW_S = 100.0
ENGINES = 20


def estimate(slow: dict[int, float], age_s: float = 0.0, usual: float = 1.0):
    figures = []
    for number in range(ENGINES):
        figures.append((f"e{number}", Figure(slow.get(number, usual), NOW_S - age_s)))
    return estimate_slowness(figures, NOW_S)


class TestEstimate:
    def test_figure_loses_its_weight_within_a_spell(self):
        """Guards against upstreams that are left out long after their spell has ended."""
        assert estimate({3: 2.5}) == {"e3": 2.5}
        assert 1.3 < estimate({3: 2.5}, 0.3)["e3"] < 1.4
        assert estimate({3: 2.5}, 0.6) == {}
        assert estimate({3: 2.5}, 10.0) == {}

    def test_service_without_figures_has_no_slow_upstream(self):
        """Guards against changed placement where upstreams report no figure."""
        assert estimate_slowness([("e1", None), ("e2", None)], NOW_S) == {}
        assert estimate_slowness([], NOW_S) == {}

    @pytest.mark.parametrize("slowness", [0.0, 0.4, 0.99])
    def test_faster_than_usual_is_usual(self, slowness):
        """Guards against all instances that send to the one fast machine."""
        assert estimate({3: slowness}) == {}

    def test_huge_figure_is_bounded(self):
        """Guards against a wrong figure that outweighs everything else."""
        assert estimate({3: 1e300})["e3"] == MAX_SLOWNESS

    def test_only_the_slowest_minority_counts(self):
        """Guards against wrong figures that move most of the load to few upstreams."""
        found = estimate({number: 2.0 + number / 10 for number in range(9)})
        assert len(found) == int(MAX_SLOW_FRACTION * ENGINES)
        assert set(found) == {"e8", "e7", "e6", "e5"}

    def test_none_is_slow_while_most_are(self):
        """Guards against requests that leave for upstreams that are as slow."""
        assert estimate({}, usual=2.5) == {}

    def test_figure_from_the_future_counts_as_new(self):
        """Guards against a figure that gains weight without bound by a clock that is ahead."""
        assert estimate({3: 2.5}, -5.0)["e3"] == 2.5

    def test_any_figures_give_bounded_estimates(self):
        source = random.Random(1)
        for _ in range(200):
            slow = {n: source.choice([0.0, 1e9, source.uniform(0, 9)]) for n in range(ENGINES)}
            found = estimate(slow, source.uniform(0, 2))
            assert all(SLOW <= value <= MAX_SLOWNESS for value in found.values())


class TestTrack:
    def test_figure_that_is_always_slow_is_not_believed(self):
        """Guards against an upstream that is left out for good by a wrong figure."""
        track = FigureTrack()
        for number in range(60):
            track.record(2.5, number / 10)
        assert track.figure is None
        for number in range(60, 120):
            track.record(1.0, number / 10)
        assert track.figure == Figure(1.0, 11.9)

    def test_usual_spells_are_believed(self):
        """Guards against true figures that are ignored since there are many spells."""
        track = FigureTrack()
        for number in range(300):
            track.record(2.5 if number % 40 < 6 else 1.0, number / 10)
            assert track.figure is not None

    def test_rare_slow_figure_does_not_stand_for_the_time_without_figures(self):
        track = FigureTrack()
        for at_s in (0.0, 100.0, 200.0):
            track.record(2.5, at_s)
        assert track.figure == Figure(2.5, 200.0)

    def test_older_figure_is_ignored(self):
        """Guards against a late message of a peer that replaces a newer figure."""
        track = FigureTrack()
        track.record(1.0, 5.0)
        track.record(2.5, 4.0)
        assert track.figure == Figure(1.0, 5.0)
