"""Tests of choosing upstreams for long prompts that sessions share."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from jayyoke.core.upstream import Upstream
from jayyoke.edge.choose import (
    Candidate,
    choose_upstreams,
    count_shared_tokens,
    find_former_home,
    find_home_key,
    has_free_slot,
    list_shared_parts,
    rank_homes,
)
from jayyoke.platform.message import PromptPart

LONG = 10_000
SHORT = 300
OLD_S = 1000.0


def build(name: str, load: float = 0.0, **fields: object) -> Candidate:
    upstream = Upstream(name, "pool", "a", "127.0.0.1:1", incarnation=name)
    values = {
        "upstream": upstream,
        "load": load,
        "own": int(load),
        "slots": 64,
        "latency_s": 0.06,
        "age_s": OLD_S,
    }
    return Candidate(**(values | fields))


def list_order(candidates, key="session", repeatable=True) -> list[str]:
    mean = sum(found.load for found in candidates) / len(candidates)
    choice = choose_upstreams(candidates, key, LONG, True, random.Random(1), 2.0, mean, repeatable)
    return [found.upstream.name for found in choice.order]


def choose(candidates, key="session", tokens=LONG, engine=True) -> str:
    mean = sum(found.load for found in candidates) / len(candidates)
    choice = choose_upstreams(candidates, key, tokens, engine, random.Random(1), 2.0, mean, True)
    return choice.order[0].upstream.name


class TestHomeKey:
    def test_is_the_last_shared_part(self):
        parts = [PromptPart("all", 500), PromptPart("session", 9000), PromptPart("own", 900)]
        assert find_home_key(parts) == "session"
        assert count_shared_tokens(parts) == 9500

    @pytest.mark.parametrize("parts", [[], [PromptPart("own", 5)]])
    def test_prompt_without_shared_parts_has_none(self, parts):
        assert find_home_key(parts) == ""


class TestHomes:
    def test_instances_agree_whatever_the_order(self):
        """Guards against a session whose prompt each instance sends to another engine."""
        candidates = [build(f"e{number}") for number in range(6)]
        shuffled = list(reversed(candidates))
        for number in range(50):
            assert choose(candidates, f"s{number}") == choose(shuffled, f"s{number}")

    def test_only_sessions_of_a_lost_engine_move(self):
        """Guards against computing every prompt again when one engine leaves."""
        candidates = [build(f"e{number}") for number in range(6)]
        before = {f"s{n}": choose(candidates, f"s{n}") for n in range(200)}
        left = [found for found in candidates if found.upstream.name != "e3"]
        for key, home in before.items():
            if home != "e3":
                assert choose(left, key) == home

    def test_new_engine_is_the_home_of_few_sessions_at_first_and_all_later(self):
        """Guards against a new engine that gets its full share at once, or never."""
        old = [build(f"e{number}") for number in range(5)]
        shares = []
        for age_s in (0.0, 1000.0):
            new = build("new", age_s=age_s)
            homes = Counter(choose([*old, new], f"s{n}") for n in range(600))
            shares.append(homes["new"])
        assert 0 < shares[0] < 0.6 * shares[1]
        assert 60 <= shares[1] <= 140

    def test_former_home_of_a_moved_session_is_the_next_in_rank(self):
        """Guards against fetching a prompt from an engine that never had it."""
        old = [build(f"e{number}") for number in range(5)]
        new = build("new", age_s=5.0)
        for number in range(100):
            key = f"s{number}"
            if choose([*old, new], key) != "new":
                continue
            former = find_former_home(key, [*old, new], "new")
            assert former is not None
            assert former.name == choose(old, key)

    def test_old_engine_has_no_former_home(self):
        old = [build(f"e{number}") for number in range(5)]
        assert find_former_home("s", old, "e1") is None


class TestLoad:
    def test_long_prompt_stays_at_a_home_of_usual_load(self):
        """Guards against computing 10,000 tokens again to save a little wait."""
        names = [f"e{number}" for number in range(5)]
        home = rank_homes("session", [build(name) for name in names])[0].upstream.name
        candidates = [build(name, 10.0 if name == home else 6.0) for name in names]
        assert choose(candidates) == home

    def test_short_prompt_leaves_a_loaded_home_first(self):
        """Guards against long prompts that lose their home to short ones."""
        names = [f"e{number}" for number in range(5)]
        home = rank_homes("session", [build(name) for name in names])[0].upstream.name
        candidates = [build(name, 10.0 if name == home else 6.0) for name in names]
        assert choose(candidates, tokens=SHORT) != home

    @pytest.mark.parametrize("tokens", [LONG, SHORT])
    def test_no_engine_exceeds_the_bound_when_one_session_is_hot(self, tokens):
        """Guards against an engine above twice the mean plus 3 while others have free slots.

        Sends 200 requests of which two thirds belong to one session, none of which ends.
        """
        loads = Counter({f"e{number}": 0 for number in range(6)})
        source = random.Random(7)
        for number in range(200):
            key = "hot" if source.random() < 0.66 else f"s{number}"
            candidates = [build(name, float(load)) for name, load in loads.items()]
            mean = sum(loads.values()) / len(loads)
            chosen = choose(candidates, key, tokens)
            assert loads[chosen] <= 2 * mean + 3
            loads[chosen] += 1

    def test_idle_engines_that_a_request_may_not_use_count_in_the_mean(self):
        """Guards against a home above the bound of a service half of which may not be used."""
        names = [f"e{number}" for number in range(5)]
        home = rank_homes("session", [build(name) for name in names])[0].upstream.name
        candidates = [build(name, 9.0 if name == home else 4.0) for name in names]
        order = choose_upstreams(
            candidates, "session", LONG, True, random.Random(1), 2.0, 2.5, True
        )
        assert order.order[0].upstream.name != home

    @pytest.mark.parametrize("key", ["session", ""])
    def test_only_engine_not_suspended_does_not_get_all_requests(self, key):
        """Guards against an engine above twice the mean plus 3 because all others are suspended."""
        others = [build(f"e{number}", 9.0, suspended=True) for number in range(5)]
        order = list_order([build("last", 37.0), *others], key)
        assert order
        assert "last" not in order

    def test_request_that_must_not_repeat_is_not_sent_to_a_suspended_engine(self):
        others = [build(f"e{number}", 9.0, suspended=True) for number in range(5)]
        assert list_order([build("last", 37.0), *others], repeatable=False) == []

    def test_limit_holds_if_other_domains_are_unreachable(self):
        """Guards against requests to an unreachable domain because the other engines are full."""
        others = [build(f"e{number}", 9.0, unreachable=True) for number in range(5)]
        assert list_order([build("last", 37.0), *others]) == []

    def test_limit_holds_if_every_engine_is_suspended_or_unreachable(self):
        candidates = [build("e1", 30.0, suspended=True), build("e2", 5.0, suspended=True)]
        candidates += [build(f"e{number}", 5.0, unreachable=True) for number in range(3, 7)]
        assert "e1" not in list_order(candidates)
        assert len(list_order(candidates)) == 5

    def test_only_engine_of_a_service_is_never_above_the_limit(self):
        assert list_order([build("e1", 50.0)]) == ["e1"]

    def test_suspended_engine_is_passed_over(self):
        names = [f"e{number}" for number in range(5)]
        home = rank_homes("session", [build(name) for name in names])[0].upstream.name
        candidates = [build(name, suspended=name == home) for name in names]
        assert choose(candidates) != home

    def test_suspended_engine_is_used_if_there_is_no_other(self):
        assert choose([build("e1", suspended=True)]) == "e1"

    def test_full_engine_has_no_free_slot(self):
        assert has_free_slot(build("e1", 63.0))
        assert not has_free_slot(build("e1", 64.0))


class TestNearBound:
    """Tests a service of which few engines may be used, so that their load is near the bound."""

    def test_own_requests_are_spread_evenly(self):
        """Guards against instances that all send to the engine that seems the least loaded."""
        usable = [build(f"e{number}", 8.0 + number, own=2) for number in range(5)]
        usable.append(build("fewest", 10.0, own=1))
        source = random.Random(1)
        for number in range(20):
            choice = choose_upstreams(usable, f"s{number}", LONG, True, source, 2.0, 4.5, True)
            assert choice.order[0].upstream.name == "fewest"

    def test_session_stays_at_its_home_among_equals(self):
        usable = [build(f"e{number}", 8.0 + number % 2, own=1) for number in range(6)]
        source = random.Random(1)
        for number in range(20):
            key = f"s{number}"
            choice = choose_upstreams(usable, key, LONG, True, source, 2.0, 4.5, True)
            assert choice.order[0] == rank_homes(key, usable)[0]

    def test_instance_with_few_requests_sends_sessions_to_their_homes(self):
        """Guards against computing prompts at every engine without evening the load."""
        usable = [build(f"e{number}", 5.0, own=int(number < 3)) for number in range(23)]
        source = random.Random(1)
        for number in range(20):
            key = f"s{number}"
            choice = choose_upstreams(usable, key, LONG, True, source, 2.0, 2.6, True)
            assert choice.order[0] == rank_homes(key, usable)[0]

    def test_limit_is_the_bound_itself(self):
        """Guards against refusals because the usual load limit is below the mean load."""
        usable = [build(f"e{number}", 20.0, own=3) for number in range(6)]
        source = random.Random(1)
        assert choose_upstreams(usable, "s", LONG, True, source, 2.0, 10.0, True).order
        over = [build(f"e{number}", 22.0, own=3) for number in range(6)]
        assert not choose_upstreams(over, "s", LONG, True, source, 2.0, 10.0, True).order


class TestPlainService:
    def test_least_work_goes_first(self):
        candidates = [build("a", own=3), build("b", own=1), build("c", own=2)]
        assert choose(candidates, "", 0, engine=False) == "b"

    def test_slow_upstream_gets_less(self):
        """Guards against a slow upstream that gets as much as the others."""
        candidates = [build("slow", own=1, latency_s=0.4), build("fast", own=2, latency_s=0.05)]
        assert choose(candidates, "", 0, engine=False) == "fast"


class TestSharedParts:
    """Tests which parts of a prompt other requests may have."""

    def test_last_part_is_never_shared(self):
        """Guards against a quarantine of the part that belongs to one request alone."""
        parts = [PromptPart(name, 10) for name in ("a", "b", "last")]
        assert list_shared_parts(parts) == ["a", "b"]
        assert list_shared_parts(parts[:1]) == []
        assert list_shared_parts([]) == []
