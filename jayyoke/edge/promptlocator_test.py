"""Tests of finding the engine that has a prompt."""

from __future__ import annotations

from jayyoke.core.upstream import Upstream
from jayyoke.edge.choose import Candidate, rank_homes
from jayyoke.edge.promptlocator import PromptLocator
from jayyoke.platform.message import PromptPart

PARTS = (PromptPart("system", 500), PromptPart("session", 10_000), PromptPart("own", 900))
KEY = "session"
NOW_S = 100.0
ENGINES = [
    Upstream(f"e{number}", "engines", "a", f"10.0.0.{number}:1", incarnation=f"e{number}")
    for number in range(6)
]
SOURCES = {found.incarnation: found for found in ENGINES}


def describe(upstream: Upstream, now_s: float) -> Candidate:
    return Candidate(upstream, load=0.0, own=0, slots=16, latency_s=0.05)


def list_homes() -> list[Upstream]:
    candidates = [describe(found, NOW_S) for found in ENGINES]
    return [found.upstream for found in rank_homes(KEY, candidates)]


class TestFindAddress:
    def test_prompt_is_fetched_from_the_last_placement_of_this_instance(self):
        """Guards against computing 10,000 tokens again although another engine has them."""
        locator = PromptLocator(describe)
        home, second, third, *_ = list_homes()
        locator.record(PARTS, second, NOW_S)
        locator.record(PARTS, third, NOW_S + 1.0)
        assert locator.find_address(PARTS, KEY, home, SOURCES, NOW_S + 2.0) == third.address

    def test_engine_that_has_the_session_fetches_nothing(self):
        locator = PromptLocator(describe)
        home = list_homes()[0]
        locator.record(PARTS, home, NOW_S)
        assert locator.find_address(PARTS, KEY, home, SOURCES, NOW_S) == ""

    def test_home_is_guessed_for_a_session_placed_by_other_instances(self):
        locator = PromptLocator(describe)
        home, second, *_ = list_homes()
        assert locator.find_address(PARTS, KEY, second, SOURCES, NOW_S) == home.address

    def test_unreachable_engine_is_no_source(self):
        """Guards against fetches that wait for an engine behind a partition."""
        locator = PromptLocator(describe)
        home, second, *_ = list_homes()
        locator.record(PARTS, second, NOW_S)
        reachable = {name: found for name, found in SOURCES.items() if found != second}
        assert locator.find_address(PARTS, KEY, home, reachable, NOW_S) == ""
