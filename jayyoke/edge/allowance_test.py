"""Tests of the retry budget over all instances."""

from __future__ import annotations

import pytest

from jayyoke.core.machine import Bounds
from jayyoke.edge.allowance import RetryAllowance

BOUNDS = Bounds(retry_ratio=0.2, retry_window_s=10.0, retry_extra=52.0)


class TestRetryAllowance:
    @pytest.mark.parametrize("count", [1, 6, 77])
    def test_sum_over_instances_keeps_the_bound_in_any_window(self, count):
        """Guards against more repeats than the users allow when every request fails."""
        allowances = [RetryAllowance(BOUNDS, 0.0) for _ in range(count)]
        requests, repeats = [], []
        for step in range(600):
            now_s = step * 0.05
            for number, allowance in enumerate(allowances):
                if (step + number) % count % 7 == 0:
                    allowance.add_request(now_s)
                    requests.append(now_s)
                if allowance.spend(now_s, count):
                    repeats.append(now_s)
        for end_s in range(1, 30):
            window = range(end_s - 10, end_s)
            sent = sum(window.start < at <= end_s for at in requests)
            repeated = sum(window.start < at <= end_s for at in repeats)
            assert repeated <= 0.2 * sent + 52

    def test_restarted_instance_starts_with_a_part(self):
        """Guards against a crash loop that renews the budget with each start."""
        allowance = RetryAllowance(BOUNDS, 100.0)
        spent = sum(allowance.spend(100.0, 1) for _ in range(100))
        assert spent <= 0.3 * 52

    def test_repeats_come_back_after_the_window(self):
        allowance = RetryAllowance(BOUNDS, 0.0)
        while allowance.spend(20.0, 1):
            pass
        assert not allowance.spend(25.0, 1)
        assert allowance.spend(30.1, 1)
