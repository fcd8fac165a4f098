"""Tests that figures of slowness help a fleet, and that wrong ones keep the load bound."""

from __future__ import annotations

from bench.loadbound import ALLOWED_SHARE
from bench.slowness import FIGURES, SIZES, run_size

SEED = 1
SMALL, MIDDLE = SIZES[:2]


class TestFigures:
    def test_fresh_figures_bring_first_tokens_in_time(self):
        """Guards against figures that are decoded and shared but change no placement."""
        ignored = run_size(SMALL, FIGURES["ignored"], SEED)
        fresh = run_size(SMALL, FIGURES["0 s old"], SEED)
        assert fresh["within aim"] > ignored["within aim"] + 0.005
        assert fresh["worst five seconds"] <= ALLOWED_SHARE

    def test_engines_that_are_always_said_to_be_slow_cost_no_load_bound(self):
        """Guards against wrong figures that move the load of three in ten engines to the others."""
        found = run_size(MIDDLE, FIGURES["three in ten always slow"], SEED)
        assert found["worst five seconds"] <= ALLOWED_SHARE
        assert found["refused"] == 0
