"""Tests of spreading the callers that return."""

from __future__ import annotations

import random
from collections import Counter

from jayyoke.admission.returns import STEP_S, ReturnSchedule


class TestReturnSchedule:
    def test_callers_refused_together_return_apart(self):
        """Guards against a second wave of calls as high as the refused one."""
        schedule = ReturnSchedule(random.Random(1))
        waits_s = [schedule.book(100.0, 0.5, 2.5) for _ in range(400)]
        steps = Counter(int(wait_s / STEP_S) for wait_s in waits_s)
        assert min(waits_s) >= 0.5
        assert max(waits_s) <= 2.5
        assert max(steps.values()) <= 2 * 400 * STEP_S / 2.0

    def test_later_refusals_fill_the_gaps(self):
        """Guards against times that ignore who was told to return before."""
        schedule = ReturnSchedule(random.Random(1))
        for _ in range(100):
            schedule.book(100.0, 0.5, 1.0)
        later = [schedule.book(100.0, 0.5, 1.5) for _ in range(100)]
        assert sum(wait_s > 1.0 for wait_s in later) > 75

    def test_passed_times_are_forgotten(self):
        schedule = ReturnSchedule(random.Random(1))
        for _ in range(50):
            schedule.book(100.0, 0.5, 1.0)
        assert schedule.count_returning(100.0, 0.3) == 0
        assert schedule.count_returning(100.0, 1.1) == 50
        assert schedule.count_returning(102.0, 1.0) == schedule.booked == 0
