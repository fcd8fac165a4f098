"""Plan of a version move: the next actions, from the move, its engines and the evidence."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from jayyoke.core.move import PPM, Move, MovePhase, OutcomeCounts
from jayyoke.ops.evidence import count_requests, judge


@dataclass(frozen=True, slots=True)
class Step:
    """Sets the share of callers' chats and the end of the step.

    The end is a fraction of the time from the move's start to its deadline. The first step sends
    no caller to the new version: its engines get copies of chats at the load of ordinary engines,
    and the answers to the copies are dropped.
    """

    share_ppm: int
    end_fraction: float


# Most of the time goes to the steps whose share is below 2%, so that a version whose faults show
# late affects few callers.
STEPS = (
    Step(0, 0.20),
    Step(10_000, 0.55),
    Step(50_000, 0.60),
    Step(250_000, 0.65),
    Step(PPM, 1.0),
)
LAST_STEP = len(STEPS) - 1
MIN_REQUESTS = 20
# A step that lacks evidence is extended by at most this fraction of the time from start to
# deadline, after which a quarter of the evidence is enough.
MAX_STEP_DELAY_FRACTION = 0.1
MIN_EVIDENCE_FRACTION = 0.25
# One engine of 260 saw two copies a second, too few to find a fault on a rare route in time.
CANARY_ENGINES_PPM = 20_000
# These engines load at the same time; a weight store that serves few copies a second allows no
# more.
MAX_PARALLEL_LOADS_FRACTION = 0.1


@dataclass(frozen=True, slots=True)
class EngineView:
    """Holds what the lease holder knows of one engine of the service.

    `fenced` is set if the engine refuses every order sent before the move's phase began, or if
    it checks no fencing tokens.
    """

    name: str
    version: str
    ready: bool
    fenced: bool = True


@dataclass(frozen=True, slots=True)
class OrderVersion:
    """Orders an engine to load a version."""

    engine: str
    version: str


@dataclass(frozen=True, slots=True)
class UpdateMove:
    """Replaces the move's row."""

    move: Move


@dataclass(frozen=True, slots=True)
class HaltVersion:
    """Halts the new version everywhere."""

    reason: str


Action = OrderVersion | UpdateMove | HaltVersion


def plan_move(
    move: Move,
    engines: Sequence[EngineView],
    evidence: Mapping[str, Mapping[str, OutcomeCounts]],
    halted: bool,
    now_s: float,
    load_s: float = 5.0,
) -> list[Action]:
    """Return the next actions; evidence maps versions to counts by route, times are Unix s."""
    match move.phase:
        case MovePhase.RUNNING:
            return _plan_running(move, engines, evidence, halted, now_s, load_s)
        case MovePhase.ROLLING_BACK:
            return _plan_rollback(move, engines, now_s)
        case MovePhase.DONE | MovePhase.ROLLED_BACK:
            return []


def _plan_running(
    move: Move,
    engines: Sequence[EngineView],
    evidence: Mapping[str, Mapping[str, OutcomeCounts]],
    halted: bool,
    now_s: float,
    load_s: float,
) -> list[Action]:
    new = evidence.get(move.new_version, {})
    verdict = judge(new, evidence.get(move.old_version, {}))
    if verdict is not None:
        return [HaltVersion(str(verdict)), _roll_back(move, str(verdict), now_s)]
    if halted:
        return [_roll_back(move, move.reason or "an instance halted the version", now_s)]
    if now_s > move.deadline_s and move.step < LAST_STEP:
        return [_roll_back(move, "the deadline passed before the last step", now_s)]
    return _advance(move, engines, new, evidence, now_s, load_s)


def _advance(
    move: Move,
    engines: Sequence[EngineView],
    new: Mapping[str, OutcomeCounts],
    evidence: Mapping[str, Mapping[str, OutcomeCounts]],
    now_s: float,
    load_s: float,
) -> list[Action]:
    ready = [e for e in engines if e.version == move.new_version and e.ready]
    if move.step == LAST_STEP and engines and len(ready) == len(engines):
        return [UpdateMove(_finish(move, MovePhase.DONE, now_s))]
    step = move.step
    if _step_is_over(move, len(ready), new, evidence, now_s):
        step += 1
    share_ppm = limit_share(STEPS[step].share_ppm, len(ready), len(engines))
    shadow_ppm = 0
    if step < LAST_STEP and ready:
        canaries = min(len(ready), count_canaries(len(engines)))
        shadow_ppm = PPM * canaries // len(engines)
    actions: list[Action] = []
    moved = replace(move, share_ppm=share_ppm, shadow_ppm=shadow_ppm, step=step)
    if step != move.step:
        moved = replace(moved, step_started_s=now_s)
    if moved != move:
        actions.append(UpdateMove(moved))
    actions.extend(_order_next(moved, engines, now_s, load_s))
    return actions


