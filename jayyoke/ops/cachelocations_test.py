"""Memory of cached chats, gaps in cache events, and the circuit breaker."""

from __future__ import annotations

from jayyoke.core.clock import ManualClock
from jayyoke.core.member import Member
from jayyoke.ops.breaker import Breaker
from jayyoke.ops.cacheevents import CacheFollower
from jayyoke.ops.cachelocations import EVENT_LAG_S, CacheLocations
from jayyoke.ops.replay import Replay
from jayyoke.wire.local import LocalHub


def _build_follower():
    peers = LocalHub().join(Member("me", "a", 1, ""))
    return CacheFollower(peers, Replay(peers, ManualClock(0.0)))


class TestCacheLocations:
    def test_count_and_age_are_bounded(self):
        """Guards against memory that grows with the number of chats."""
        locations = CacheLocations(max_entries=3, max_age_s=100)
        for chat in range(5):
            locations.learn(chat, "e", 10, 0.0)
        assert len(locations) == 3
        assert locations.find(4, 100.0) == ("e", 10)
        assert locations.find(4, 101.0) is None

    def test_late_eviction_does_not_forget_a_new_placement(self):
        """Guards against late cache events that overwrite newer entries."""
        locations = CacheLocations()
        locations.learn(1, "e", 10, 100.0)
        locations.evict(1, "e", 100.0 + EVENT_LAG_S - 1)
        locations.evict(1, "other", 1000.0)
        locations.restore(1, "other", 99, 200.0)
        assert locations.find(1, 200.0) == ("e", 10)
        locations.evict(1, "e", 100.0 + EVENT_LAG_S)
        assert locations.find(1, 200.0) is None

    def test_gap_resets_older_token_counts(self):
        """Guards against chats sent to a cache whose evictions were lost in a gap."""
        locations = CacheLocations()
        locations.learn(1, "e", 10, 100.0)
        locations.discard_counts_before("e", 150.0)
        locations.learn(2, "e", 20, 160.0)
        assert locations.find(1, 170.0) == ("e", 0)
        assert locations.find(2, 170.0) == ("e", 20)

    def test_restarted_engine_is_forgotten(self):
        """Guards against chats sent to a cache that a restart emptied."""
        locations = CacheLocations()
        locations.learn(1, "e", 10, 0.0)
        locations.learn(2, "f", 10, 0.0)
        locations.forget_engine("e")
        assert locations.find(1, 0.0) is None
        assert locations.find(2, 0.0) == ("f", 10)


class TestCacheFollower:
    def test_gap_in_event_numbers_is_noticed(self):
        """Guards against lost cache events that remain undetected."""
        follower = _build_follower()
        event = {"kind": "stored", "chat": "c", "tokens": 5}
        assert not follower.accept("e", {"events": [event | {"n": 1}, event | {"n": 2}]})
        assert not follower.accept("e", {"events": [event | {"n": 2}, event | {"n": 3}]})
        assert follower.accept("e", {"events": [event | {"n": 5}]})
        assert follower.cursor("e") == 5


class TestBreaker:
    def test_flapping_doubles_the_hold(self):
        """Guards against a breaker that closes at once each time a flapping upstream answers."""
        breaker = Breaker()
        now_s, holds = 0.0, []
        for _ in range(3):
            breaker.record_failure(now_s)
            breaker.record_failure(now_s)
            assert not breaker.record_success(now_s + breaker.hold_s / 2)
            now_s += breaker.hold_s
            assert breaker.record_success(now_s)
            holds.append(breaker.hold_s)
        assert holds == [1.0, 2.0, 4.0]
