"""Tests of relaying between instances of different eras."""

from __future__ import annotations

import pytest

from tests.eraviews import ORDER, Peer, build_config, build_row, build_upstream


class TestRelay:
    def build_pair(self) -> tuple[Peer, Peer]:
        """Return an instance on the newer era and one on the older."""
        new, old = Peer(), Peer()
        for peer in (new, old):
            peer.read("op", [build_config(7, 90), build_row("evacuate/a", 91, {})], 100, 1)
            peer.read("servers", [build_upstream("u1", 90), build_upstream("u2", 91)], 100, 1)
            peer.remove("servers", "u1", 101, 1)
        new.read("op", [build_config(5, 40)], 70, 2)
        new.read("servers", [build_upstream("u1", 60), build_upstream("u2", 61)], 70, 2)
        return new, old

    def check_in_force(self, peer: Peer) -> None:
        assert peer.view.config.version == 7
        assert peer.view.evacuated == {"a"}
        assert peer.list_live() == ["u2"]

    def test_older_instance_follows_into_the_new_era(self):
        """Guards against an instance that stays on the older era behind its follower."""
        new, old = self.build_pair()
        old.ask(new)
        assert old.view.tables["op"].era == old.era.value == 2
        assert old.view.tables["servers"].revision == 70
        self.check_in_force(old)

    def test_newer_instance_takes_nothing_from_the_older_era(self):
        """Guards against rows that alternate between two eras, and against false confirmation."""
        new, old = self.build_pair()
        new.now_s = old.now_s = 105.0
        new.ask(old)
        assert new.view.tables["op"].era == 2
        assert new.view.tables["op"].confirmed_s == 100.0
        assert new.follower._relayed_s == float("-inf")
        assert old.era.value == 2
        self.check_in_force(new)

    def test_instance_started_in_the_new_era_learns_what_is_kept(self):
        """Guards against a new instance that accepts what the copy brings back."""
        new, _ = self.build_pair()
        started = Peer()
        started.read("op", [build_config(5, 40)], 70, 2)
        started.read("servers", [build_upstream("u1", 60), build_upstream("u2", 61)], 70, 2)
        started.ask(new)
        self.check_in_force(started)

    def test_kept_rows_are_sent_once(self):
        """Guards against a kept configuration that fills the links until it is written again."""
        new, old = self.build_pair()
        for _ in range(3):
            old.ask(new)
        sent = [any(table.kept for table in answer.tables) for answer in old.asked]
        assert sent == [True, False, False]

    @pytest.mark.parametrize("own_read", [False, True])
    def test_what_was_written_again_is_not_kept_by_a_late_instance(self, own_read):
        """Guards against an instance that keeps for good what others saw being replaced."""
        new, old = self.build_pair()
        old.read("op", [build_row("rollout/desk", 102, ORDER)], 102, 1, whole=False)
        third = build_row("rollout/desk", 72, ORDER | {"to": "v3"})
        row = build_row("evacuate/a", 71, {})
        new.read("op", [build_config(7, 71), row, third], 72, 2, whole=False)
        new.remove("op", "evacuate/a", 73, 2)
        if own_read:
            old.read("op", [build_config(7, 71), third], 73, 2)
            assert old.view.evacuated == {"a"}
        old.ask(new)
        assert not old.view.evacuated
        assert old.view.orders["desk"].version == "v3"
        assert not old.view.tables["op"].kept

    def test_removal_before_the_return_reaches_an_instance_that_missed_it(self):
        """Guards against an instance that was cut off and keeps an evacuation for good."""
        new, late = Peer(), Peer()
        for peer in (new, late):
            peer.read("op", [build_config(7, 40), build_row("evacuate/a", 60, {})], 61, 1)
        new.remove("op", "evacuate/a", 62, 1)
        for peer in (new, late):
            peer.read("op", [build_config(7, 40)], 70, 2)
        assert late.view.evacuated == {"a"}
        late.ask(new)
        assert not late.view.evacuated

    def test_calm_messages_hold_no_new_fields_without_eras(self):
        """Guards against bytes and behaviour that only a store with eras needs."""
        one, two = Peer(), Peer()
        one.read("op", [build_config(7, 90)], 100, 0)
        two.ask(one)
        table = two.asked[0].tables[0]
        assert (table.era, table.base, table.kept, table.kept_digest) == (None,) * 4
        assert two.view.config.version == 7

    @pytest.mark.parametrize("risen", [False, True])
    def test_peer_of_the_previous_release_counts_until_the_era_rises(self, risen):
        """Guards against rows of a peer that does not notice the store's return."""
        asker, old = Peer(), Peer()
        old.previous_release = True
        old.read("op", [build_config(9, 90)], 100, 0)
        asker.read("op", [build_config(5, 40)], 70, 1)
        if risen:
            asker.read("op", [build_config(5, 40)], 70, 2)
        asker.ask(old)
        assert asker.view.config.version == (5 if risen else 9)
        assert (asker.follower._relayed_s > 0) is False
