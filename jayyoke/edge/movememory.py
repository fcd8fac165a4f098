"""What an instance remembers of version moves while the store comes back from an older copy.

An operator writes a lost order again under another revision, and a status names its order by the
revision. So an order that says the same as one of an older era is that order, and has its status.
"""

from __future__ import annotations

import dataclasses
import math
from collections.abc import Mapping
from dataclasses import dataclass

from jayyoke.core.route import MoveOrder, MoveStatus
from jayyoke.edge.canary import find_set_aside
from jayyoke.edge.tablecopy import TableCopy
from jayyoke.eras.fact import RESTORE_S, KeptFact
from jayyoke.eras.movestatus import is_same_order, is_status_of, settle_status
from jayyoke.platform import names
from jayyoke.platform.decode import InvalidRow, decode_move_status, encode_move_status
from jayyoke.platform.table import Row

MAX_ORDERS_PER_SERVICE = 8
MAX_ORIGINS = 500


@dataclass(frozen=True, slots=True)
class RememberedOrder:
    """Holds an order of an older era and its status; if `until_s` is infinite, it was lost."""

    order: MoveOrder
    status: MoveStatus | None
    until_s: float


class MoveMemory:
    """Holds the orders of older eras until they are written again."""

    def __init__(self) -> None:
        self._orders: dict[str, list[RememberedOrder]] = {}
        self._origins: dict[tuple[str, int], int] = {}

    def find_origin(self, order: MoveOrder) -> int:
        """Return the revision under which an order was first written."""
        return self._origins.get((order.service, order.revision), order.revision)

    def knows(self, order: MoveOrder) -> bool:
        """Tell whether an order of an older era is remembered."""
        return any(found.order == order for found in self._orders.get(order.service, ()))

    def remember(
        self, order: MoveOrder, status: MoveStatus | None, in_copy: bool, now_s: float
    ) -> None:
        """Remember an order of an older era, which the older copy has as well or has lost."""
        if status is not None and not is_status_of(status, order):
            status = None
        known = self._orders.get(order.service, [])
        others = [found for found in known if not is_same_order(found.order, order)]
        until_s = now_s + RESTORE_S if in_copy else math.inf
        entry = RememberedOrder(order, status, until_s)
        self._orders[order.service] = [*others, entry][-MAX_ORDERS_PER_SERVICE:]

    def take(self, order: MoveOrder, status: MoveStatus | None, now_s: float) -> MoveStatus | None:
        """Return the status of an order that is written again, or None if there is none.

        `status` is the one in force for the service.
        """
        entries = self._orders.get(order.service, [])
        for entry in entries:
            if not is_same_order(entry.order, order) or entry.until_s < now_s:
                continue
            if entry.order.revision == order.revision:
                return None
            entries.remove(entry)
            known = entry.status
            if status is not None and is_status_of(status, entry.order):
                known = status
            if entry.until_s < math.inf:
                entries.append(dataclasses.replace(entry, order=order, status=None))
            origins = self._origins
            origins[(order.service, order.revision)] = self.find_origin(entry.order)
            while len(origins) > MAX_ORIGINS:
                del origins[next(iter(origins))]
            return None if known is None else dataclasses.replace(known, order=order.revision)
        return None


def keep_status(copy: TableCopy, status: MoveStatus, era: int) -> None:
    """Keep a status over the store's row; `era` is that of the orders."""
    key = names.MOVE_PREFIX + status.service
    known = copy.kept.get(key)
    row = known.row if known is not None else copy.rows.get(key)
    version = 0 if row is None else row.version
    known_era = known.era if known is not None else min(copy.era, era - 1)
    copy.kept[key] = KeptFact(Row(key, encode_move_status(status), version), known_era)


def keep_set_aside(
    copy: TableCopy, order: MoveOrder | None, status: MoveStatus, earlier: tuple[MoveOrder, ...]
) -> None:
    """Add the versions of earlier orders to a status, since their revisions order no more."""
    versions = find_set_aside(order, status, earlier)
    if status.version in versions:
        versions = tuple(version for version in versions if version != status.version)
    if set(versions) > set(status.set_aside):
        keep_status(copy, dataclasses.replace(status, set_aside=versions), copy.era + 1)


def settle_kept(copy: TableCopy, orders: Mapping[str, MoveOrder]) -> None:
    """Decide between the kept statuses and the store's, and keep those that differ."""
    for key, fact in list(copy.kept.items()):
        service = key[len(names.MOVE_PREFIX) :]
        row = copy.rows.get(key)
        try:
            kept = decode_move_status(fact.row.value, service)
        except InvalidRow:
            del copy.kept[key]
            continue
        found = None if row is None else _decode(row, service)
        written_again = row is not None and row.version > copy.base
        chosen = settle_status(kept, found, orders.get(service), written_again)
        if chosen == found:
            del copy.kept[key]
        elif chosen != kept:
            value = encode_move_status(chosen)
            row = Row(key, value, fact.row.version)
            copy.kept[key] = dataclasses.replace(fact, row=row)


def _decode(row: Row, service: str) -> MoveStatus | None:
    try:
        return decode_move_status(row.value, service)
    except InvalidRow:
        return None
