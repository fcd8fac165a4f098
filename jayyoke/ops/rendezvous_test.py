"""Tests of rendezvous hashing."""

from __future__ import annotations

from jayyoke.ops.rendezvous import rank


class TestRank:
    def test_removed_node_moves_only_its_own_keys(self):
        """Guards against reshuffling of chats when an engine leaves."""
        nodes = [f"engine-{index}" for index in range(10)]
        for key in (f"chat-{index}" for index in range(200)):
            before = rank(key, nodes)
            after = rank(key, nodes[1:])
            assert after == [node for node in before if node != nodes[0]]
