"""Draws the fault plan of a run from its seed: which faults begin when and at which targets."""

from __future__ import annotations

import enum
import random
from dataclasses import dataclass

DEFAULT_FAULTS_S = 12.0
MIN_STEPS = 6
MAX_STEPS = 14
# Some faults are repeated in a short series.
SERIES_PROBABILITY = 0.3
SERIES_GAP_S = 0.4
DEADLY_PROBABILITY = 0.5
RETURN_PROBABILITY = 0.5


class Mode(enum.Enum):
    """How an upstream treats requests; `FORGETS_IDLE` aborts connections soon after an answer."""

    WELL = "well"
    SLOW = "slow"
    SILENT = "silent"
    RESETS = "resets"
    REFUSES = "refuses"
    FAILS = "fails"
    CUTS = "cuts"
    FORGETS_IDLE = "forgets-idle"


class Trouble(enum.Enum):
    """What goes wrong on a link; `soak.rules.build_rules` turns it into rules of its proxy."""

    DELAY = "delay"
    RESET = "reset"
    SILENT = "silent"
    ONE_WAY = "one-way"
    OLD_SILENT = "old-silent"
    BREAKS = "breaks"
    REFUSED = "refused"


@dataclass(frozen=True, slots=True)
class StoreAway:
    """Makes the store fail every request; `kind` names a `Fault` of the store's stand-in."""

    kind: str
    for_s: float


@dataclass(frozen=True, slots=True)
class StoreCut:
    """Puts a fault on the links of some instances to the store."""

    instances: tuple[int, ...]
    trouble: Trouble
    for_s: float


@dataclass(frozen=True, slots=True)
class StoreDeaf:
    """Makes the store's feeds answer as if nothing had changed."""

    for_s: float


@dataclass(frozen=True, slots=True)
class StoreLate:
    """Drops the answers to writes and commits them `by_s` later, if their condition still holds."""

    by_s: float
    for_s: float


@dataclass(frozen=True, slots=True)
class StoreForgets:
    """Drops the store's history of changes, so that feeds answer 410."""


@dataclass(frozen=True, slots=True)
class StoreReturns:
    """Lets the store come back from a copy `older_by_s` old; lost rows are written again later."""

    older_by_s: float
    rewritten_after_s: float


@dataclass(frozen=True, slots=True)
class StoreClockJumps:
    """Moves the store's clock forward permanently."""

    by_s: float


@dataclass(frozen=True, slots=True)
class LinkFault:
    """Puts a fault on one link, such as `store-0`, `upstream-2` or `caller-1`."""

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
    """Kills a process and starts a new one `down_s` later."""

    instance: int
    down_s: float


@dataclass(frozen=True, slots=True)
class Restart:
    """Stops a process with SIGTERM and starts a new one."""

    instance: int


@dataclass(frozen=True, slots=True)
class Reload:
    """Makes a process reload its settings with SIGHUP."""

    instance: int


@dataclass(frozen=True, slots=True)
class UpstreamFault:
    """Makes an upstream misbehave."""

    upstream: int
    mode: Mode
    for_s: float


@dataclass(frozen=True, slots=True)
class UpstreamLeaves:
    """Drains an upstream and drops its row `down_s` later; a new one takes over its address."""

    upstream: int
    down_s: float


@dataclass(frozen=True, slots=True)
class ToggleKey:
    """Writes a configuration that adds or removes the second key."""


@dataclass(frozen=True, slots=True)
class Evacuate:
    """Takes a failure domain out of service for a while."""

    domain: str
    for_s: float


@dataclass(frozen=True, slots=True)
class DeadlyPart:
    """Makes this share of the streams have a part that ends the upstream which answers them."""

    share: float
    for_s: float


Fault = (
    StoreAway
    | StoreCut
    | StoreDeaf
    | StoreLate
    | StoreForgets
    | StoreReturns
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
    | DeadlyPart
)


@dataclass(frozen=True, slots=True)
class Step:
    """Holds a fault and when it begins, in seconds after the start of the traffic."""

    at_s: float
    fault: Fault


@dataclass(frozen=True, slots=True)
class Size:
    """Holds the numbers of instances and upstreams of a fleet, and its failure domains."""

    instances: int = 4
    upstreams: int = 4
    domains: tuple[str, ...] = ("zone-a", "zone-b")


def draw_plan(seed: int, size: Size, faults_s: float = DEFAULT_FAULTS_S) -> list[Step]:
    """Return the steps of a seed, sorted by time."""
    rng = random.Random(seed)
    steps = []
    for _ in range(rng.randint(MIN_STEPS, MAX_STEPS)):
        at_s = rng.uniform(0.5, faults_s)
        fault = _draw_fault(rng, size)
        repeats = rng.randint(2, 4) if rng.random() < SERIES_PROBABILITY else 1
        for number in range(repeats):
            steps.append(Step(at_s + number * SERIES_GAP_S * rng.uniform(0.5, 1.5), fault))
    # A source of its own leaves the other steps of a seed as they were before this fault was added.
    deadly_rng = random.Random(f"{seed} deadly part")
    if deadly_rng.random() < DEADLY_PROBABILITY:
        fault = DeadlyPart(deadly_rng.uniform(0.02, 0.2), deadly_rng.uniform(0.4, 0.8) * faults_s)
        steps.append(Step(deadly_rng.uniform(0.5, faults_s / 4), fault))
    return_rng = random.Random(f"{seed} store returns")
    if return_rng.random() < RETURN_PROBABILITY:
        for _ in range(return_rng.randint(1, 2)):
            fault = StoreReturns(return_rng.uniform(0.2, 4.0), return_rng.uniform(0.2, 2.5))
            steps.append(Step(return_rng.uniform(0.5, faults_s), fault))
    return sorted(steps, key=lambda step: step.at_s)


def _draw_fault(rng: random.Random, size: Size) -> Fault:
    instance = rng.randrange(size.instances)
    upstream = rng.randrange(size.upstreams)
    for_s = rng.uniform(0.3, 5.0)
    link = rng.choice((f"store-{instance}", f"upstream-{upstream}", f"caller-{instance}"))
    cut_instances = tuple(sorted(rng.sample(range(size.instances), rng.randint(1, size.instances))))
    choices: tuple[Fault, ...] = (
        StoreAway(rng.choice(("BUSY", "MANY", "RESET", "SILENT")), for_s),
        StoreCut(cut_instances, rng.choice(tuple(Trouble)), for_s),
        StoreDeaf(for_s),
        StoreLate(rng.uniform(0.2, 3.0), for_s),
        StoreForgets(),
        StoreClockJumps(rng.uniform(1.0, 120.0)),
        LinkFault(link, rng.choice(tuple(Trouble)), for_s),
        LinkFault(link, rng.choice(tuple(Trouble)), for_s),
        Pause(instance, for_s),
        Kill(instance, rng.uniform(0.0, 2.0)),
        Restart(instance),
        Reload(instance),
        UpstreamFault(upstream, rng.choice(tuple(Mode)[1:]), for_s),
        UpstreamFault(upstream, rng.choice(tuple(Mode)[1:]), for_s),
        UpstreamLeaves(upstream, rng.uniform(0.0, 2.0)),
        ToggleKey(),
        Evacuate(rng.choice(size.domains), for_s),
    )
    return rng.choice(choices)
