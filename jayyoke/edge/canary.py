"""Decides how a service moves to another version: its share, when it is bad, when it is done.

Every instance decides alike from the same rows, so that no instance leads. The share grows with
the time since the move's status row was written; the counts of all instances judge the version.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass

from jayyoke.core.move import Counts
from jayyoke.core.route import MoveOrder, MoveState, MoveStatus
from jayyoke.core.upstream import Upstream
from jayyoke.ops.evidence import judge

# Part of the users' bound for bad versions that a version gets until the counts had time to show
# whether it is one.
FIRST_PART = 0.4
# Later shares by the part of the order's time at which they begin.
STEPS = ((0.35, 0.15), (0.55, 0.4), (0.72, 1.0))
# Requests that run on old upstreams when the last step begins have ended by then.
DONE_PART = 0.92
# An answer this many times slower than the old version's mean counts as slow.
SLOW_FACTOR = 3.0
SLOW_SLACK_S = 0.05
# A version that appears before its order is held back for this long: rows come on two feeds.
UNORDERED_HOLD_S = 2.0


@dataclass(frozen=True, slots=True)
class Split:
    """Says which versions a request may go to: `share` of them to `version`, the rest to others.

    `version` is empty without a move.
    """

    version: str = ""
    share: float = 0.0


@dataclass(frozen=True, slots=True)
class NextState:
    """Asks for the status row to be written."""

    state: MoveState
    reason: str


def split_versions(
    order: MoveOrder | None,
    status: MoveStatus | None,
    store_ms: int,
    halted: bool,
    canary_share: float,
) -> Split:
    """Return the split in force; without a status row the move has not begun."""
    if order is None:
        if status is not None and status.state is MoveState.REVERTED:
            return Split(status.version, 0.0)
        return Split()
    if status is None or status.order != order.revision:
        return Split(order.version, 0.0)
    match status.state:
        case MoveState.DONE:
            return Split(order.version, 1.0)
        case MoveState.REVERTED:
            return Split(order.version, 0.0)
        case MoveState.ACTIVE:
            if halted:
                return Split(order.version, 0.0)
            return Split(order.version, find_share(order, status, store_ms, canary_share))


def find_share(order: MoveOrder, status: MoveStatus, store_ms: int, canary_share: float) -> float:
    """Return the new version's share of the requests at this time."""
    part = _find_part(order, status, store_ms)
    share = FIRST_PART * canary_share
    for begins, step_share in STEPS:
        if part >= begins:
            share = step_share
    return share


def decide_state(
    order: MoveOrder,
    status: MoveStatus | None,
    store_ms: int,
    counts: Mapping[tuple[str, str], Counts],
    live_new: int,
) -> NextState | None:
    """Return the state to write next, or None; counts are totals by version and route."""
    if status is None or status.order != order.revision:
        return NextState(MoveState.ACTIVE, "ordered")
    if status.state is not MoveState.ACTIVE:
        return None
    new = {route: value for (version, route), value in counts.items() if version == order.version}
    old = _add_versions(counts, order.version)
    verdict = judge(new, old) if new else None
    if verdict is not None:
        return NextState(MoveState.REVERTED, str(verdict))
    part = _find_part(order, status, store_ms)
    if part >= 1.0 and live_new == 0:
        return NextState(MoveState.REVERTED, "no upstream of the version was live in time")
    if part >= DONE_PART and live_new > 0:
        return NextState(MoveState.DONE, "no fault was seen")
    return None


def is_slow(latency_s: float, usual_s: float | None) -> bool:
    """Tell whether an answer took much longer than the old version's usual one."""
    return usual_s is not None and latency_s > SLOW_FACTOR * usual_s + SLOW_SLACK_S


def select_versions(
    upstreams: Sequence[Upstream],
    split: Split,
    draw: float,
    held: frozenset[str],
) -> list[Upstream]:
    """Return the upstreams that a request may use; draw is uniform in [0, 1).

    Upstreams of the old version take over while the new one has none, since they still run; the
    new one takes over only from its full share on. `held` are versions that nobody ordered yet.
    """
    if not split.version:
        known = [found for found in upstreams if found.version not in held]
        return known or list(upstreams)
    new = [found for found in upstreams if found.version == split.version]
    old = [found for found in upstreams if found.version != split.version]
    if split.share >= 1.0:
        return new or old
    if split.share > 0.0 and draw < split.share and new:
        return new
    return old


def find_held_versions(
    upstreams: Sequence[Upstream], first_seen_s: Mapping[str, float], now_s: float
) -> frozenset[str]:
    """Return versions that only upstreams of the last moments have, beside established ones."""
    fresh = set()
    established = set()
    for found in upstreams:
        age_s = now_s - first_seen_s.get(found.incarnation, 0.0)
        (established if age_s > UNORDERED_HOLD_S else fresh).add(found.version)
    return frozenset(fresh - established) if established else frozenset()


def _add_versions(counts: Mapping[tuple[str, str], Counts], without: str) -> dict[str, Counts]:
    sums: dict[str, Counts] = {}
    for (version, route), value in counts.items():
        if version != without:
            sums[route] = sums.get(route, Counts()).add(value)
    return sums


def _find_part(order: MoveOrder, status: MoveStatus, store_ms: int) -> float:
    elapsed_s = (store_ms - status.started_ms) / 1000
    return max(0.0, elapsed_s) / max(0.1, order.duration_s)
