"""Tests of the times of feeds."""

from __future__ import annotations

import pytest

from jayyoke.edge.feedtimes import find_feed_times
from jayyoke.edge.follow import RELAY_WAIT_S
from jayyoke.edge.lapse import MIN_OUTAGE_S


class TestFeedTimes:
    def test_short_bound_keeps_short_feeds(self):
        """Guards against a configuration that is in force too late where it may take 2 s."""
        times = find_feed_times(2.0)
        assert (times.wait_s, times.stale_s, times.relayed_stale_s) == (0.8, 1.3, 1.5)

    @pytest.mark.parametrize("converge_s", [2.0, 3.0, 4.0, 60.0])
    def test_gap_between_confirmations_is_no_outage(self, converge_s):
        """Guards against upstreams that are kept as if the store had been away."""
        assert find_feed_times(converge_s).wait_s + RELAY_WAIT_S < MIN_OUTAGE_S

    @pytest.mark.parametrize("converge_s", [2.0, 3.0, 4.0])
    def test_lost_follower_is_noticed_within_the_bound(self, converge_s):
        """Guards against an instance that waits for a lost follower until the bound is over."""
        assert find_feed_times(converge_s).relayed_stale_s <= converge_s - 0.5
