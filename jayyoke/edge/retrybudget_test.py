"""Tests of the retry budget of all instances together."""

from __future__ import annotations

import pytest

from jayyoke.core.entrysettings import Bounds
from jayyoke.edge.retrybudget import RetryBudget

BOUNDS = Bounds(retry_ratio=0.2, retry_window_s=10.0, retry_extra=52.0)


class TestRetryBudget:
    @pytest.mark.parametrize("count", [1, 6, 77])
    def test_sum_over_instances_stays_within_the_bound_in_any_window(self, count):
        """Guards against more repeats than the users allow when every request fails."""
        budgets = [RetryBudget(BOUNDS, 0.0) for _ in range(count)]
        requests, repeats = [], []
        for step in range(600):
            now_s = step * 0.05
            for number, budget in enumerate(budgets):
                if (step + number) % count % 7 == 0:
                    budget.add_request(now_s)
                    requests.append(now_s)
                if budget.spend(now_s, count):
                    repeats.append(now_s)
        for end_s in range(1, 30):
            window = range(end_s - 10, end_s)
            sent = sum(window.start < at <= end_s for at in requests)
            repeated = sum(window.start < at <= end_s for at in repeats)
            assert repeated <= 0.2 * sent + 52

    def test_restarted_instance_gets_a_fraction_of_the_budget(self):
        """Guards against a crash loop that renews the budget with each start."""
        budget = RetryBudget(BOUNDS, 100.0)
        spent = sum(budget.spend(100.0, 1) for _ in range(100))
        assert spent <= 0.3 * 52

    def test_budget_is_restored_after_the_window(self):
        budget = RetryBudget(BOUNDS, 0.0)
        while budget.spend(20.0, 1):
            pass
        assert not budget.spend(25.0, 1)
        assert budget.spend(30.1, 1)
