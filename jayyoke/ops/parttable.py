"""Rows of quarantined parts of prompts in the platform's table."""

from __future__ import annotations

import time
from collections.abc import Sequence

from jayyoke.platform.table import Put, Row, Table

PREFIX = "quarantine/"
# More parts are quarantined only by an attack; the newest evidence is with the instances.
MAX_ROWS = 1024
PAGE_ROWS = 100


class TablePartStorage:
    """Holds the rows under a prefix of the table, with Unix times."""

    def __init__(self, table: Table):
        self._table = table

    async def read(self) -> Sequence[Row]:
        """Return all rows; raise StoreUnavailable."""
        rows: list[Row] = []
        after = ""
        while len(rows) < MAX_ROWS:
            page = await self._table.scan(PREFIX, after, PAGE_ROWS)
            for row in page:
                rows.append(Row(row.key.removeprefix(PREFIX), row.value, row.version))
            if len(page) < PAGE_ROWS:
                break
            after = page[-1].key
        return rows

    async def write(self, put: Put) -> None:
        """Write or remove a row; raise Conflict or StoreUnavailable."""
        await self._table.commit([Put(PREFIX + put.key, put.value, put.expect)])

    def read_ms(self) -> int:
        """Return the Unix time in milliseconds."""
        return int(time.time() * 1000)
