"""Tests of admitting calls while room is scarce, without a network."""

from __future__ import annotations

import random

import pytest

from jayyoke.admission.demand import Demand, DemandCounter
from jayyoke.admission.gate import Asked, Gate, Room
from jayyoke.admission.levels import Level, find_chance, find_chances
from jayyoke.admission.surge import find_kept

RANKS = tuple(Level(False, rank) for rank in range(3))
SURPLUS = Level(True, 0)
# Twelve engines with 16 slots; the ranks occupy 21, 59 and 106 slots.
ARRIVED = {RANKS[0]: 21.0, RANKS[1]: 37.0, RANKS[2]: 23.0}
ENDED = {RANKS[0]: (21.0, 21.0), RANKS[1]: (37.0, 59.0), RANKS[2]: (23.0, 106.0)}
SLOTS = 192


def build_demand(multiple: float, running: float) -> Demand:
    arrived = {level: multiple * rate for level, rate in ARRIVED.items()}
    return Demand(arrived, sum(arrived.values()), running, ENDED)


def decide(gate: Gate, rank: int, left_s: float = 8.0, team: str = "team"):
    return gate.decide(Asked(rank, team, 0.4, left_s, 0.1), 100.0)


def build_gate(multiple: float, per_slot: float) -> Gate:
    gate = Gate(99.0, random.Random(1))
    room = Room(SLOTS, per_slot, 2.0, 12)
    gate.update(100.0, room, build_demand(multiple, per_slot * SLOTS))
    return gate


def find_admitted(gate: Gate, rank: int, **fields: object) -> float:
    return sum(decide(gate, rank, **fields) is None for _ in range(500)) / 500  # type: ignore[arg-type]


class TestLevels:
    def test_less_urgent_levels_are_cut_first(self):
        slots = {RANKS[0]: 20.0, RANKS[1]: 60.0, RANKS[2]: 100.0, SURPLUS: 50.0}
        chances = find_chances(slots, 130.0)
        assert chances == {RANKS[0]: 1.0, RANKS[1]: 1.0, RANKS[2]: 0.5, SURPLUS: 0.0}

    def test_surplus_leaves_headroom(self):
        slots = {RANKS[0]: 20.0, SURPLUS: 50.0}
        assert find_chances(slots, 70.0, headroom=10.0)[SURPLUS] == 0.8

    def test_unknown_level_is_no_better_off_than_more_urgent_ones(self):
        assert find_chance({RANKS[0]: 1.0, RANKS[1]: 0.3}, RANKS[2]) == 0.3
        assert find_chance({RANKS[1]: 0.3}, RANKS[0]) == 1.0


class TestRoom:
    @pytest.mark.parametrize("per_slot", [0.0, 0.5, 0.9])
    def test_nobody_is_refused_or_limited_while_there_is_room(self, per_slot):
        """Guards against refusals that cost answers, also if many more calls arrive than usual."""
        gate = build_gate(1.7, per_slot)
        assert [find_admitted(gate, rank) for rank in range(3)] == [1.0] * 3
        assert find_admitted(gate, 2, left_s=0.01) == 1.0
        assert gate.find_wait_s(0.4) is None

    def test_room_that_is_back_ends_refusals(self):
        gate = build_gate(1.7, 1.0)
        assert find_admitted(gate, 2) < 0.5
        gate.update(101.0, Room(SLOTS, 0.3, 2.0, 12), build_demand(0.3, 0.3 * SLOTS))
        assert find_admitted(gate, 2) == 1.0


class TestScarcity:
    @pytest.mark.parametrize(("multiple", "rank_2"), [(1.1, 0.89), (1.3, 0.64), (1.7, 0.31)])
    def test_only_what_fits_is_admitted_the_urgent_first(self, multiple, rank_2):
        """Guards against a less urgent kind that is served better than a more urgent one."""
        gate = build_gate(multiple, 1.0)
        assert find_admitted(gate, 0) == 1.0
        assert find_admitted(gate, 1) > 0.95
        assert find_admitted(gate, 2) == pytest.approx(rank_2, abs=0.08)

    def test_call_that_would_come_too_late_is_refused(self):
        gate = build_gate(1.3, 1.0)
        turned = decide(gate, 0, left_s=0.05)
        assert turned is not None
        assert turned.reason == "too-late"

    def test_wait_is_an_eighth_of_the_objective(self):
        """Guards against calls that are held until their deadline and then refused."""
        assert build_gate(1.3, 1.0).find_wait_s(0.8) == pytest.approx(0.1)

    def test_callers_return_within_a_third_of_their_time(self):
        gate = build_gate(1.7, 1.0)
        waits_s = [found.return_s for found in (decide(gate, 2) for _ in range(300)) if found]
        assert 0.0 < min(waits_s) < max(waits_s) <= 8.0 / 3

    def test_figures_of_some_instances_are_scaled_to_the_reported_load(self):
        """Guards against an instance that admits what others, of which it hears nothing, send."""
        gate = Gate(99.0, random.Random(1))
        half = build_demand(0.7, 0.5 * SLOTS)
        gate.update(100.0, Room(SLOTS, 1.15, 2.0, 12), half)
        assert gate.scarce
        assert find_admitted(gate, 2) < 0.6


class TestSurge:
    USUAL = {"large": (20.0, 20.0), "middle": (10.0, 10.0), "small": (1.0, 1.0)}

    @pytest.mark.parametrize("team", ["large", "middle"])
    def test_surplus_of_one_team_is_found(self, team):
        teams = self.USUAL | {team: (7.5 * self.USUAL[team][1], self.USUAL[team][1])}
        kept = find_kept(teams, frozenset(), 30.0)
        assert list(kept) == [team]
        assert kept[team] == pytest.approx(1 / 7.5)

    def test_growth_of_all_teams_is_no_surge(self):
        """Guards against urgent calls that are refused since every team sends more than before."""
        teams = {name: (2.5 * usual, usual) for name, (_, usual) in self.USUAL.items()}
        assert find_kept(teams, frozenset(), 30.0) == {}

    def test_lone_team_may_use_everything(self):
        assert find_kept({"only": (80.0, 5.0)}, frozenset(), 30.0) == {}

    def test_few_requests_of_a_new_team_are_no_surge(self):
        assert find_kept(self.USUAL | {"new": (0.5, 0.0)}, frozenset(), 30.0) == {}

    def test_surge_does_not_become_usual_while_room_is_scarce(self):
        """Guards against a team that gets the others' room by sending long enough."""
        counter = DemandCounter(0.0)
        for step in range(400):
            counter.advance(step * 0.1, room=True)
            counter.record_arrival(RANKS[0], "team", room=True)
        for step in range(2000):
            counter.advance(40.0 + step * 0.01, room=False)
            counter.record_arrival(RANKS[0], "team", room=False)
        recent, usual = counter.read().teams["team"]
        assert recent == pytest.approx(100.0, rel=0.1)
        assert usual == pytest.approx(10.0, rel=0.1)

    def test_surplus_is_refused_before_others(self):
        gate = Gate(99.0, random.Random(1))
        demand = build_demand(0.9, SLOTS)
        teams = self.USUAL | {"middle": (75.0, 10.0)}
        arrived = demand.arrived | {Level(True, 0): 65.0}
        demand = Demand(arrived, 80.0, SLOTS, ENDED, teams)
        gate.update(100.0, Room(SLOTS, 1.0, 2.0, 12), demand)
        assert find_admitted(gate, 0, team="large") == 1.0
        assert find_admitted(gate, 0, team="middle") < 0.5
