"""Draws the faults of one run from its seed: kinds, times and targets, also in series."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

FAULTS_S = 12.0
LEAST_STEPS = 6
MOST_STEPS = 14
# Some faults come as a series at short distance.
SERIES_SHARE = 0.3
SERIES_GAP_S = 0.4


class Mode(enum.Enum):
    """How an upstream treats requests."""

    WELL = "well"
    SLOW = "slow"
    SILENT = "silent"
    RESETS = "resets"
    REFUSES = "refuses"
    FAILS = "fails"
    CUTS = "cuts"
    FORGETS_IDLE = "forgets-idle"


class Trouble(enum.Enum):
    """What happens on a link."""

    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one-way"
    OLD_SILENT = "old-silent"
    BREAKS = "breaks"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class StoreAway:
    """Makes the store turn all instances away; `kind` names a fault of the stand-in."""

    kind: str
    for_s: float


@dataclass(frozen=True, slots=True)
class StoreCut:
    """Harms the links of some instances to the store."""

    instances: tuple[int, ...]
    trouble: Trouble
    for_s: float


@dataclass(frozen=True, slots=True)
class StoreDeaf:
    """Makes feeds answer as if nothing had changed."""

    for_s: float


@dataclass(frozen=True, slots=True)
class StoreLate:
    """Loses the answers of writes, which are done later if their condition still holds."""

    by_s: float
    for_s: float


@dataclass(frozen=True, slots=True)
class StoreForgets:
    """Drops the store's history."""


@dataclass(frozen=True, slots=True)
class StoreClockJumps:
    """Moves the store's clock forwards for good."""

    by_s: float


@dataclass(frozen=True, slots=True)
class LinkFault:
    """Harms the proxy of one link, such as `store-0`, `upstream-2` or `caller-1`."""

    link: str
    trouble: Trouble
    for_s: float


@dataclass(frozen=True, slots=True)
class Pause:
    """Stops a process with SIGSTOP for a while."""

    instance: int
    for_s: float


@dataclass(frozen=True, slots=True)
class Kill:
    """Kills a process; another follows."""

    instance: int
    down_s: float


@dataclass(frozen=True, slots=True)
class Restart:
    """Ends a process with SIGTERM; another follows."""

    instance: int


@dataclass(frozen=True, slots=True)
class Reload:
    """Sends SIGHUP."""

    instance: int


@dataclass(frozen=True, slots=True)
class UpstreamFault:
    """Makes an upstream misbehave."""

    upstream: int
    mode: Mode
    for_s: float


@dataclass(frozen=True, slots=True)
class UpstreamLeaves:
    """Drains an upstream and drops its row; another one follows at the same address."""

    upstream: int
    down_s: float


@dataclass(frozen=True, slots=True)
class ToggleKey:
    """Writes a configuration that adds or takes away the second key."""


@dataclass(frozen=True, slots=True)
class Evacuate:
    """Empties a failure domain for a while."""

    domain: str
    for_s: float


Fault = (
    StoreAway
    | StoreCut
    | StoreDeaf
    | StoreLate
    | StoreForgets
    | StoreClockJumps
    | LinkFault
    | Pause
    | Kill
    | Restart
    | Reload
    | UpstreamFault
    | UpstreamLeaves
    | ToggleKey
    | Evacuate
)


@dataclass(frozen=True, slots=True)
class Step:
    """Holds a fault and when it begins, in seconds after the start of the traffic."""

    at_s: float
    fault: Fault


@dataclass(frozen=True, slots=True)
class Size:
    """Says how many parts a fleet has."""

    instances: int = 4
    upstreams: int = 4
    domains: tuple[str, ...] = ("zone-a", "zone-b")


def draw_plan(seed: int, size: Size, faults_s: float = FAULTS_S) -> list[Step]:
    """Return the steps of a seed in order of time."""
    source = random.Random(seed)
    steps = []
    for _ in range(source.randint(LEAST_STEPS, MOST_STEPS)):
        at_s = source.uniform(0.5, faults_s)
        fault = _draw_fault(source, size)
        repeats = source.randint(2, 4) if source.random() < SERIES_SHARE else 1
        for number in range(repeats):
            steps.append(Step(at_s + number * SERIES_GAP_S * source.uniform(0.5, 1.5), fault))
    return sorted(steps, key=lambda step: step.at_s)


def _draw_fault(source: random.Random, size: Size) -> Fault:
    instance = source.randrange(size.instances)
    upstream = source.randrange(size.upstreams)
    for_s = source.uniform(0.3, 5.0)
    link = source.choice((f"store-{instance}", f"upstream-{upstream}", f"caller-{instance}"))
    some = tuple(sorted(source.sample(range(size.instances), source.randint(1, size.instances))))
    choices: tuple[Fault, ...] = (
        StoreAway(source.choice(("BUSY", "MANY", "RESET", "SILENT")), for_s),
        StoreCut(some, source.choice(tuple(Trouble)), for_s),
        StoreDeaf(for_s),
        StoreLate(source.uniform(0.2, 3.0), for_s),
        StoreForgets(),
        StoreClockJumps(source.uniform(1.0, 120.0)),
        LinkFault(link, source.choice(tuple(Trouble)), for_s),
        LinkFault(link, source.choice(tuple(Trouble)), for_s),
        Pause(instance, for_s),
        Kill(instance, source.uniform(0.0, 2.0)),
        Restart(instance),
        Reload(instance),
        UpstreamFault(upstream, source.choice(tuple(Mode)[1:]), for_s),
        UpstreamFault(upstream, source.choice(tuple(Mode)[1:]), for_s),
        UpstreamLeaves(upstream, source.uniform(0.0, 2.0)),
        ToggleKey(),
        Evacuate(source.choice(size.domains), for_s),
    )
    return source.choice(choices)