def count_canaries(engines: int) -> int:
    """Return how many engines get copies of chats."""
    return max(1, math.ceil(CANARY_ENGINES_PPM * engines / PPM))


def limit_share(share_ppm: int, ready: int, engines: int) -> int:
    """Limit a share to the fraction of engines that are ready.

    One ready engine is enough for the share of `STEPS[1]`.
    """
    if not ready:
        return 0
    return min(share_ppm, max(PPM * ready // engines, min(share_ppm, STEPS[1].share_ppm)))


def _step_is_over(
    move: Move,
    ready: int,
    new: Mapping[str, OutcomeCounts],
    evidence: Mapping[str, Mapping[str, OutcomeCounts]],
    now_s: float,
) -> bool:
    if move.step == LAST_STEP or not ready:
        return False
    total_s = move.deadline_s - move.started_s
    overdue = (now_s - move.started_s) / total_s - STEPS[move.step].end_fraction
    if overdue < 0:
        return False
    old = count_requests(evidence.get(move.old_version, {}).values())
    needed = count_needed_outcomes(old, move.shadow_ppm)
    # A cold engine answers few copies; waiting for all of the evidence made a good version late.
    needed_fraction = max(MIN_EVIDENCE_FRACTION, 1.0 - overdue / MAX_STEP_DELAY_FRACTION)
    return count_requests(new.values()) >= math.ceil(needed * needed_fraction)


def count_needed_outcomes(old_requests: int, shadow_ppm: int) -> int:
    """Return how many outcomes of the new version a step needs before the next one.

    With little traffic it is half of the expected copies: without traffic there is no evidence to
    wait for, and no caller whom the version could harm.
    """
    return min(MIN_REQUESTS, old_requests * shadow_ppm // (2 * PPM))


def _order_next(
    move: Move, engines: Sequence[EngineView], now_s: float, load_s: float
) -> list[Action]:
    share = math.ceil(STEPS[move.step].share_ppm * len(engines) / PPM)
    wanted = max(count_canaries(len(engines)), share)
    moved = [e for e in engines if e.version == move.new_version]
    loading = sum(1 for e in engines if not e.ready)
    missing = wanted - len(moved)
    if missing <= 0:
        return []
    parallel = count_parallel_loads(len(engines), missing, move.deadline_s - now_s, load_s)
    actions: list[Action] = []
    for engine in sorted(engines, key=lambda e: e.name):
        if engine.version == move.new_version or not engine.ready:
            continue
        if len(actions) >= min(missing, parallel - loading):
            break
        actions.append(OrderVersion(engine.name, move.new_version))
    return actions


def count_parallel_loads(engines: int, missing: int, left_s: float, load_s: float) -> int:
    """Return how many engines may load at once: a tenth, or more if the deadline requires it."""
    usual = max(1, int(engines * MAX_PARALLEL_LOADS_FRACTION))
    needed = math.ceil(missing * load_s / max(load_s, left_s * 0.5))
    return min(max(usual, needed), max(1, engines // 2))


def _plan_rollback(move: Move, engines: Sequence[EngineView], now_s: float) -> list[Action]:
    actions: list[Action] = []
    remaining = 0
    for engine in engines:
        # An order to load the new version may still reach an engine that never loaded it.
        # The engine refuses it once it has seen the fencing token of this phase.
        if engine.version != move.new_version and engine.fenced:
            continue
        remaining += 1
        if engine.ready:
            actions.append(OrderVersion(engine.name, move.old_version))
    if remaining == 0 and all(engine.ready for engine in engines):
        actions.append(UpdateMove(_finish(move, MovePhase.ROLLED_BACK, now_s)))
    return actions


def _roll_back(move: Move, reason: str, now_s: float) -> UpdateMove:
    return UpdateMove(
        replace(
            move,
            phase=MovePhase.ROLLING_BACK,
            fence=move.fence + 1,
            share_ppm=0,
            shadow_ppm=0,
            step_started_s=now_s,
            reason=reason,
        )
    )


def _finish(move: Move, phase: MovePhase, now_s: float) -> Move:
    share_ppm = PPM if phase is MovePhase.DONE else 0
    return replace(move, phase=phase, share_ppm=share_ppm, shadow_ppm=0, finished_s=now_s)
