"""Tests of the statistics of an upstream."""

from __future__ import annotations

from jayyoke.edge.track import UpstreamStats


class TestSuspension:
    def test_failing_upstream_is_suspended(self):
        """Guards against an upstream that passes health checks but fails requests."""
        stats = UpstreamStats()
        for number in range(10):
            stats.record_success(0.05, float(number))
        suspended = [stats.record_failure(10.0, 0.0) for _ in range(3)]
        assert any(suspended)
        assert stats.is_suspended(10.1)

    def test_failures_that_all_upstreams_have_do_not_suspend(self):
        """Guards against suspending a service whose requests often fail by design."""
        stats = UpstreamStats()
        for number in range(100):
            stats.record_success(0.05, float(number))
            if number % 4 == 0:
                assert not stats.record_failure(float(number), 0.25)

    def test_suspension_grows_and_is_reset(self):
        stats = UpstreamStats()
        stats.record_unreachable(0.0)
        first_s = stats.suspension_s
        stats.record_unreachable(10.0)
        assert stats.suspension_s == 2 * first_s
        stats.record_success(0.05, 30.0)
        assert stats.suspension_s == 0.0
