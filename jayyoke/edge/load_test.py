"""Tests of estimating loads from own requests and old reports."""

from __future__ import annotations

import pytest

from jayyoke.core.upstream import Upstream
from jayyoke.edge.canary import Split
from jayyoke.edge.load import LoadEstimator, find_resting
from jayyoke.edge.track import Track
from jayyoke.platform.message import LoadReport

NOW_S = 10.0


def build(in_flight: int = 0, answering: int = 0, reported: int = 0) -> Track:
    """Return the track of an upstream whose report has just come."""
    track = Track(in_flight=in_flight, answering=answering)
    track.record_load(LoadReport(reported, 0, 64), NOW_S)
    return track


class TestReports:
    def test_report_counts_with_what_was_sent_since(self):
        track = Track(in_flight=2, answering=2)
        track.record_load(LoadReport(7, 1, 64), NOW_S)
        track.in_flight = 4
        assert LoadEstimator().estimate({"e": track}, NOW_S + 0.5).find("e") == 10

    def test_own_prompts_that_are_being_read_are_not_lost(self):
        """Guards against own requests that vanish from the estimate with each report."""
        track = build(in_flight=6, answering=1, reported=4)
        assert LoadEstimator().estimate({"e": track}, NOW_S).find("e") == 9

    def test_load_heard_by_a_peer_leaves_out_own_prompts_too(self):
        track = Track(in_flight=6, answering=1)
        track.learn_load(4, NOW_S)
        assert LoadEstimator().estimate({"e": track}, NOW_S).find("e") == 9

    def test_waiting_requests_are_counted_once(self):
        track = Track(in_flight=5, answering=2)
        track.record_load(LoadReport(3, 7, 64), NOW_S)
        assert LoadEstimator().estimate({"e": track}, NOW_S).find("e") == 10


class TestAge:
    def test_old_report_is_not_used(self):
        """Guards against a load of minutes ago that keeps sessions away."""
        tracks = {"full": build(2, 2, 71), "idle": build(2, 2, 3)}
        loads = LoadEstimator().estimate(tracks, NOW_S + 10.0)
        assert loads.find("full") == pytest.approx(loads.find("idle"), abs=0.1)

    def test_report_loses_weight_as_requests_end(self):
        tracks = {"full": build(reported=20), "idle": build()}
        estimator = LoadEstimator()
        for _ in range(200):
            estimator.note_duration(2.0)
        found = [estimator.estimate(tracks, NOW_S + age_s).find("full") for age_s in (0, 1, 4)]
        assert found[0] == 20
        assert 14 < found[1] < 17
        assert 10 < found[2] < 12

    def test_new_upstream_is_taken_for_idle_at_first(self):
        """Guards against new engines that get nothing since others are busy."""
        tracks = {"old": build(reported=20), "new": Track(heard_s=NOW_S)}
        loads = LoadEstimator().estimate(tracks, NOW_S + 0.1)
        assert loads.find("new") < 4
        assert loads.mean == pytest.approx(10)

    def test_usual_load_outlives_a_report(self):
        """Guards against a busy engine that seems as idle as those of a version on trial."""
        busy, idle = Track(), Track()
        for number in range(40):
            busy.record_load(LoadReport(12, 0, 64), NOW_S + number / 10)
            idle.record_load(LoadReport(0, 0, 64), NOW_S + number / 10)
        loads = LoadEstimator().estimate({"busy": busy, "idle": idle}, NOW_S + 5.0)
        assert loads.find("busy") > 9
        assert loads.find("idle") < 3

    def test_upstream_that_may_get_nothing_empties(self):
        """Guards against a mean that counts requests of a version that is out of use."""
        tracks = {"old": Track(), "new": Track()}
        for number in range(40):
            for track in tracks.values():
                track.record_load(LoadReport(12, 0, 64), NOW_S + number / 10)
        loads = LoadEstimator().estimate(tracks, NOW_S + 7.0, resting={"old"})
        assert loads.find("old") < 0.5

    def test_upstream_that_was_never_heard_is_idle(self):
        tracks = {"old": build(reported=20), "new": Track(in_flight=1)}
        assert LoadEstimator().estimate(tracks, NOW_S + 5.0).find("new") == 1.0


class TestResting:
    LIVE = (
        Upstream("o", "pool", "a", "", incarnation="o", version="v1"),
        Upstream("n", "pool", "b", "", incarnation="n", version="v2"),
    )

    @pytest.mark.parametrize(
        ("split", "evacuated", "resting"),
        [
            (Split(), (), set()),
            (Split("v2", 0.0), (), {"n"}),
            (Split("v2", 0.1), (), set()),
            (Split("v2", 1.0), (), {"o"}),
            (Split(), ("b",), {"n"}),
        ],
    )
    def test_versions_without_a_share_and_emptied_domains_rest(self, split, evacuated, resting):
        assert find_resting(self.LIVE, split, evacuated) == resting
