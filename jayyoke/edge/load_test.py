"""Tests of estimating loads from own requests and old reports."""

from __future__ import annotations

import pytest

from jayyoke.core.upstream import Upstream
from jayyoke.edge.canary import Split
from jayyoke.edge.load import LoadEstimator, find_excluded
from jayyoke.edge.track import UpstreamStats
from jayyoke.platform.message import LoadReport

NOW_S = 10.0


def build(in_flight: int = 0, answering: int = 0, reported: int = 0) -> UpstreamStats:
    """Return the statistics of an upstream whose report has just come."""
    stats = UpstreamStats(in_flight=in_flight, answering=answering)
    stats.record_load(LoadReport(reported, 0, 64), NOW_S)
    return stats


class TestReports:
    def test_own_requests_since_the_report_are_added(self):
        stats = UpstreamStats(in_flight=2, answering=2)
        stats.record_load(LoadReport(7, 1, 64), NOW_S)
        stats.in_flight = 4
        assert LoadEstimator().estimate({"e": stats}, NOW_S + 0.5).find("e") == 10

    def test_own_requests_in_prefill_are_counted(self):
        """Guards against own requests that vanish from the estimate with each report."""
        stats = build(in_flight=6, answering=1, reported=4)
        assert LoadEstimator().estimate({"e": stats}, NOW_S).find("e") == 9

    def test_load_reported_to_a_peer_leaves_out_own_requests_in_prefill_too(self):
        stats = UpstreamStats(in_flight=6, answering=1)
        stats.record_peer_load(4, NOW_S)
        assert LoadEstimator().estimate({"e": stats}, NOW_S).find("e") == 9

    def test_waiting_requests_are_counted_once(self):
        stats = UpstreamStats(in_flight=5, answering=2)
        stats.record_load(LoadReport(3, 7, 64), NOW_S)
        assert LoadEstimator().estimate({"e": stats}, NOW_S).find("e") == 10


class TestAge:
    def test_old_report_is_not_used(self):
        """Guards against a load of minutes ago that keeps sessions away from an engine."""
        stats_by_incarnation = {"full": build(2, 2, 71), "idle": build(2, 2, 3)}
        loads = LoadEstimator().estimate(stats_by_incarnation, NOW_S + 10.0)
        assert loads.find("full") == pytest.approx(loads.find("idle"), abs=0.1)

    def test_report_loses_weight_as_requests_end(self):
        stats_by_incarnation = {"full": build(reported=20), "idle": build()}
        estimator = LoadEstimator()
        for _ in range(200):
            estimator.record_duration(2.0)
        found = [
            estimator.estimate(stats_by_incarnation, NOW_S + age_s).find("full")
            for age_s in (0, 1, 4)
        ]
        assert found[0] == 20
        assert 14 < found[1] < 17
        assert 10 < found[2] < 12

    def test_new_upstream_is_assumed_idle_at_first(self):
        """Guards against new engines that get nothing since others are busy."""
        stats_by_incarnation = {
            "old": build(reported=20),
            "new": UpstreamStats(reported_at_s=NOW_S),
        }
        loads = LoadEstimator().estimate(stats_by_incarnation, NOW_S + 0.1)
        assert loads.find("new") < 4
        assert loads.mean == pytest.approx(10)

    def test_mean_load_replaces_an_old_report(self):
        """Guards against a busy engine that seems as idle as those of a version on trial."""
        busy, idle = UpstreamStats(), UpstreamStats()
        for number in range(40):
            busy.record_load(LoadReport(12, 0, 64), NOW_S + number / 10)
            idle.record_load(LoadReport(0, 0, 64), NOW_S + number / 10)
        loads = LoadEstimator().estimate({"busy": busy, "idle": idle}, NOW_S + 5.0)
        assert loads.find("busy") > 9
        assert loads.find("idle") < 3

    def test_excluded_upstream_becomes_idle(self):
        """Guards against a mean that counts requests of a version that is out of use."""
        stats_by_incarnation = {"old": UpstreamStats(), "new": UpstreamStats()}
        for number in range(40):
            for stats in stats_by_incarnation.values():
                stats.record_load(LoadReport(12, 0, 64), NOW_S + number / 10)
        loads = LoadEstimator().estimate(stats_by_incarnation, NOW_S + 7.0, excluded={"old"})
        assert loads.find("old") < 0.5

    def test_upstream_without_a_report_is_idle(self):
        stats_by_incarnation = {"old": build(reported=20), "new": UpstreamStats(in_flight=1)}
        assert LoadEstimator().estimate(stats_by_incarnation, NOW_S + 5.0).find("new") == 1.0


class TestExcluded:
    LIVE = (
        Upstream("o", "pool", "a", "", incarnation="o", version="v1"),
        Upstream("n", "pool", "b", "", incarnation="n", version="v2"),
    )

    @pytest.mark.parametrize(
        ("split", "evacuated", "excluded"),
        [
            (Split(), (), set()),
            (Split("v2", 0.0), (), {"n"}),
            (Split("v2", 0.1), (), set()),
            (Split("v2", 1.0), (), {"o"}),
            (Split("v3", 0.1, ("v2",)), (), {"n"}),
            (Split(), ("b",), {"n"}),
        ],
    )
    def test_versions_without_a_share_and_evacuated_domains_are_excluded(
        self, split, evacuated, excluded
    ):
        assert find_excluded(self.LIVE, split, evacuated) == excluded


class TestLimits:
    """Tests upstreams that name a limit of requests a second."""

    def test_mean_of_the_others_counts_them_alone(self):
        """Guards against the last engine without a limit being kept from calls as loaded."""
        stats_by_incarnation = {"limited": build(reported=1), "free": build(reported=13)}
        loads = LoadEstimator().estimate(stats_by_incarnation, NOW_S, limited={"limited"})
        assert (loads.mean, loads.free_mean) == (7.0, 13.0)

    def test_mean_is_that_of_all_if_all_are_limited(self):
        stats_by_incarnation = {"a": build(reported=1), "b": build(reported=3)}
        loads = LoadEstimator().estimate(stats_by_incarnation, NOW_S, limited={"a", "b"})
        assert (loads.mean, loads.free_mean) == (2.0, 2.0)
