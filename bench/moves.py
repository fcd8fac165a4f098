"""Version moves in virtual time: the product's planning and judgement with model engines.

A model engine answers at once; only the shares of failed and slow answers vary. Baselines:
`rolling` replaces engines in equal steps without evidence; `percent` raises the share of callers
in equal steps and judges at each instance alone, without shadow copies of chats.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace
from statistics import mean

from bench.result import Result
from jayyoke.core.move import PPM, Move, MovePhase, OutcomeCounts
from jayyoke.ops.evidence import EvidencePool, judge, select_version
from jayyoke.ops.moveplan import EngineView, HaltVersion, OrderVersion, UpdateMove, plan_move

TICK_S = 0.5
EXCHANGE_INTERVAL_S = 1.0
DEADLINE_S = 120.0
LOAD_TIME_S = 4.0
ROUTES = {"draft": 0.6, "summary": 0.3, "check": 0.1}
OUTAGE_S = 60.0
BASE_FAILURE_RATE = 0.002
BASE_SLOW_RATE = 0.04
COLD_SLOW_FACTOR = 1.5
POLICIES = ("jayyoke", "percent", "rolling")
PERCENT_STEPS_PPM = (50_000, 250_000, 500_000, PPM)


@dataclass(frozen=True, slots=True)
class Fault:
    """Describes a bad version; `load` is the share of the usual load from which it misbehaves.

    The text form of a fault is part of the seed of a run, so names here decide the results.
    """

    name: str
    failures: float = 0.0
    slow: float = 0.0
    after_s: float = 0.0
    load: float = 0.0
    route: str = ""
    outage: bool = False


FAULTS = (
    Fault("fails at once", failures=1.0),
    Fault("slow at once", slow=0.9),
    Fault("fails a fifth of requests", failures=0.2),
    Fault("fails later", failures=1.0, after_s=45.0),
    Fault("slow later", slow=0.9, after_s=45.0),
    Fault("fails under load", failures=0.5, load=0.5),
    Fault("fails on one route", failures=1.0, route="check"),
    Fault("fails in the last step", failures=1.0, after_s=90.0),
    Fault("fails later, platform down", failures=1.0, after_s=45.0, outage=True),
)


@dataclass(frozen=True, slots=True)
class Scale:
    """Describes the size of a run."""

    engines: int
    instances: int
    requests_per_s: float


@dataclass(slots=True)
class Run:
    """Holds the state of one move in virtual time."""

    scale: Scale
    policy: str
    fault: Fault | None
    random: random.Random
    move: Move
    now_s: float = 0.0
    versions: list[str] = field(default_factory=list)
    ready_s: list[float] = field(default_factory=list)
    totals: list[dict[tuple[str, str], OutcomeCounts]] = field(default_factory=list)
    pool: EvidencePool = field(default_factory=EvidencePool)
    counts: dict[str, dict[str, OutcomeCounts]] = field(default_factory=dict)
    halted: bool = False
    requests: int = 0
    new_requests: int = 0
    first_bad_answer_s: float = -1.0
    last_new_s: float = 0.0
    outage_until_s: float = -1.0


@dataclass(frozen=True, slots=True)
class Outcome:
    """Holds the results of one run.

    `stop_s` is the time from the first bad answer to the new version's last request.
    """

    phase: MovePhase
    finished_s: float
    new_share: float
    stop_s: float


def run_move(scale: Scale, policy: str, fault: Fault | None, seed: int) -> Outcome:
    """Run one move to its end and return its results."""
    move = Move("m", "pool", "v1", "v2", 0.0, DEADLINE_S)
    run = Run(scale, policy, fault, random.Random(f"{seed}|{policy}|{fault}"), move)
    run.versions = ["v1"] * scale.engines
    run.ready_s = [0.0] * scale.engines
    run.totals = [{} for _ in range(scale.instances)]
    next_exchange_s = 0.0
    while run.move.active and run.now_s < 3 * DEADLINE_S:
        _serve(run)
        if run.now_s >= next_exchange_s:
            next_exchange_s += EXCHANGE_INTERVAL_S
            _exchange(run)
        if run.now_s >= run.outage_until_s:
            _run_control(run)
        run.now_s += TICK_S
    stop_s = (
        max(0.0, run.last_new_s - run.first_bad_answer_s) if run.first_bad_answer_s >= 0 else 0.0
    )
    share = run.new_requests / max(1, run.requests)
    return Outcome(run.move.phase, run.now_s, share, stop_s)


def _serve(run: Run) -> None:
    count = _round_randomly(run.random, run.scale.requests_per_s * TICK_S)
    ready = [i for i, v in enumerate(run.versions) if v == "v2" and run.ready_s[i] <= run.now_s]
    share = run.move.share_ppm / PPM if ready and not run.halted else 0.0
    if len(ready) == run.scale.engines and not run.halted:
        share = 1.0
    shadow_share = 0.0
    if ready and not run.halted and run.policy == "jayyoke":
        shadow_share = run.move.shadow_ppm / PPM
    load = (share + shadow_share) * run.scale.engines / max(1, len(ready))
    callers = _binomial(run.random, count, share)
    run.requests += count
    run.new_requests += callers
    if callers:
        run.last_new_s = run.now_s
    copies = _binomial(run.random, count, shadow_share)
    _record(run, "v2", callers + copies, load)
    _record(run, "v1", count - callers, 1.0)


def _record(run: Run, version: str, count: int, load: float) -> None:
    for route, weight in ROUTES.items():
        requests = _binomial(run.random, count, weight)
        failures, slow = BASE_FAILURE_RATE, BASE_SLOW_RATE
        if version == "v2":
            slow *= COLD_SLOW_FACTOR
            if _misbehaves(run, route, load):
                failures = max(failures, run.fault.failures)
                slow = max(slow, run.fault.slow)
        failed_count = _binomial(run.random, requests, failures)
        slow_count = _binomial(run.random, requests - failed_count, slow)
        if failed_count + slow_count and run.first_bad_answer_s < 0 and version == "v2":
            _record_first_bad_answer(run, route, load)
        _distribute(run, (version, route), OutcomeCounts(requests, failed_count, slow_count))


def _record_first_bad_answer(run: Run, route: str, load: float) -> None:
    if not _misbehaves(run, route, load):
        return
    run.first_bad_answer_s = run.now_s
    if run.fault.outage:
        run.outage_until_s = run.now_s + OUTAGE_S


def _distribute(run: Run, key: tuple[str, str], counts: OutcomeCounts) -> None:
    """Distribute the outcomes of one tick over a few instances."""
    remaining = counts
    for parts in (3, 2, 1):
        if not remaining.requests:
            return
        part = OutcomeCounts(
            remaining.requests // parts, remaining.failures // parts, remaining.slow // parts
        )
        remaining = OutcomeCounts(
            remaining.requests - part.requests,
            remaining.failures - part.failures,
            remaining.slow - part.slow,
        )
        totals = run.random.choice(run.totals)
        totals[key] = totals.get(key, OutcomeCounts()).add(part)


def _misbehaves(run: Run, route: str, load: float) -> bool:
    fault = run.fault
    if fault is None or run.now_s < fault.after_s or load < fault.load:
        return False
    return not fault.route or fault.route == route


def _exchange(run: Run) -> None:
    for index, totals in enumerate(run.totals):
        run.pool.replace(str(index), totals)
    if run.policy == "rolling" or run.halted:
        return
    if run.policy == "percent":
        for totals in run.totals:
            new, old = select_version(totals, "v2"), select_version(totals, "v1")
            run.halted = run.halted or judge(new, old) is not None
        return
    totals = run.pool.total()
    run.counts = {version: select_version(totals, version) for version in ("v1", "v2")}
    run.halted = judge(run.counts["v2"], run.counts["v1"]) is not None


def _run_control(run: Run) -> None:
    engines = []
    for index, version in enumerate(run.versions):
        ready = run.ready_s[index] <= run.now_s
        engines.append(EngineView(f"{index:04}", version, ready))
    if run.policy != "jayyoke":
        _control_by_percent(run, engines)
        return
    actions = plan_move(run.move, engines, run.counts, run.halted, run.now_s, LOAD_TIME_S)
    for action in actions:
        match action:
            case HaltVersion():
                run.halted = True
            case UpdateMove(move):
                run.move = move
            case OrderVersion(engine, version):
                run.versions[int(engine)] = version
                run.ready_s[int(engine)] = run.now_s + LOAD_TIME_S


def _control_by_percent(run: Run, engines: list[EngineView]) -> None:
    if run.halted:
        run.versions = ["v1"] * len(engines)
        run.move = replace(run.move, phase=MovePhase.ROLLED_BACK, share_ppm=0)
        return
    step = min(3, int(4 * run.now_s / (DEADLINE_S - 2 * LOAD_TIME_S)))
    target_count = max(1, len(engines) * PERCENT_STEPS_PPM[step] // PPM)
    for index in range(target_count):
        if run.versions[index] != "v2":
            run.versions[index] = "v2"
            run.ready_s[index] = run.now_s + LOAD_TIME_S
    ready = sum(1 for i, v in enumerate(run.versions) if v == "v2" and run.ready_s[i] <= run.now_s)
    run.move = replace(run.move, share_ppm=PPM * ready // len(engines))
    if ready == len(engines):
        run.move = replace(run.move, phase=MovePhase.DONE)


def _binomial(source: random.Random, count: int, rate: float) -> int:
    if rate <= 0 or count <= 0:
        return 0
    if rate >= 1:
        return count
    if count <= 30:
        draw = source.random
        hits = 0
        for _ in range(count):
            hits += draw() < rate
        return hits
    deviation = (count * rate * (1 - rate)) ** 0.5
    if deviation < 3:
        return min(count, _poisson(source, count * rate))
    return min(count, max(0, round(source.gauss(count * rate, deviation))))


def _round_randomly(source: random.Random, expected: float) -> int:
    whole = int(expected)
    return whole + (source.random() < expected - whole)


def _poisson(source: random.Random, expected: float) -> int:
    # Knuth's method; the expected value stays below about 10 here.
    count, product, limit = 0, source.random(), 2.718281828459045**-expected
    while product > limit:
        count += 1
        product *= source.random()
    return count


PLANNED = Scale(engines=260, instances=30, requests_per_s=510.0)
TODAY = Scale(engines=6, instances=6, requests_per_s=30.0)
GOOD_SEEDS = 200
BASELINE_GOOD_SEEDS = 10
BAD_SEEDS = 3


def measure(seed: int) -> list[Result]:
    """Return the results for bad and good versions, by policy and scale."""
    rows = []
    for policy in POLICIES:
        for label, scale in (("today, 6 engines", TODAY), ("planned, 260 engines", PLANNED)):
            rows.extend(_measure_bad(scale, label, policy, seed))
        rows.extend(_measure_good(policy, seed))
    return rows


def _measure_good(policy: str, seed: int) -> list[Result]:
    seeds = GOOD_SEEDS if policy == "jayyoke" else BASELINE_GOOD_SEEDS
    outcomes = [run_move(TODAY, policy, None, seed + index) for index in range(seeds)]
    for index in range(BAD_SEEDS if policy == "jayyoke" else 1):
        outcomes.append(run_move(PLANNED, policy, None, seed + index))
    done = [o for o in outcomes if o.phase is MovePhase.DONE]
    wrong_share = sum(1 for o in outcomes if o.phase is MovePhase.ROLLED_BACK) / len(outcomes)
    in_time_share = sum(1 for o in done if o.finished_s <= DEADLINE_S) / len(outcomes)
    case = f"good, {len(outcomes)} seeds"
    return [
        Result(
            "good versions in time", case, policy, in_time_share, "share", 1.0, seed, at_most=False
        ),
        Result("good taken back", case, policy, wrong_share, "share", 0.01, seed),
    ]


def _measure_bad(scale: Scale, label: str, policy: str, seed: int) -> list[Result]:
    rows = []
    rolled_back = []
    for fault in FAULTS:
        seeds = BAD_SEEDS if policy == "jayyoke" else 1
        outcomes = [run_move(scale, policy, fault, seed + index) for index in range(seeds)]
        rolled_back.extend(o.phase is MovePhase.ROLLED_BACK for o in outcomes)
        share = max(o.new_share for o in outcomes)
        stop_s = max(o.stop_s for o in outcomes)
        case = f"{fault.name}, {label}"
        rows.append(Result("bad version's share", case, policy, share, "share", 0.02, seed))
        rows.append(Result("first sign to none", case, policy, stop_s, "s", 5.0, seed))
    rolled_back_share = mean(rolled_back)
    rows.append(
        Result(
            "bad taken back", label, policy, rolled_back_share, "share", 1.0, seed, at_most=False
        )
    )
    return rows
