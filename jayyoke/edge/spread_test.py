"""Tests how requests that do not go to their home are spread."""

from __future__ import annotations

import random
from collections import Counter

import pytest

from jayyoke.core.upstream import Upstream, UpstreamState
from jayyoke.edge.choose import SPREAD_CHOICES, Candidate, choose_upstreams
from jayyoke.edge.spread import MIN_INSTANCES, START_S, Spread

ENGINES = 70
INSTANCES = [f"i{number:02}" for number in range(59)]
LOAD_FACTOR = 2.0
SMALL_PROMPT = 700


def build_candidates(load: float = 0.0, age_s: float | None = None, full: str = ""):
    found = []
    for number in range(ENGINES):
        name = f"e{number:02}"
        upstream = Upstream(name, "s", "a", "127.0.0.1:1", UpstreamState.LIVE, incarnation=name)
        own_load = 20.0 if name == full else load
        found.append(Candidate(upstream, own_load, 0, 16, 0.05, load_age_s=age_s))
    return found


def choose(candidates, spread, tokens=SMALL_PROMPT, mean=3.0, key="session"):
    return choose_upstreams(
        candidates, key, tokens, True, random.Random(1), LOAD_FACTOR, mean, True, spread=spread
    )


class Clock:
    now_s = 100.0


@pytest.fixture
def clock():
    return Clock()


def build_spread(clock, instance="i07", instances=INSTANCES):
    return Spread(instance, lambda: instances, lambda: clock.now_s)


class TestStart:
    def test_first_requests_of_all_instances_meet_at_no_engine(self, clock):
        """Guards against engines above the load bound in the first seconds of traffic."""
        reached: Counter[str] = Counter()
        for name in INSTANCES:
            spread = build_spread(clock, name)
            for _ in range(2):
                choice = choose(build_candidates(), spread, mean=0.0, key="hot")
                reached[choice.order[0].upstream.name] += 1
        assert max(reached.values()) <= 2

    def test_long_prompts_go_home_at_once(self, clock):
        """Guards against long prompts that are computed at random engines and again at home."""
        home = choose(build_candidates(), None, tokens=10_500).order[0].upstream
        found = choose(build_candidates(), build_spread(clock), tokens=10_500, mean=0.0)
        assert found.order[0].upstream == home

    def test_homes_count_once_loads_are_known_or_traffic_is_not_new(self, clock):
        """Guards against sessions that never reach their home, as without any load reports."""
        spread = build_spread(clock)
        home = choose(build_candidates(), None).order[0].upstream
        assert choose(build_candidates(3.0, 0.5), spread).order[0].upstream == home
        clock.now_s += START_S + 0.1
        assert choose(build_candidates(), spread, mean=0.0).order[0].upstream == home

    def test_few_instances_keep_homes(self, clock):
        """Guards against copies of prompts in small fleets, which know the loads at once."""
        spread = build_spread(clock, instances=INSTANCES[: MIN_INSTANCES - 1])
        home = choose(build_candidates(), None).order[0].upstream
        assert choose(build_candidates(), spread).order[0].upstream == home


class TestFullHome:
    def test_instances_leave_a_full_home_for_different_engines(self, clock):
        """Guards against a second engine overloaded by all that leave the same home."""
        home = choose(build_candidates(), None).order[0].upstream.name
        candidates = build_candidates(3.0, 0.5, full=home)
        reached: Counter[str] = Counter()
        for name in INSTANCES:
            reached[choose(candidates, build_spread(clock, name)).order[0].upstream.name] += 1
        assert home not in reached
        assert len(reached) == SPREAD_CHOICES
        assert max(reached.values()) <= 2 * len(INSTANCES) / SPREAD_CHOICES

    def test_long_prompt_leaves_for_the_next_home(self, clock):
        """Guards against a copy of a long prompt at each engine."""
        home = choose(build_candidates(), None).order[0].upstream.name
        candidates = build_candidates(3.0, 0.5, full=home)
        reached = set()
        for name in INSTANCES:
            choice = choose(candidates, build_spread(clock, name), tokens=10_500)
            reached.add(choice.order[0].upstream.name)
        assert len(reached) == 1
