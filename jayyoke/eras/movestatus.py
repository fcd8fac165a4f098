"""Which status of a version move is in force after the store has come back from an older copy.

Designed for a move that ended in the seconds that the store has lost: the copy says that it runs,
or knows nothing of it, and the version that it took back must not get requests again.
"""

from __future__ import annotations

import dataclasses

from jayyoke.core.route import MoveOrder, MoveState, MoveStatus

# As many as a status row names.
MAX_SET_ASIDE = 8
_RANKS = {MoveState.ACTIVE: 0, MoveState.DONE: 1, MoveState.ROLLED_BACK: 2}


def is_status_of(status: MoveStatus, order: MoveOrder) -> bool:
    """Tell whether a status is that of an order; revisions alone are given out again."""
    return status.order == order.revision and status.version == order.version


def is_same_order(known: MoveOrder, found: MoveOrder) -> bool:
    """Tell whether an order says the same as one of another era."""
    return (known.version, known.duration_s) == (found.version, found.duration_s)


def settle_status(
    kept: MoveStatus, found: MoveStatus | None, order: MoveOrder | None, written_again: bool
) -> MoveStatus:
    """Return the status in force, given the one kept from an older era and the store's.

    `written_again` is set if the store's row was written in the present era.
    """
    if found is None:
        return kept
    if (kept.order, kept.version) == (found.order, found.version):
        chosen = max(kept, found, key=_rank)
        other = found if chosen is kept else kept
        return _set_aside(chosen, (*other.set_aside, *chosen.set_aside))
    if not written_again:
        return kept
    if order is not None and is_status_of(kept, order) and not is_status_of(found, order):
        return kept
    versions = list(kept.set_aside)
    if kept.state is MoveState.ROLLED_BACK or (kept.state is MoveState.ACTIVE and kept.share < 1.0):
        versions.append(kept.version)
    return _set_aside(found, (*versions, *found.set_aside))


def _rank(status: MoveStatus) -> tuple[int, float]:
    return _RANKS[status.state], status.share


def _set_aside(status: MoveStatus, versions: tuple[str, ...]) -> MoveStatus:
    others = [version for version in versions if version != status.version]
    return dataclasses.replace(status, set_aside=tuple(dict.fromkeys(others))[-MAX_SET_ASIDE:])
