"""Tests of finding the engine that has a prompt."""

from __future__ import annotations

from jayyoke.core.upstream import Upstream
from jayyoke.edge.choose import Candidate, rank_homes
from jayyoke.edge.holder import PromptHolders
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
    return Candidate(upstream, load=0.0, own=0, places=16, latency_s=0.05)


def list_homes() -> list[Upstream]:
    candidates = [describe(found, NOW_S) for found in ENGINES]
    return [found.upstream for found in rank_homes(KEY, candidates)]


class TestFindAddress:
    def test_last_placement_of_this_instance_is_fetched_from(self):
        """Guards against 10,000 tokens that are read again where another engine has them."""
        holders = PromptHolders(describe)
        home, second, third, *_ = list_homes()
        holders.note(PARTS, second, NOW_S)
        holders.note(PARTS, third, NOW_S + 1.0)
        assert holders.find_address(PARTS, KEY, home, SOURCES, NOW_S + 2.0) == third.address

    def test_engine_that_has_the_session_fetches_nothing(self):
        holders = PromptHolders(describe)
        home = list_homes()[0]
        holders.note(PARTS, home, NOW_S)
        assert holders.find_address(PARTS, KEY, home, SOURCES, NOW_S) == ""

    def test_home_is_guessed_for_a_session_placed_by_other_instances(self):
        holders = PromptHolders(describe)
        home, second, *_ = list_homes()
        assert holders.find_address(PARTS, KEY, second, SOURCES, NOW_S) == home.address

    def test_engine_out_of_reach_is_no_source(self):
        """Guards against fetches that wait for an engine behind a cut."""
        holders = PromptHolders(describe)
        home, second, *_ = list_homes()
        holders.note(PARTS, second, NOW_S)
        reachable = {name: found for name, found in SOURCES.items() if found != second}
        assert holders.find_address(PARTS, KEY, home, reachable, NOW_S) == ""
