"""Tests of the sequential test that compares a new version with the old one."""

from __future__ import annotations

import random

from jayyoke.core.move import OutcomeCounts
from jayyoke.ops.evidence import EvidencePool, judge

OLD = {"draft": OutcomeCounts(1000, 2, 40), "check": OutcomeCounts(200, 0, 8)}


class TestJudge:
    def test_few_total_failures_are_enough(self):
        """Guards against a version that always fails and keeps its callers for long."""
        assert judge({"draft": OutcomeCounts(4, 4, 0)}, OLD) is not None
        assert judge({"draft": OutcomeCounts(1, 1, 0)}, OLD) is None

    def test_fault_on_one_route_is_not_diluted_by_the_others(self):
        """Guards against failures of a rare route that are not seen in the total."""
        new = {"draft": OutcomeCounts(2000, 4, 80), "check": OutcomeCounts(6, 6, 0)}
        verdict = judge(new, OLD)
        assert verdict is not None
        assert verdict.route == "check"

    def test_equal_versions_pass(self):
        """Guards against false alarms; the bench measures their rate over 200 seeds."""
        source = random.Random(7)
        new, old = OutcomeCounts(), OutcomeCounts()
        for _ in range(400):
            outcome = OutcomeCounts(10, source.random() < 0.02, source.random() < 0.4)
            new = new.add(outcome)
            old = old.add(OutcomeCounts(10, source.random() < 0.02, source.random() < 0.4))
            assert judge({"draft": new}, {"draft": old}) is None

    def test_slow_for_both_versions_is_no_fault_of_the_new_one(self):
        """Guards against a load surge that rolls back a good version."""
        old = {"draft": OutcomeCounts(1000, 2, 500)}
        assert judge({"draft": OutcomeCounts(100, 0, 52)}, old) is None


class TestEvidencePool:
    def test_repeated_and_late_messages_change_nothing(self):
        """Guards against counting an outcome twice."""
        pool = EvidencePool()
        for requests in (5, 9, 9, 5):
            pool.replace("a", {("v2", "draft"): OutcomeCounts(requests, 1, 0)})
        pool.replace("b", {("v2", "draft"): OutcomeCounts(2, 0, 0)})
        assert pool.by_route("v2") == {"draft": OutcomeCounts(11, 1, 0)}
