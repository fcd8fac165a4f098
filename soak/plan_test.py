"""Tests of the fault plan."""

from __future__ import annotations

from soak.plan import DEFAULT_FAULTS_S, Size, draw_plan


class TestDrawPlan:
    def test_same_seed_draws_the_same_faults(self):
        assert draw_plan(7, Size()) == draw_plan(7, Size())

    def test_every_kind_of_fault_is_drawn(self):
        """Guards against a fault that the soak never injects."""
        kinds = {type(step.fault).__name__ for n in range(100) for step in draw_plan(n, Size())}
        assert len(kinds) == 17

    def test_faults_overlap_and_come_in_series(self):
        """Guards against a soak that injects one fault at a time."""
        plans = [draw_plan(seed, Size()) for seed in range(50)]
        series = sum(len({id(step.fault) for step in plan}) < len(plan) for plan in plans)
        assert series > len(plans) / 2
        assert all(step.at_s < DEFAULT_FAULTS_S + 5 for plan in plans for step in plan)
