"""Tests how the choice of an upstream weighs slowness."""

from __future__ import annotations

import random
from collections import Counter
from dataclasses import replace

from jayyoke.core.upstream import Upstream, UpstreamState
from jayyoke.edge.choose import Candidate, choose_upstreams, rank_homes
from jayyoke.pace.latency import LastAnswer

ENGINES = 12
SHORT, LONG = 700, 10_500


def build_candidates(slow=(), **fields):
    found = []
    for number in range(ENGINES):
        name = f"e{number:02}"
        upstream = Upstream(name, "s", "a", "127.0.0.1:1", UpstreamState.LIVE, incarnation=name)
        slowness = 2.5 if name in slow else 1.0
        found.append(Candidate(upstream, 3.0, 0, 16, 0.1, slowness=slowness, **fields))
    return found


def choose(candidates, tokens=SHORT, key="session", engine=True, **fields):
    source = random.Random(1)
    return choose_upstreams(candidates, key, tokens, engine, source, 2.0, 3.0, True, **fields)


def find_home(key="session"):
    return rank_homes(key, build_candidates())[0].upstream.name


class TestHome:
    def test_short_prompt_leaves_a_slow_home_for_the_next_one(self):
        """Guards against requests that wait at a machine in a spell."""
        ranked = rank_homes("session", build_candidates())
        slow = {ranked[0].upstream.name, ranked[1].upstream.name}
        choice = choose(build_candidates(slow))
        assert choice.order[0].upstream == ranked[2].upstream
        assert choice.reason == "home,slow"
        assert len(choice.order) == ENGINES

    def test_long_prompt_stays_unless_engines_fetch_prompts(self):
        """Guards against prompts computed again for less than that costs."""
        home = find_home()
        candidates = build_candidates({home})
        assert choose(candidates, LONG).order[0].upstream.name == home
        assert choose(candidates, LONG, fetches=True).order[0].upstream.name != home

    def test_long_prompt_leaves_a_slow_home_that_started_lately(self):
        """Guards against prompts that are computed at a slow machine, which has no copy."""
        home = find_home()
        candidates = build_candidates({home})
        for index, found in enumerate(candidates):
            if found.upstream.name == home:
                candidates[index] = replace(found, age_s=5.0)
        fresh = [replace(found, age_s=5.0) for found in candidates]
        assert choose(fresh, LONG).order[0].upstream.name != home

    def test_requests_that_leave_do_not_meet_at_one_engine(self):
        """Guards against one fast machine that gets what all slow ones lose."""
        reached: Counter[str] = Counter()
        slow = {"e03", "e07"}
        for number in range(600):
            choice = choose(build_candidates(slow), key=f"session-{number}")
            if choice.reason == "home,slow":
                reached[choice.order[0].upstream.name] += 1
        assert len(reached) == ENGINES - len(slow)
        assert max(reached.values()) < 0.25 * sum(reached.values())

    def test_slow_engine_comes_before_loaded_ones(self):
        """Guards against the load bound exceeded to avoid a slow machine."""
        candidates = build_candidates({"e05"})
        candidates = [f if f.slowness > 1.0 else replace(f, load=6.0) for f in candidates]
        assert choose(candidates).order[0].upstream.name == "e05"

    def test_nothing_changes_without_figures(self):
        choice = choose(build_candidates())
        assert choice.order[0].upstream.name == find_home()
        assert choice.reason == "home"


class TestWait:
    def test_plain_upstream_that_is_slow_gets_less(self):
        """Guards against plain services whose slow machine gets as much as the others."""
        candidates = build_candidates({"e00"})[:2]
        choice = choose(candidates, key="", engine=False)
        assert [found.upstream.name for found in choice.order] == ["e01", "e00"]
        busy = [candidates[0], replace(candidates[1], own=4)]
        assert choose(busy, key="", engine=False).order[0].upstream.name == "e00"

    def test_last_answer_counts_at_plain_upstreams_alone(self):
        """Guards against engines placed by answer times that depend on the prompt."""
        candidates = build_candidates()[:2]
        candidates[0] = replace(candidates[0], last_answer=LastAnswer(0.3, 0.0))
        for number in range(8):
            key = f"k{number}"
            assert choose(candidates, key="", engine=False).order[0].upstream.name == "e01"
            without = choose([replace(f, last_answer=None) for f in candidates], key=key)
            assert choose(candidates, key=key).order == tuple(
                next(f for f in candidates if f.upstream == g.upstream) for g in without.order
            )
