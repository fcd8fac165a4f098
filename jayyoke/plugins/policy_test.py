"""Tests of the policy plug-ins."""

from __future__ import annotations

import random

import pytest

from jayyoke.core import kernel
from jayyoke.ops.policy import Question

ENGINES = tuple(f"e{number}" for number in range(20))
POLICIES = ("random", "round-robin", "least-loaded", "rendezvous", "owner")


def _order(policy, key="c", used=None, remembered="", turn=0):
    kernel.load()
    used = used or {}
    question = Question(
        key, ENGINES, lambda name: used.get(name, 0.0), random.Random(1), turn, remembered, 1
    )
    return list(kernel.find("policy", policy)().order(question))


@pytest.mark.parametrize("policy", POLICIES)
class TestEveryPolicy:
    def test_names_each_engine_once(self, policy):
        """Guards against an engine that a policy never tries or tries twice."""
        assert sorted(_order(policy, remembered="e3")) == sorted(ENGINES)


class TestPolicies:
    def test_least_loaded_comes_first(self):
        """Guards against a reversed order of loads."""
        used = dict.fromkeys(ENGINES, 0.9) | {"e7": 0.1}
        assert _order("least-loaded", used=used)[0] == "e7"

    def test_round_robin_turns(self):
        """Guards against a turn that stays at one engine."""
        assert {_order("round-robin", turn=turn)[0] for turn in range(20)} == set(ENGINES)

    def test_rendezvous_depends_on_the_chat_only(self):
        """Guards against chats that move with the load or the turn."""
        used = dict.fromkeys(ENGINES[:10], 0.99)
        assert _order("rendezvous") == _order("rendezvous", used=used, turn=5)
        assert len({_order("rendezvous", key=str(key))[0] for key in range(200)}) == 20

    def test_owner_tries_the_remembered_engine_first_even_if_it_looks_full(self):
        """Guards against a stale digest that costs a cache."""
        assert _order("owner", used={"e3": 1.5}, remembered="e3")[0] == "e3"

    def test_owner_leaves_nearly_full_engines_to_returning_chats(self):
        """Guards against new chats that take the last of the bound where there is a choice."""
        used = dict.fromkeys(ENGINES[:10], 0.95)
        assert set(_order("owner", used=used)[:10]) == set(ENGINES[10:])

    def test_owner_passes_over_a_remembered_engine_that_is_gone(self):
        """Guards against a request to an engine that is no candidate."""
        assert "gone" not in _order("owner", remembered="gone")
