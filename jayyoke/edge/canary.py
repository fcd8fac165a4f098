"""Decides the steps of a version move: the new version's share, its rollback and its end.

All instances make the same decision from the same rows, so none has to lead. The version is judged
by the counts of all instances. Its share grows only after enough good answers, and is stored in the
move's status row, which all instances read.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping, Sequence
from dataclasses import dataclass

from jayyoke.core.entrysettings import Bounds
from jayyoke.core.move import OutcomeCounts
from jayyoke.core.route import MoveOrder, MoveState, MoveStatus
from jayyoke.core.upstream import Upstream
from jayyoke.eras.movestatus import is_status_of
from jayyoke.ops.evidence import compare_versions, count_requests, judge

# Fraction of the users' bound for bad versions that a new version gets at first, until the counts
# can show whether it is bad.
INITIAL_SHARE_FRACTION = 0.4
# From this fraction of the order's time on, and after a few answers, a version on trial gets the
# share that keeps it within TRIAL_SHARE_FRACTION of the users' bound until the deadline.
TRIAL_START_FRACTION = 0.2
TRIAL_SHARE_FRACTION = 0.8
MIN_TRIAL_ANSWERS = 3
# A version that got about this many requests and answered almost none is reverted.
MIN_SILENT_REQUESTS = 10
# Requests that run on old upstreams at the start of the last step have ended by then.
DONE_FRACTION = 0.92
# Smaller increases are not written: rows hold rounded shares, and each write reaches all instances.
MIN_SHARE_INCREASE = 0.02
# The share of a version does not grow while the evidence against it exceeds ten to one.
HOLD_LOG_RATIO = math.log(10)
# A version seen before its order gets no requests for this long, since orders and upstreams come on
# two feeds.
UNORDERED_HOLD_S = 2.0
# Upstreams of a version that is set aside drain within seconds, so few are there at once.
MAX_SET_ASIDE = 8


@dataclass(frozen=True, slots=True)
class Split:
    """Divides requests between versions: `share` of them go to `version`, the rest to others.

    `version` is empty if no move is under way. Versions in `set_aside` get nothing. If
    `may_serve_alone` is set, `version` gets all requests while all others are set aside or gone.
    """

    version: str = ""
    share: float = 0.0
    set_aside: tuple[str, ...] = ()
    may_serve_alone: bool = False


@dataclass(frozen=True, slots=True)
class Step:
    """Allows a version a share from a fraction of the order's time on.

    `min_answers` of its answers must have been counted, without strong evidence against it.
    """

    start_fraction: float
    share: float
    min_answers: int


# A version of which one answer in five is bad passes 15 answers in 1 of 28 cases, 30 in 1 of 800.
# The last step needs fewer: services with few requests never reach 30, but their old upstreams need
# time to finish as well.
STEPS = (Step(0.55, 0.4, 15), Step(0.72, 1.0, 30), Step(0.8, 1.0, 8))


@dataclass(frozen=True, slots=True)
class NextState:
    """Holds what to write to the status row."""

    state: MoveState
    reason: str
    share: float = 0.0


def split_versions(
    order: MoveOrder | None,
    status: MoveStatus | None,
    halted: bool,
    earlier: Sequence[MoveOrder] = (),
) -> Split:
    """Return the split in force; a move without a status row has not begun."""
    set_aside = find_set_aside(order, status, earlier)
    if order is None:
        if status is not None and status.state is MoveState.ROLLED_BACK:
            return Split(status.version, 0.0, status.set_aside)
        return Split(set_aside=set_aside)
    # An order after one that was not done may go back to the old version.
    may_serve_alone = bool(set_aside)
    if status is None or not is_status_of(status, order):
        return Split(order.version, 0.0, set_aside, may_serve_alone)
    match status.state:
        case MoveState.DONE:
            return Split(order.version, 1.0, set_aside)
        case MoveState.ROLLED_BACK:
            return Split(order.version, 0.0, set_aside)
        case MoveState.ACTIVE:
            if halted:
                return Split(order.version, 0.0, set_aside)
            return Split(order.version, status.share, set_aside, may_serve_alone)


def find_set_aside(
    order: MoveOrder | None, status: MoveStatus | None, earlier: Sequence[MoveOrder] = ()
) -> tuple[str, ...]:
    """Return the versions of earlier orders that were not found good, the newest last.

    The status may still be that of an order before; `earlier` are the orders that this instance saw
    being replaced.
    """
    versions: list[str] = []
    if status is not None:
        versions.extend(version for version in status.set_aside if version != status.version)
        if _is_unproven(order, status):
            versions.append(status.version)
    for before in earlier:
        # Nothing is known of how its move went.
        if status is None or status.order < before.revision:
            versions.append(before.version)
    if order is not None:
        versions = [version for version in versions if version != order.version]
    return tuple(dict.fromkeys(versions))[-MAX_SET_ASIDE:]


def _is_unproven(order: MoveOrder | None, status: MoveStatus) -> bool:
    """Tell whether a move has not shown its version to be good, and will not."""
    if status.state is MoveState.ROLLED_BACK:
        return True
    superseded = order is not None and not is_status_of(status, order)
    # With all requests it is done but for the last row, and its old upstreams may be gone.
    return superseded and status.state is MoveState.ACTIVE and status.share < 1.0


def drop_versions(
    counts: Mapping[tuple[str, str], OutcomeCounts], versions: Collection[str]
) -> dict[tuple[str, str], OutcomeCounts]:
    """Return the counts of all other versions."""
    return {key: value for key, value in counts.items() if key[0] not in versions}


def decide_state(
    order: MoveOrder,
    status: MoveStatus | None,
    store_ms: int,
    counts: Mapping[tuple[str, str], OutcomeCounts],
    live_new: int,
    bounds: Bounds,
) -> NextState | None:
    """Return the state to write next, or None to leave the row unchanged.

    `counts` are totals by version and route, `live_new` is the number of live upstreams of the new
    version.
    """
    if status is None or not is_status_of(status, order):
        return NextState(MoveState.ACTIVE, "ordered", INITIAL_SHARE_FRACTION * bounds.canary_share)
    if status.state is not MoveState.ACTIVE:
        return None
    new = {route: value for (version, route), value in counts.items() if version == order.version}
    old = _sum_other_versions(counts, order.version)
    verdict = judge(new, old) if new else None
    if verdict is not None:
        return NextState(MoveState.ROLLED_BACK, str(verdict))
    elapsed = _find_elapsed_fraction(order, status, store_ms)
    if elapsed >= 1.0 and live_new == 0:
        return NextState(MoveState.ROLLED_BACK, "no upstream of the version was live in time")
    finding = max(compare_versions(new, old), key=lambda found: found.log_ratio)
    doubtful = finding.log_ratio > HOLD_LOG_RATIO
    answers = count_requests(new.values())
    old_answers = count_requests(old.values())
    if elapsed >= DONE_FRACTION and live_new > 0:
        if doubtful:
            return NextState(MoveState.ROLLED_BACK, f"not cleared in time: {finding.verdict}")
        if answers < MIN_TRIAL_ANSWERS and status.share * old_answers >= MIN_SILENT_REQUESTS:
            return NextState(MoveState.ROLLED_BACK, f"only {answers} answers came")
        return NextState(MoveState.DONE, "no fault was seen")
    if doubtful or live_new == 0:
        return None
    share = _find_share(elapsed, answers, old_answers, bounds)
    if share < status.share + MIN_SHARE_INCREASE:
        return None
    return NextState(MoveState.ACTIVE, f"nothing speaks against {answers} answers", share)


def _find_share(elapsed: float, new_answers: int, old_answers: int, bounds: Bounds) -> float:
    """Return the share of a version without strong evidence against it."""
    share = INITIAL_SHARE_FRACTION * bounds.canary_share
    expected = (new_answers + old_answers) / max(elapsed, 0.01)
    if elapsed >= TRIAL_START_FRACTION:
        extra = bounds.canary_extra / expected if new_answers >= MIN_TRIAL_ANSWERS else 0.0
        share = max(share, min(1.0, TRIAL_SHARE_FRACTION * (bounds.canary_share + extra)))
    for step in STEPS:
        if elapsed >= step.start_fraction and new_answers >= step.min_answers:
            share = max(share, step.share)
    return share


def select_upstreams(
    upstreams: Sequence[Upstream],
    split: Split,
    draw: float,
    unordered: frozenset[str],
) -> list[Upstream]:
    """Return the upstreams that a request may use; draw is uniform in [0, 1).

    While the new version has no upstreams, all requests go to the old ones, which still run; the
    reverse holds only once the new version has its full share, or if it may serve alone. Versions
    in `unordered` are used only if there are no others.
    """
    usable = upstreams
    if split.set_aside:
        usable = [found for found in upstreams if found.version not in split.set_aside]
    if not split.version:
        known = [found for found in usable if found.version not in unordered]
        return known or list(usable)
    new = [found for found in usable if found.version == split.version]
    old = [found for found in usable if found.version != split.version]
    if split.share >= 1.0:
        return new or old
    if split.may_serve_alone and not old:
        return new
    if split.share > 0.0 and draw < split.share and new:
        return new
    return old


def find_unordered_versions(
    upstreams: Sequence[Upstream], first_seen_s: Mapping[str, float], now_s: float
) -> frozenset[str]:
    """Return the versions whose upstreams were all first seen within `UNORDERED_HOLD_S`.

    The set is empty if no upstream was seen before that.
    """
    fresh = set()
    established = set()
    for found in upstreams:
        age_s = now_s - first_seen_s.get(found.incarnation, 0.0)
        (established if age_s > UNORDERED_HOLD_S else fresh).add(found.version)
    return frozenset(fresh - established) if established else frozenset()


def _sum_other_versions(
    counts: Mapping[tuple[str, str], OutcomeCounts], without: str
) -> dict[str, OutcomeCounts]:
    sums: dict[str, OutcomeCounts] = {}
    for (version, route), value in counts.items():
        if version != without:
            sums[route] = sums.get(route, OutcomeCounts()).add(value)
    return sums


def _find_elapsed_fraction(order: MoveOrder, status: MoveStatus, store_ms: int) -> float:
    elapsed_s = (store_ms - status.started_ms) / 1000
    return max(0.0, elapsed_s) / max(0.1, order.duration_s)
