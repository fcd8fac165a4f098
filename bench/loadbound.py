"""How near instances come to the load bound, each by its own belief, and by how old that was."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from bench.chatfleet import (
    USUAL_KINDS,
    Arrival,
    ChatFleet,
    ChatKind,
    HotSession,
    Outage,
    Trial,
    find_worst_window,
)
from bench.result import Result
from jayyoke.edge.baseline import HOME_POLICY
from jayyoke.edge.loadexchange import MAX_SHARED_AGE_S

LOAD_FACTOR = 2.0
# The users allow this share of the requests of any five seconds beyond the bound.
ALLOWED_SHARE = 0.03
SETTLED_S = 5.0
POLICIES = (HOME_POLICY, "least-loaded", "rendezvous")
# The first two instances of each domain pass on what the others heard.
FOLLOWERS = 2
# Three domains have the same traffic and three, two and one instance.
SMALL_WEIGHTS = (*[1 / 9] * 3, *[1 / 6] * 2, 1 / 3)
GROWN_KINDS = (
    ChatKind("long", 47.0, 10_500, 1300, 0.85, 100),
    ChatKind("middle", 176.0, 700, 130, 0.63, 900),
    ChatKind("short", 127.0, 2040, 360, 0.05, 600),
)
GROWN_DOMAINS = 4
AGES_S = (0.2, 0.6, 1.5)


@dataclass(frozen=True, slots=True)
class Case:
    """Describes a fleet and what happens to it."""

    name: str
    weights: Sequence[float]
    engines: int
    length_s: float
    kinds: Sequence[ChatKind] = USUAL_KINDS
    hot: Sequence[HotSession] = ()
    outages: Sequence[Outage] = ()
    exchange: Callable[[ChatFleet], None] | None = None
    trial: Trial | None = None


def exchange_in_domains(fleet: ChatFleet) -> None:
    """Let each instance of a domain tell one of its followers, and learn from it."""
    since_s = fleet.now_s - MAX_SHARED_AGE_S
    for domain in range(GROWN_DOMAINS):
        members = fleet.placements[domain::GROWN_DOMAINS]
        for asker in members[FOLLOWERS:]:
            follower = fleet.source.choice(members[:FOLLOWERS])
            follower.load_exchange.merge(asker.load_exchange.list_recent(since_s, own_only=True))
            asker.load_exchange.merge(follower.load_exchange.list_recent(since_s))


CASES = (
    Case("6 instances, 6 engines", SMALL_WEIGHTS, 6, 20.0),
    Case("4 of 6 engines cold", SMALL_WEIGHTS, 6, 20.0, outages=[Outage(4, 8.0, 11.0)]),
    Case("hot session", SMALL_WEIGHTS, 6, 20.0, hot=[HotSession("long", 0.28, 8.0, 14.0)]),
    Case(
        "64 instances, 30 engines, hot",
        [1.0] * 64,
        30,
        14.0,
        GROWN_KINDS,
        hot=[HotSession("middle", 0.17, 7.0, 12.0)],
        exchange=exchange_in_domains,
    ),
    Case("version on trial", SMALL_WEIGHTS, 12, 20.0, trial=Trial(6, 0.05)),
    Case(
        "64 instances, 45 engines, version on trial",
        [1.0] * 64,
        45,
        14.0,
        GROWN_KINDS,
        exchange=exchange_in_domains,
        trial=Trial(22, 0.05),
    ),
)


def measure(seed: int) -> list[Result]:
    """Return the worst five seconds by case and policy, and the share by age of the belief."""
    results = []
    for case in CASES:
        for policy in POLICIES:
            fleet = ChatFleet(
                case.weights,
                case.engines,
                seed,
                case.kinds,
                case.hot,
                case.outages,
                case.exchange,
                policy,
                case.trial,
            )
            arrivals = fleet.play(case.length_s)
            worst, _ = find_worst_window(arrivals, LOAD_FACTOR, SETTLED_S)
            results.append(
                Result("beyond load bound", case.name, policy, worst, "share", ALLOWED_SHARE, seed)
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
    """Return how often a session's prompt had to be read by one more engine."""
    return sum(
        not part.startswith("own-") for engine in fleet.engines.values() for part in engine.known
    )


def _split_by_age(case: str, arrivals: Sequence[Arrival], seed: int) -> list[Result]:
    results = []
    bounds = (*AGES_S, float("inf"))
    least_s = 0.0
    for most_s in bounds:
        found = [
            arrival.exceeds(LOAD_FACTOR)
            for arrival in arrivals
            if least_s <= (float("inf") if arrival.age_s is None else arrival.age_s) <= most_s
            and arrival.at_s >= SETTLED_S
        ]
        name = f"beyond, report < {most_s:g} s" if most_s < bounds[-1] else "beyond, older or none"
        share = sum(found) / max(1, len(found))
        results.append(Result(name, case, HOME_POLICY, share, "share", None, seed))
        least_s = most_s
    return results
