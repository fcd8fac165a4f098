"""Tests of when requests leave the failure domain of their instance."""

from __future__ import annotations

import itertools
import math
import random
from collections import Counter
from dataclasses import replace

import pytest

from jayyoke.core.entrysettings import HomeScope, ZoneSettings
from jayyoke.core.upstream import Upstream
from jayyoke.edge.choose import Candidate, choose_upstreams
from jayyoke.zones.load import find_leaving_share, sum_by_domain
from jayyoke.zones.preference import Zones

DOMAINS = ("a", "b", "c")
PER_DOMAIN = 4
LONG = 10_000
SHORT = 300
OWN = ZoneSettings(short_homes=HomeScope.OWN, long_homes=HomeScope.OWN, plain=True)


def build(
    loads: dict[str, float] | None = None, slots: int = 32, latency_s: float = 0.06
) -> list[Candidate]:
    found = []
    for domain in DOMAINS:
        load = (loads or {}).get(domain, 10.0)
        for number in range(PER_DOMAIN):
            name = f"{domain}{number}"
            upstream = Upstream(name, "pool", domain, f"10.0.0.{number}:1", incarnation=name)
            found.append(Candidate(upstream, load, 1, slots, latency_s, age_s=1000.0))
    return found


def choose(
    candidates: list[Candidate],
    settings: ZoneSettings,
    key: str = "session",
    tokens: int = LONG,
    engine: bool = True,
    domain: str = "a",
    seed: int = 1,
) -> Candidate:
    mean = sum(found.load for found in candidates) / len(candidates)
    zones = Zones(domain, settings)
    source = random.Random(seed)
    choice = choose_upstreams(candidates, key, tokens, engine, source, 2.0, mean, True, zones)
    return choice.order[0]


def count_domains(
    candidates: list[Candidate], settings: ZoneSettings, count: int = 300, **fields: object
) -> Counter[str]:
    found = []
    for number in range(count):
        chosen = choose(candidates, settings, f"s{number}", seed=number, **fields)  # type: ignore[arg-type]
        found.append(chosen.upstream.domain)
    return Counter(found)


class TestInactive:
    @pytest.mark.parametrize("tokens", [SHORT, LONG])
    def test_default_settings_keep_the_order_of_upstreams(self, tokens):
        """Guards against a changed placement on deployments that did not ask for one."""
        candidates = build({"a": 20.0, "b": 3.0})
        for number in range(50):
            fields = {"key": f"s{number}", "tokens": tokens, "seed": number}
            assert choose(candidates, ZoneSettings(), **fields) == choose(
                candidates, OWN, domain="", **fields
            )
            plain = {"key": "", "engine": False, "seed": number}
            assert choose(candidates, ZoneSettings(), **plain) == choose(
                candidates, OWN, domain="", **plain
            )

    def test_default_settings_fetch_from_every_domain(self):
        engines = [found.upstream for found in build()]
        groups = Zones("a").list_sources(engines[0], engines, 3.3e9)
        assert [len(group) for group in groups] == [len(engines)]


class TestHomes:
    @pytest.mark.parametrize("tokens", [SHORT, LONG])
    def test_own_domain_keeps_its_sessions_while_domains_are_alike(self, tokens):
        """Guards against bytes between domains on a calm day."""
        assert count_domains(build(), OWN, tokens=tokens) == {"a": 300}

    def test_short_and_long_prompts_have_separate_switches(self):
        short = ZoneSettings(short_homes=HomeScope.OWN)
        assert count_domains(build(), short, tokens=SHORT) == {"a": 300}
        assert len(count_domains(build(), short, tokens=LONG)) == 3
        long = ZoneSettings(long_homes=HomeScope.OWN)
        assert count_domains(build(), long, tokens=LONG) == {"a": 300}
        assert len(count_domains(build(), long, tokens=SHORT)) == 3

    def test_loaded_domain_gives_away_only_part_of_its_sessions(self):
        """Guards against instances that together overload another domain in a wave of demand."""
        counts = count_domains(build({"a": 24.0}), OWN)
        assert 0.2 * 300 < counts["a"] < 0.7 * 300
        assert min(counts["b"], counts["c"]) > 30

    def test_same_sessions_leave_as_the_load_grows(self):
        """Guards against prompts that are computed again whenever the shares change a little."""
        left: set[str] = set()
        for load in (14.0, 18.0, 22.0, 26.0):
            candidates = build({"a": load})
            leaving = set()
            for number in range(200):
                if choose(candidates, OWN, f"s{number}").upstream.domain != "a":
                    leaving.add(f"s{number}")
            assert left <= leaving
            left = leaving

    def test_session_scope_has_one_home_for_all_instances(self):
        """Guards against a session's prompt that is computed in each domain it comes from."""
        settings = ZoneSettings(long_homes=HomeScope.SESSION)
        for number in range(50):
            homes = {choose(build(), settings, f"s{number}", domain=d).upstream for d in DOMAINS}
            assert len(homes) == 1

    def test_session_that_leaves_its_home_stays_in_the_domain_of_its_home(self):
        """Guards against a cached prompt that must be fetched from another domain."""
        settings = ZoneSettings(long_homes=HomeScope.SESSION)
        for number in range(50):
            candidates = build()
            home = choose(candidates, settings, f"s{number}").upstream
            full = [replace(f, load=40.0) if f.upstream == home else f for f in candidates]
            assert choose(full, settings, f"s{number}").upstream.domain == home.domain

    def test_full_engines_of_the_own_domain_come_after_free_ones_elsewhere(self):
        full = [
            replace(found, load=31.0) if found.upstream.domain == "a" else found
            for found in build({"b": 2.0, "c": 2.0})
        ]
        assert count_domains(full, OWN)["a"] == 0


