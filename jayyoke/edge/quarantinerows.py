"""Keeps the quarantined parts of prompts in the store, for the case that all instances restart.

An instance reads the rows once, when it starts. The instances that saw a part's ends write its row,
and one that sees an answer on the part removes it.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
from collections.abc import Awaitable, Callable
from dataclasses import dataclass

from jayyoke.core.error import Conflict, StoreUnavailable
from jayyoke.edge.log import log_event
from jayyoke.edge.quarantinelog import log_quarantined
from jayyoke.edge.storeclock import StoreClock
from jayyoke.ops.quarantine import (
    KEPT_S,
    MAX_ENDS_PER_PART,
    MAX_KEY_CHARACTERS,
    EngineEnd,
    PartEvidence,
    Quarantine,
)
from jayyoke.platform.decode import MAX_NUMBER
from jayyoke.platform.rowstore import RowStore
from jayyoke.platform.table import Put, Row
from jayyoke.utils.jsontext import parse_unique_json

QUARANTINE_TABLE = "quarantine"
MAX_ROW_BYTES = 4096
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 8.0
# A row that is not written by then may be one that the store does not accept.
MAX_TRIES = 12


@dataclass(frozen=True, slots=True)
class StoredPart:
    """Holds a part's row; ends are pairs of an engine and a time of the store's steady clock."""

    key: str
    ends: tuple[tuple[str, int], ...]

    @property
    def last_end_ms(self) -> int:
        """Return the time of the newest end."""
        return max((at_ms for _, at_ms in self.ends), default=0)


class QuarantineRows:
    """Reads and writes the rows of quarantined parts."""

    def __init__(
        self,
        quarantine: Quarantine,
        store: RowStore,
        clock: StoreClock,
        now_s: Callable[[], float],
    ):
        self._quarantine = quarantine
        self._store = store
        self._clock = clock
        self._now_s = now_s
        self._changed: dict[str, None] = {}
        self._wake = asyncio.Event()

    def mark_changed(self, key: str) -> None:
        """Write or remove a part's row soon."""
        self._changed[key] = None
        self._wake.set()

    async def run(self) -> None:
        """Read the rows once and write those that change, until cancelled."""
        await self._retry(self._read)
        while True:
            await self._wake.wait()
            self._wake.clear()
            for key in list(self._changed):
                del self._changed[key]
                await self._retry(lambda key=key: self._write(key), MAX_TRIES)

    async def _retry(self, call: Callable[[], Awaitable[None]], tries: int | None = None) -> None:
        retry_s = FIRST_RETRY_S
        count = 0
        while True:
            try:
                await call()
                return
            except (Conflict, StoreUnavailable) as error:
                count += 1
                log_event("quarantine-store-away", reason=str(error), tries=count)
            if count == tries:
                return
            await asyncio.sleep(retry_s * random.uniform(0.7, 1.3))
            retry_s = min(MAX_RETRY_S, 2 * retry_s)

    async def _read(self) -> None:
        page = await self._store.read(QUARANTINE_TABLE)
        self._clock.update(page.now_ms, page.answered_s)
        evidence = []
        for row in page.rows:
            part = decode_stored_part(row)
            if part is None or page.now_ms - part.last_end_ms > KEPT_S * 1000:
                await self._store.write(QUARANTINE_TABLE, [Put(row.key, None, row.version)])
                continue
            ends = []
            for engine, at_ms in part.ends:
                age_s = max(0, page.now_ms - at_ms) / 1000
                ends.append(EngineEnd(engine, page.answered_s - age_s))
            evidence.append(PartEvidence(part.key, tuple(ends)))
        for key in self._quarantine.merge(evidence):
            log_quarantined(self._quarantine, key, source="store")

    async def _write(self, key: str) -> None:
        known = self._quarantine.describe(key)
        row_key = hashlib.sha256(key.encode()).hexdigest()[:40]
        if key not in self._quarantine.list_quarantined():
            await self._store.write(QUARANTINE_TABLE, [Put(row_key, None, None)])
            return
        if not self._clock.known:
            # The times of the ends are those of the store's clock.
            page = await self._store.read(QUARANTINE_TABLE)
            self._clock.update(page.now_ms, page.answered_s)
        now_ms = self._clock.read_ms()
        now_s = self._now_s()
        ends = [[end.engine, now_ms - int((now_s - end.at_s) * 1000)] for end in known.ends]
        value = json.dumps({"part": key, "ends": ends}).encode()
        await self._store.write(QUARANTINE_TABLE, [Put(row_key, value, None)])


def decode_stored_part(row: Row) -> StoredPart | None:
    """Return a row's part, or None if the row is unusable."""
    try:
        body = parse_unique_json(row.value, MAX_ROW_BYTES)
        key = body["part"]
        if not isinstance(key, str) or not 0 < len(key) <= MAX_KEY_CHARACTERS:
            raise ValueError("the part is no key")
        ends = []
        for engine, at_ms in body["ends"][:MAX_ENDS_PER_PART]:
            if not isinstance(engine, str) or not 0 <= int(at_ms) <= MAX_NUMBER:
                raise ValueError("an end is out of range")
            ends.append((engine, int(at_ms)))
        return StoredPart(key, tuple(ends))
    except (ValueError, TypeError, KeyError, AttributeError, OverflowError) as error:
        log_event("row-unusable", finding=f"{QUARANTINE_TABLE}/{row.key}: {error!r}")
        return None
