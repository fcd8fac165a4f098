"""Rows of quarantined parts of prompts in the store."""

from __future__ import annotations

from collections.abc import Sequence

from jayyoke.edge.storeclock import StoreClock
from jayyoke.platform.rowstore import RowStore
from jayyoke.platform.table import Put, Row

QUARANTINE_TABLE = "quarantine"


class StorePartStorage:
    """Holds the rows in a table of the store, with times of its steady clock."""

    def __init__(self, store: RowStore, clock: StoreClock):
        self._store = store
        self._clock = clock
        self._era: int | None = None

    async def read(self) -> Sequence[Row]:
        """Return all rows; raise StoreUnavailable."""
        page = await self._store.read(QUARANTINE_TABLE)
        self._clock.update(page.now_ms, page.answered_s, page.era)
        self._era = page.era
        return page.rows

    async def write(self, put: Put) -> None:
        """Write or remove a row; raise Conflict or StoreUnavailable."""
        era = None if put.expect is None else self._era
        page = await self._store.write(QUARANTINE_TABLE, [put], era)
        self._clock.update(page.now_ms, page.answered_s, page.era)

    def read_ms(self) -> int:
        """Return the time of the store's clock, or 0 before its first answer."""
        return self._clock.read_ms()
