"""Plays loads with too little room in virtual time, and checks what must hold."""

from __future__ import annotations

import math
import random
from collections import Counter

import pytest

from bench.roomfleet import DOMAINS, KINDS, RoomFleet, Served, find_share
from jayyoke.core.entrysettings import AdmissionSettings, HomeScope, ZoneSettings

BEGIN_S = 8.0
LENGTH_S = 22.0
ON = AdmissionSettings(enabled=True)
# The users' margin between a less and a more urgent kind.
SERVED_MARGIN = 0.05
# Teams of uneven size; the first has a quarter of the calls, the ninth a thirty-fourth.
TEAMS = {f"t{number}": 1.0 / (number + 1) for number in range(24)}


def play(
    multiple: float, admission: AdmissionSettings = ON, seed: int = 1, age_s: float = 0.2, **fields
) -> tuple[RoomFleet, list[Served]]:
    fleet = RoomFleet(
        12,
        12,
        16,
        seed,
        admission=admission,
        find_rate=lambda kind, domain, at_s: multiple if at_s >= BEGIN_S else min(0.85, multiple),
        figures_age_s=age_s,
        **fields,
    )
    return fleet, [call for call in fleet.run(LENGTH_S) if call.at_s >= BEGIN_S]


class TestRanks:
    @pytest.mark.parametrize("multiple", [1.0, 1.3, 1.7])
    def test_less_urgent_kind_is_never_served_better(self, multiple):
        """Guards against slots that go to whoever asks first; off, ranks are served alike."""
        _, served = play(multiple)
        shares = [find_share(served, rank=rank) for rank in range(3)]
        for urgent, other in ((0, 1), (1, 2), (0, 2)):
            assert shares[other] <= shares[urgent] + SERVED_MARGIN
        assert shares[0] > 0.95
        assert shares[1] > 0.85

    @pytest.mark.parametrize("multiple", [1.3, 1.7])
    def test_refused_calls_were_not_held(self, multiple):
        """Guards against calls that wait for half of their objective and are refused then."""
        _, served = play(multiple)
        aims_s = {kind.rank: kind.aim_s for kind in KINDS}
        held = [c for c in served if c.first_s is None and c.decided_s > aims_s[c.rank] / 8 + 0.01]
        refused = [call for call in served if call.reason]
        assert len(held) <= 0.01 * len(refused)

    def test_slots_are_used_while_calls_are_refused(self):
        """Guards against refusals beyond what is needed."""
        fleet, _ = play(1.7)
        used = [part for at_s, part in fleet.used if BEGIN_S + 2.0 < at_s < LENGTH_S]
        assert sum(used) / len(used) > 0.8

    def test_figures_that_are_old_change_little(self):
        """Guards against an admitted part that swings with figures up to 0.6 s old."""
        _, served = play(1.3, age_s=0.6)
        shares = [find_share(served, rank=rank) for rank in range(3)]
        assert shares[0] > 0.95
        assert shares[0] + SERVED_MARGIN >= shares[1] >= shares[2] - SERVED_MARGIN

    @pytest.mark.parametrize("silent_from_s", [0.0, 12.0])
    def test_instances_that_hear_nothing_go_on(self, silent_from_s):
        """Guards against instances that refuse urgent calls, or all, while followers are lost."""
        fleet, served = play(1.3, silent_from_s=silent_from_s)
        shares = [find_share(served, rank=rank) for rank in range(3)]
        assert shares[0] > 0.8
        assert shares[0] + SERVED_MARGIN >= shares[1] >= shares[2] - SERVED_MARGIN
        used = [part for at_s, part in fleet.used if 14.0 < at_s < LENGTH_S]
        assert sum(used) / len(used) > 0.7

    def test_nothing_is_refused_while_there_is_room(self):
        """Guards against refusals or waits on a calm day."""
        _, served = play(0.7)
        assert not [call for call in served if call.reason]
        assert max(call.decided_s for call in served) < 0.01


