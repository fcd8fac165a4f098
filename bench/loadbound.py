"""Share of requests beyond the load bound, by policy and by age of the load report used."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bench.arrivals import Arrival, find_worst_window
from bench.chatfleet import (
    USUAL_KINDS,
    Canary,
    ChatFleet,
    ChatKind,
    HotSession,
    Outage,
)
from bench.result import Result
from jayyoke.edge.baseline import HOME_POLICY
from jayyoke.edge.loadexchange import MAX_SHARED_AGE_S

LOAD_FACTOR = 2.0
# The users allow this share of the requests of any five seconds beyond the bound.
ALLOWED_SHARE = 0.03
SETTLED_S = 5.0
POLICIES = (HOME_POLICY, "least-loaded", "rendezvous")
# The first two instances of each domain pass load reports on between the others.
FOLLOWERS_PER_DOMAIN = 2
# Three domains have the same traffic and three, two and one instance.
SMALL_WEIGHTS = (*[1 / 9] * 3, *[1 / 6] * 2, 1 / 3)
LARGE_KINDS = (
    ChatKind("long", 47.0, 10_500, 1300, 0.85, 100),
    ChatKind("middle", 176.0, 700, 130, 0.63, 900),
    ChatKind("short", 127.0, 2040, 360, 0.05, 600),
)
LARGE_DOMAINS = 4
REPORT_AGE_BOUNDS_S = (0.2, 0.6, 1.5)


@dataclass(frozen=True, slots=True)
class Case:
    """Describes a fleet, its load and its disturbances."""

    name: str
    weights: Sequence[float]
    engines: int
    length_s: float
    kinds: Sequence[ChatKind] = USUAL_KINDS
    hot_sessions: Sequence[HotSession] = ()
    outages: Sequence[Outage] = ()
    exchange: Callable[[ChatFleet], None] | None = None
    canary: Canary | None = None


def exchange_in_domains(fleet: ChatFleet) -> None:
    """Exchange load reports between each instance and one follower of its domain."""
    since_s = fleet.now_s - MAX_SHARED_AGE_S
    for domain in range(LARGE_DOMAINS):
        members = fleet.placers[domain::LARGE_DOMAINS]
        for instance in members[FOLLOWERS_PER_DOMAIN:]:
            follower = fleet.source.choice(members[:FOLLOWERS_PER_DOMAIN])
            follower.load_exchange.merge(instance.load_exchange.list_recent(since_s, own_only=True))
            instance.load_exchange.merge(follower.load_exchange.list_recent(since_s))


CASES = (
    Case("6 instances, 6 engines", SMALL_WEIGHTS, 6, 20.0),
    Case("4 of 6 engines cold", SMALL_WEIGHTS, 6, 20.0, outages=[Outage(4, 8.0, 11.0)]),
    Case("hot session", SMALL_WEIGHTS, 6, 20.0, hot_sessions=[HotSession("long", 0.28, 8.0, 14.0)]),
    Case(
        "64 instances, 30 engines, hot",
        [1.0] * 64,
        30,
        14.0,
        LARGE_KINDS,
        hot_sessions=[HotSession("middle", 0.17, 7.0, 12.0)],
        exchange=exchange_in_domains,
    ),
    Case("version on trial", SMALL_WEIGHTS, 12, 20.0, canary=Canary(6, 0.05)),
    Case(
        "64 instances, 45 engines, version on trial",
        [1.0] * 64,
        45,
        14.0,
        LARGE_KINDS,
        exchange=exchange_in_domains,
        canary=Canary(22, 0.05),
    ),
)


def measure(seed: int) -> list[Result]:
    """Return the worst five seconds by case and policy, and the share by age of the report."""
    results = []
    for case in CASES:
        for policy in POLICIES:
            fleet = ChatFleet(
                case.weights,
                case.engines,
                seed,
                case.kinds,
                case.hot_sessions,
                case.outages,
                case.exchange,
                policy,
                case.canary,
            )
            arrivals = fleet.run(case.length_s)
            worst_share, _ = find_worst_window(arrivals, LOAD_FACTOR, SETTLED_S)
            results.append(
                Result(
                    "beyond load bound",
                    case.name,
                    policy,
                    worst_share,
                    "share",
                    ALLOWED_SHARE,
                    seed,
                )
            )
            results.append(
                Result(
                    "copies of prompts",
                    case.name,
                    policy,
                    _count_copies(fleet),
                    "copies",
                    None,
                    seed,
                )
            )
            if policy == HOME_POLICY:
                results.extend(_split_by_age(case.name, arrivals, seed))
    return results


def _count_copies(fleet: ChatFleet) -> int:
    """Return the number of cached session prompts, summed over the engines."""
    return sum(
        not part.startswith("own-")
        for engine in fleet.engines.values()
        for part in engine.cached_parts
    )


def _split_by_age(case: str, arrivals: Sequence[Arrival], seed: int) -> list[Result]:
    results = []
    bounds = (*REPORT_AGE_BOUNDS_S, float("inf"))
    min_age_s = 0.0
    for max_age_s in bounds:
        beyond = [
            arrival.exceeds(LOAD_FACTOR)
            for arrival in arrivals
            if min_age_s
            <= (float("inf") if arrival.report_age_s is None else arrival.report_age_s)
            <= max_age_s
            and arrival.at_s >= SETTLED_S
        ]
        name = (
            f"beyond, report < {max_age_s:g} s"
            if max_age_s < bounds[-1]
            else "beyond, older or none"
        )
        share = sum(beyond) / max(1, len(beyond))
        results.append(Result(name, case, HOME_POLICY, share, "share", None, seed))
        min_age_s = max_age_s
    return results
