"""How long feeds of the store wait for a change, and from which age on tables are stale."""

from __future__ import annotations

from dataclasses import dataclass

# The store answers a feed after this time even without changes, so a dead feed is noticed soon.
MIN_FEED_WAIT_S = 0.8
# Longer gaps between confirmations would look like an outage to `lapse.LapseGrace`.
MAX_FEED_WAIT_S = 1.4
# Of the time within which a configuration has to be in force, this is left for noticing that a
# follower is lost (0.7 s beyond its wait) and for reading the store without it.
CONVERGE_MARGIN_S = 1.6
# A follower whose tables are older than a feed's wait and this asks other instances.
STALE_SLACK_S = 0.5
# The wait at a follower, and some time for the transfer. An instance whose tables are older than
# a feed's wait and this follows the store itself.
RELAYED_SLACK_S = 0.7


@dataclass(frozen=True, slots=True)
class FeedTimes:
    """Holds how long a feed waits for a change, and from which age on tables count as stale."""

    wait_s: float
    stale_s: float
    relayed_stale_s: float


def find_feed_times(converge_s: float) -> FeedTimes:
    """Return the times for a bound on the time until a configuration is in force."""
    wait_s = min(MAX_FEED_WAIT_S, max(MIN_FEED_WAIT_S, converge_s - CONVERGE_MARGIN_S))
    return FeedTimes(wait_s, wait_s + STALE_SLACK_S, wait_s + RELAYED_SLACK_S)