class TestReturns:
    def test_second_wave_stays_below_the_first(self):
        """Guards against refused callers that come back together."""
        fleet = RoomFleet(
            12,
            12,
            16,
            1,
            admission=ON,
            find_rate=lambda kind, domain, at_s: 3.0 if 8.0 <= at_s < 10.0 else 0.6,
        )
        fleet.run(18.0)
        arrivals = Counter(int(2 * at_s) for at_s, _ in fleet.arrivals)
        first = max(arrivals[step] for step in range(16, 20))
        assert max(arrivals[step] for step in range(20, 34)) <= first
        # Urgent calls that return 3 s after the wave are served.
        returned = [c for c in fleet.served if c.attempt == 1 and c.rank < 2 and c.at_s > 13.0]
        assert len(returned) > 10
        assert sum(call.first_s is not None for call in returned) > 0.7 * len(returned)


class TestTeams:
    def play_surge(self, surging: str, factor: float) -> list[Served]:
        share = TEAMS[surging] / sum(TEAMS.values())

        def find_rate(kind, domain, at_s: float) -> float:
            return 0.8 * (1.0 + share * (factor - 1.0) * (at_s >= 20.0))

        def find_team(source: random.Random, at_s: float) -> str:
            weights = dict(TEAMS)
            if at_s >= 20.0:
                weights[surging] *= factor
            return source.choices(list(weights), list(weights.values()))[0]

        fleet = RoomFleet(12, 12, 16, 1, admission=ON, find_rate=find_rate, find_team=find_team)
        return [call for call in fleet.run(50.0) if call.at_s >= 20.0]

    def test_surge_of_a_team_takes_little_from_others(self):
        """Guards against a team at 7.5 times its usual that is served at the others' expense."""
        served = self.play_surge("t8", 7.5)
        others = [call for call in served if call.team != "t8"]
        assert find_share(others) > 0.95
        assert find_share(served, team="t8") < find_share(others)

    def test_others_are_served_before_the_surplus_of_the_largest_team(self):
        """Guards against calls of others that are refused as long as the surge lasts."""
        served = [call for call in self.play_surge("t0", 7.5) if call.at_s >= 30.0]
        others = [call for call in served if call.team != "t0"]
        assert find_share(others) > 0.95
        assert find_share(served, team="t0") < 0.6


class TestDomains:
    """Plays waves of demand that move between the domains, with and without homes by domain."""

    OWN = ZoneSettings(0.0, HomeScope.OWN, HomeScope.OWN)

    def play_waves(
        self,
        zones: ZoneSettings,
        engines: int | tuple[str, ...] = 12,
        base: float = 0.6,
        instances: int = 12,
    ) -> list[Served]:
        def find_rate(kind, domain: str, at_s: float) -> float:
            phase = at_s / 13.0 + DOMAINS.index(domain) / len(DOMAINS)
            return base * (1.0 + 0.55 * math.sin(2.0 * math.pi * phase))

        fleet = RoomFleet(
            instances, engines, 16, 1, zones=zones, find_rate=find_rate, figures_age_s=0.6
        )
        return [call for call in fleet.run(24.0) if call.at_s >= 6.0]

    def find_crossing(self, served: list[Served]) -> float:
        placed = [call for call in served if call.placed_in]
        return sum(call.placed_in != call.domain for call in placed) / len(placed)

    @pytest.mark.parametrize("instances", [12, 60])
    def test_fewer_calls_cross_domains_and_as_many_are_served(self, instances):
        """Guards against bytes between domains, and domains that keep what they can't serve."""
        before = self.play_waves(ZoneSettings(), instances=instances)
        served = self.play_waves(self.OWN, instances=instances)
        assert self.find_crossing(served) < 2 / 3 * self.find_crossing(before)
        assert find_share(served) >= find_share(before) - 0.01
        for domain in DOMAINS:
            assert find_share(served, domain=domain) > find_share(served) - 0.05

    def test_no_prompt_is_fetched_across_domains(self):
        served = self.play_waves(self.OWN, base=0.85)
        assert [call for call in served if call.fetched_from]
        assert not [c for c in served if c.fetched_from and c.fetched_from != c.placed_in]

    @pytest.mark.parametrize("instances", [12, 60])
    def test_domain_that_lost_its_engines_is_served_by_the_others(self, instances):
        """Guards against the last engine of a domain that gets all of its calls."""
        engines = ("a", *"bbbbb", *"ccccc")
        served = self.play_waves(self.OWN, engines, instances=instances)
        for domain in DOMAINS:
            assert find_share(served, domain=domain) > find_share(served) - 0.1
        assert find_share(served) > 0.97
