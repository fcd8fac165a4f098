"""Calls served by rank, by team and by domain while there is too little room, in virtual time."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence

from bench.result import Result
from bench.roomfleet import DOMAINS, KINDS, Kind, RoomFleet, Served, find_credit, find_share
from jayyoke.core.entrysettings import AdmissionSettings, HomeScope, ZoneSettings

INSTANCES = 12
ENGINES = 12
SLOTS = 16
MULTIPLES = (0.9, 1.0, 1.3, 1.7)
BEGIN_S = 10.0
LENGTH_S = 32.0
WAVE_PERIOD_S = 13.0
WAVE = 0.55
SURGE = 7.5
SURGE_BEGINS_S = 20.0
SURGE_ENDS_S = 60.0
# Teams of uneven size: the first has a quarter of the calls.
TEAMS = {f"t{number}": 1.0 / (number + 1) for number in range(24)}
SURGING = ("t0", "t2", "t8")
SURGE_BASES = (0.8, 1.1)
SCOPES = {
    "as before": ZoneSettings(),
    "no fetch across": ZoneSettings(0.0),
    "short own": ZoneSettings(0.0, HomeScope.OWN),
    "short own, long session": ZoneSettings(0.0, HomeScope.OWN, HomeScope.SESSION),
    "both own": ZoneSettings(0.0, HomeScope.OWN, HomeScope.OWN),
}
WAVE_BASES = (0.6, 0.85)


def measure(seed: int) -> list[Result]:
    """Return the served parts of the plays of ranks, teams and domains."""
    results = []
    for enabled in (False, True):
        policy = "admission" if enabled else "without"
        admission = AdmissionSettings(enabled=enabled)
        for multiple in MULTIPLES:
            results.extend(_measure_ranks(multiple, admission, policy, seed))
        for base in SURGE_BASES:
            results.extend(_measure_teams(base, admission, policy, seed))
    for base in WAVE_BASES:
        for policy, zones in SCOPES.items():
            results.extend(_measure_domains(base, zones, policy, seed))
    return results


def _measure_ranks(
    multiple: float, admission: AdmissionSettings, policy: str, seed: int
) -> list[Result]:
    def find_rate(kind: Kind, domain: str, at_s: float) -> float:
        return multiple if at_s >= BEGIN_S else 0.9

    fleet = RoomFleet(INSTANCES, ENGINES, SLOTS, seed, admission=admission, find_rate=find_rate)
    served = [call for call in fleet.run(LENGTH_S) if call.at_s >= BEGIN_S]
    case = f"{multiple:g} times what fits"
    results = []
    for kind in KINDS:
        share = find_share(served, rank=kind.rank)
        credit = find_credit(served, KINDS, kind.rank)
        results.append(_row(f"served, rank {kind.rank}", case, policy, share, seed))
        results.append(_row(f"in the aim, rank {kind.rank}", case, policy, credit, seed))
    used = [part for at_s, part in fleet.used if BEGIN_S + 2.0 < at_s < LENGTH_S]
    results.append(_row("slots in use", case, policy, sum(used) / len(used), seed))
    held_s = max((call.decided_s for call in served if call.reason), default=0.0)
    results.append(Result("longest refusal", case, policy, held_s, "s", None, seed))
    return results


def _measure_teams(
    base: float, admission: AdmissionSettings, policy: str, seed: int
) -> list[Result]:
    results = []
    for surging in ("", *SURGING):
        served = _play_surge(surging, base, admission, seed)
        others = [call for call in served if call.team != surging]
        case = f"{base:g} times what fits, {surging or 'nobody'} surges"
        results.append(_row("served, other teams", case, policy, find_share(others), seed))
    return results


def _play_surge(surging: str, base: float, admission: AdmissionSettings, seed: int) -> list[Served]:
    share = TEAMS.get(surging, 0.0) / sum(TEAMS.values())

    def find_rate(kind: Kind, domain: str, at_s: float) -> float:
        return base * (1.0 + share * (SURGE - 1.0) * (at_s >= SURGE_BEGINS_S))

    def find_team(source: random.Random, at_s: float) -> str:
        weights = dict(TEAMS)
        if surging and at_s >= SURGE_BEGINS_S:
            weights[surging] *= SURGE
        return source.choices(list(weights), list(weights.values()))[0]

    fleet = RoomFleet(
        INSTANCES,
        ENGINES,
        SLOTS,
        seed,
        admission=admission,
        find_rate=find_rate,
        find_team=find_team,
    )
    return [call for call in fleet.run(SURGE_ENDS_S) if call.at_s >= SURGE_BEGINS_S]


def _measure_domains(base: float, zones: ZoneSettings, policy: str, seed: int) -> list[Result]:
    fleet = RoomFleet(
        INSTANCES,
        ENGINES,
        SLOTS,
        seed,
        zones=zones,
        find_rate=build_waves(base),
        figures_age_s=0.6,
    )
    served = [call for call in fleet.run(LENGTH_S) if call.at_s >= BEGIN_S]
    placed = [call for call in served if call.placed_in]
    case = f"waves around {base:g} of the slots"
    crossing = sum(call.placed_in != call.domain for call in placed) / len(placed)
    fetches = sum(call.fetched_from not in ("", call.placed_in) for call in placed)
    worst = min(find_share(served, domain=domain) for domain in DOMAINS)
    in_aim = [_find_credit(served, domain) for domain in DOMAINS]
    return [
        _row("calls across domains", case, policy, crossing, seed),
        Result("fetches across domains", case, policy, fetches, "prompts", None, seed),
        _row("served, worst domain", case, policy, worst, seed),
        _row("in the aim, mean domain", case, policy, sum(in_aim) / len(in_aim), seed),
        _row("in the aim, worst domain", case, policy, min(in_aim), seed),
    ]


def build_waves(base: float) -> Callable[[Kind, str, float], float]:
    """Return a rate that swings in each domain, out of phase with the others."""

    def find_rate(kind: Kind, domain: str, at_s: float) -> float:
        phase = at_s / WAVE_PERIOD_S + DOMAINS.index(domain) / len(DOMAINS)
        return base * (1.0 + WAVE * math.sin(2.0 * math.pi * phase))

    return find_rate


def _find_credit(served: Sequence[Served], domain: str) -> float:
    """Return the part of a domain's calls that had their first token within the aim."""
    aims_s = {kind.rank: kind.aim_s for kind in KINDS}
    found = [call for call in served if call.final and call.domain == domain]
    met = [c for c in found if c.first_s is not None and c.first_s <= aims_s[c.rank]]
    return len(met) / max(1, len(found))


def _row(measure_name: str, case: str, policy: str, value: float, seed: int) -> Result:
    return Result(measure_name, case, policy, value, "share", None, seed)
