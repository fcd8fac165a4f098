"""Tests of the policy plug-ins."""

from __future__ import annotations

import random

import pytest

from jayyoke.core import registry
from jayyoke.ops.policy import PlacementQuery

ENGINES = tuple(f"e{number}" for number in range(20))
POLICIES = ("random", "round-robin", "least-loaded", "rendezvous", "owner")


def _list_order(policy, key="c", utilisation=None, cached_on="", sequence_number=0):
    registry.load_plugins()
    utilisation = utilisation or {}
    query = PlacementQuery(
        key,
        ENGINES,
        lambda name: utilisation.get(name, 0.0),
        random.Random(1),
        sequence_number,
        cached_on,
        1,
    )
    return list(registry.find_plugin("policy", policy)().order(query))


@pytest.mark.parametrize("policy", POLICIES)
class TestEveryPolicy:
    def test_names_each_engine_once(self, policy):
        """Guards against an engine that a policy never tries or tries twice."""
        assert sorted(_list_order(policy, cached_on="e3")) == sorted(ENGINES)


class TestPolicies:
    def test_least_loaded_comes_first(self):
        """Guards against a reversed order of loads."""
        utilisation = dict.fromkeys(ENGINES, 0.9) | {"e7": 0.1}
        assert _list_order("least-loaded", utilisation=utilisation)[0] == "e7"

    def test_round_robin_starts_at_each_engine_in_turn(self):
        """Guards against a policy that always tries the same engine first."""
        assert {
            _list_order("round-robin", sequence_number=number)[0] for number in range(20)
        } == set(ENGINES)

    def test_rendezvous_depends_on_the_chat_only(self):
        """Guards against chats whose first engine changes with the load or the turn."""
        utilisation = dict.fromkeys(ENGINES[:10], 0.99)
        assert _list_order("rendezvous") == _list_order(
            "rendezvous", utilisation=utilisation, sequence_number=5
        )
        assert len({_list_order("rendezvous", key=str(key))[0] for key in range(200)}) == 20

    def test_owner_tries_the_remembered_engine_first_even_if_it_looks_full(self):
        """Guards against giving up a cached prefix because of a stale load report."""
        assert _list_order("owner", utilisation={"e3": 1.5}, cached_on="e3")[0] == "e3"

    def test_owner_leaves_nearly_full_engines_to_returning_chats(self):
        """Guards against new chats that fill nearly full engines while others have room."""
        utilisation = dict.fromkeys(ENGINES[:10], 0.95)
        assert set(_list_order("owner", utilisation=utilisation)[:10]) == set(ENGINES[10:])

    def test_owner_passes_over_a_remembered_engine_that_is_gone(self):
        """Guards against a request to an engine that is no candidate."""
        assert "gone" not in _list_order("owner", cached_on="gone")
