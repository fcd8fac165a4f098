"""Encodes and decodes the demand that instances tell each other; see admission/exchange.py."""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from jayyoke.admission.demand import Demand
from jayyoke.admission.exchange import MAX_AGE_S, MAX_REPORTS, MAX_TEAMS, DemandReport
from jayyoke.admission.levels import Level
from jayyoke.wire.gen import ttypes

_UNIT = 1000.0
_MAX_INTEGER = 2**31 - 1
MAX_LEVELS = 32
MAX_NAME_LENGTH = 128


def encode_demands(
    reports: Sequence[DemandReport], now_s: float
) -> list[ttypes.HeardDemand] | None:
    """Return messages with the reports, or None without any."""
    return [_encode(report, now_s) for report in reports] or None


def decode_demands(heard: Iterable[ttypes.HeardDemand] | None, now_s: float) -> list[DemandReport]:
    """Return the reports of a peer, with ages before `now_s`; raise TypeError or ValueError."""
    found = []
    for demand in list(heard or ())[:MAX_REPORTS]:
        if not 0 <= (demand.age_ms or 0) <= MAX_AGE_S * 1000:
            continue
        found.append(
            DemandReport(
                str(demand.service_name or "")[:MAX_NAME_LENGTH],
                str(demand.instance or "")[:MAX_NAME_LENGTH],
                str(demand.domain or "")[:MAX_NAME_LENGTH],
                now_s - (demand.age_ms or 0) / 1000,
                _decode_demand(demand),
            )
        )
    return found


def _encode(report: DemandReport, now_s: float) -> ttypes.HeardDemand:
    demand = report.demand
    levels = sorted({*demand.arrived, *demand.ended})[:MAX_LEVELS]
    teams = [name for name in demand.teams if len(name) <= MAX_NAME_LENGTH]
    return ttypes.HeardDemand(
        instance=report.instance or None,
        domain=report.domain or None,
        service_name=report.service,
        age_ms=max(0, int((now_s - report.at_s) * 1000)),
        levels=[2 * level.rank + level.surplus for level in levels],
        arrived=[_to_thousandths(demand.arrived.get(level, 0.0)) for level in levels],
        placed=_to_thousandths(demand.placed),
        running=_to_thousandths(demand.running),
        ended=[_to_thousandths(demand.ended.get(level, (0.0, 0.0))[0]) for level in levels],
        seconds=[_to_thousandths(demand.ended.get(level, (0.0, 0.0))[1]) for level in levels],
        teams=teams,
        recent=[_to_thousandths(demand.teams[name][0]) for name in teams],
        usual=[_to_thousandths(demand.teams[name][1]) for name in teams],
    )


def _decode_demand(heard: ttypes.HeardDemand) -> Demand:
    arrived, ended = {}, {}
    numbers = (heard.levels or (), heard.arrived or (), heard.ended or (), heard.seconds or ())
    for number, arriving, count, seconds in zip(*numbers, strict=True):
        if number < 0 or len(arrived) >= MAX_LEVELS:
            continue
        level = Level(number % 2 == 1, number // 2)
        arrived[level] = max(0, arriving) / _UNIT
        if count > 0:
            ended[level] = (count / _UNIT, max(0, seconds) / _UNIT)
    teams = {}
    columns = (heard.teams or (), heard.recent or (), heard.usual or ())
    for name, recent, usual in zip(*columns, strict=True):
        if len(name) <= MAX_NAME_LENGTH and len(teams) < MAX_TEAMS:
            teams[str(name)] = (max(0, recent) / _UNIT, max(0, usual) / _UNIT)
    placed, running = max(0, heard.placed or 0) / _UNIT, max(0, heard.running or 0) / _UNIT
    return Demand(arrived, placed, running, ended, teams)


def _to_thousandths(work: float) -> int:
    return min(_MAX_INTEGER, max(0, round(work * _UNIT)))