class TestLeavingShare:
    def test_domain_that_lost_its_engines_gives_requests_away_before_they_are_loaded(self):
        """Guards against all requests of a domain that go to its last engine."""
        left = [f for f in build() if f.upstream.domain != "a" or f.upstream.name == "a0"]
        share = find_leaving_share(sum_by_domain(left), "a")
        assert share >= 0.5

    def test_domain_without_engines_gives_everything_away(self):
        left = [found for found in build() if found.upstream.domain != "a"]
        assert find_leaving_share(sum_by_domain(left), "a") == 1.0
        assert count_domains(left, OWN)["a"] == 0

    def test_only_domain_keeps_everything(self):
        own = [found for found in build({"a": 60.0}) if found.upstream.domain == "a"]
        assert find_leaving_share(sum_by_domain(own), "a") == 0.0

    def test_share_grows_steadily(self):
        shares = []
        for load in range(10, 60, 2):
            shares.append(find_leaving_share(sum_by_domain(build({"a": float(load)})), "a"))
        assert shares == sorted(shares)
        assert all(after - before < 0.2 for before, after in itertools.pairwise(shares))


class TestPlain:
    def test_requests_stay_while_servers_have_room(self):
        servers = build({"a": 2.0, "b": 0.0, "c": 0.0}, slots=6)
        assert count_domains(servers, OWN, engine=False) == {"a": 300}

    def test_requests_leave_servers_that_are_busier(self):
        servers = build({"a": 6.0, "b": 1.0, "c": 1.0}, slots=6)
        counts = count_domains(servers, OWN, engine=False)
        assert counts["a"] < 0.5 * 300

    def test_request_crosses_if_the_wait_is_longer_than_crossing_costs(self):
        servers = []
        for found in build({"a": 2.0, "b": 2.0, "c": 2.0}, slots=6):
            slow_s = 0.2 if found.upstream.domain == "a" else 0.06
            servers.append(replace(found, latency_s=slow_s))
        assert count_domains(servers, OWN, engine=False)["a"] == 0
        dear = replace(OWN, crossing_cost_s=1.0)
        assert count_domains(servers, dear, engine=False) == {"a": 300}

    def test_domain_without_servers_uses_the_others(self):
        left = [found for found in build(slots=6) if found.upstream.domain != "a"]
        assert set(count_domains(left, OWN, engine=False)) == {"b", "c"}


class TestFetch:
    def test_large_prompt_is_fetched_within_the_domain_only(self):
        """Guards against 3.3 GB between domains to save 75 ms of computing."""
        engines = [found.upstream for found in build()]
        zones = Zones("a", ZoneSettings(fetch_max_bytes=0.0))
        groups = zones.list_sources(engines[0], engines, 1.6e9)
        assert [{found.domain for found in group.values()} for group in groups] == [{"a"}]

    def test_own_domain_is_asked_first_where_each_domain_has_a_home(self):
        engines = [found.upstream for found in build()]
        groups = Zones("a", OWN).list_sources(engines[0], engines, 1.6e9)
        assert [len(group) for group in groups] == [PER_DOMAIN, len(engines)]
        assert OWN.fetch_max_bytes == math.inf
