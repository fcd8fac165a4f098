"""Tests of the limit on requests of all instances together to a cold upstream."""

from __future__ import annotations

import math

import pytest

from jayyoke.core.entrysettings import Bounds
from jayyoke.edge.coldlimiter import ColdLimiter, divide_cold_rate

RATE = 23.0
BOUNDS = Bounds(warm_up_excess=1.5, warm_up_extra=5.0)
ALLOWED = RATE * 1.5 + 5


class TestColdLimiter:
    @pytest.mark.parametrize("count", [1, 2, 6, 9, 20, 77, 410])
    def test_all_instances_together_stay_within_the_bound(self, count):
        """Guards against a cold upstream that gets more than the bound in any second."""
        names = [f"i{number}" for number in range(count)]
        limiters = [ColdLimiter(BOUNDS, name) for name in names]
        times = []
        for step in range(300):
            now_s = step * 0.01
            for limiter in limiters:
                while limiter.take("cold", RATE, names, now_s):
                    times.append(now_s)
        assert times
        for start in times:
            assert sum(start <= at < start + 1.0 for at in times) <= ALLOWED

    def test_some_instance_may_always_use_the_upstream(self):
        names = [f"i{number}" for number in range(410)]
        shares = [divide_cold_rate(RATE, BOUNDS, "cold", name, names) for name in names]
        used = [share for share in shares if share is not None]
        assert 1 <= len(used) <= math.floor(ALLOWED)

    def test_growing_fleet_adds_no_burst(self):
        """Guards against a fresh burst whenever the list of instances changes."""
        limiter = ColdLimiter(BOUNDS, "a")
        taken = 0
        for count in range(1, 8):
            names = ["a", *(f"i{number}" for number in range(count))]
            while limiter.take("cold", RATE, names, 0.0):
                taken += 1
        assert taken <= ALLOWED
