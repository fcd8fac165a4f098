"""Rendezvous hashing."""

from __future__ import annotations

from jayyoke.ops.rendezvous import choose_weighted, rank


class TestRank:
    def test_removed_node_moves_only_its_own_keys(self):
        """Guards against chats that move between remaining engines when an engine leaves."""
        nodes = [f"engine-{index}" for index in range(10)]
        for key in (f"chat-{index}" for index in range(200)):
            before = rank(key, nodes)
            after = rank(key, nodes[1:])
            assert after == [node for node in before if node != nodes[0]]


class TestChooseWeighted:
    def test_shares_follow_the_weights(self):
        """Guards against home domains chosen without regard to the capacity of the domains."""
        weights = {"a": 1.0, "b": 3.0, "none": 0.0}
        homes = [choose_weighted(f"chat-{number}", weights) for number in range(4000)]
        assert homes.count("none") == 0
        # The standard deviation of the count is 27.
        assert abs(homes.count("b") - 3000) < 150

    def test_a_larger_weight_only_adds_keys(self):
        """Guards against chats that move away from the domain that grew."""
        for number in range(1000):
            chat = f"chat-{number}"
            before = choose_weighted(chat, {"a": 1.0, "b": 1.0, "c": 1.0})
            after = choose_weighted(chat, {"a": 1.0, "b": 1.2, "c": 1.0})
            assert after in (before, "b")

    def test_no_node_with_a_weight_gives_none(self):
        """Guards against an error while every domain is without engines."""
        assert choose_weighted("chat", {"a": 0.0}) is None
        assert choose_weighted("chat", {}) is None
