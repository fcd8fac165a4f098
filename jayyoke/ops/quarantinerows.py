"""Keeps the quarantined parts of prompts on the platform, for a restart of all instances.

An instance reads the rows once, when it starts. The instances that saw a part's ends write its row,
and one that sees an answer on the part removes it.
"""

from __future__ import annotations

import asyncio
import hashlib
import json
import random
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from jayyoke.core.error import Conflict, PlatformError, StoreUnavailable
from jayyoke.ops.partkeys import MAX_KEY_CHARACTERS
from jayyoke.ops.partrecord import MAX_ENDS_PER_PART, EngineEnd, PartEvidence
from jayyoke.ops.quarantine import KEPT_S, Quarantine
from jayyoke.platform.decode import MAX_NUMBER
from jayyoke.platform.table import Put, Row
from jayyoke.utils.jsontext import parse_unique_json

MAX_ROW_BYTES = 4096
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 8.0
# A row that is not written by then may be one that the store does not accept.
MAX_TRIES = 12
# A prompt may have thousands of parts, and the store takes few writes a second.
MAX_ROWS_PER_END = 64
# With more changes than this, reading the rows first saves removals of rows that are not there.
MAX_BLIND_CHANGES = 8
# Rows whose writing or removal the platform may have lost.
MAX_OWN_ROWS = 256


class InvalidStoredPart(PlatformError):
    """Reports a row that holds no part."""


@dataclass(frozen=True, slots=True)
class StoredPart:
    """Holds a part's row; ends are pairs of an engine and a time of the storage's clock."""

    key: str
    ends: tuple[tuple[str, int], ...]

    @property
    def last_end_ms(self) -> int:
        """Return the time of the newest end."""
        return max((at_ms for _, at_ms in self.ends), default=0)


class PartStorage(Protocol):
    """Holds the rows; calls raise StoreUnavailable or Conflict."""

    async def read(self) -> Sequence[Row]:
        """Return all rows."""
        ...

    async def write(self, put: Put) -> None:
        """Write or remove a row."""
        ...

    def read_ms(self) -> int:
        """Return the time of the clock that the rows use, as of the newest answer, or 0."""
        ...


class QuarantineRows:
    """Reads and writes the rows of quarantined parts.

    `on_read` is called with each part that is quarantined by a row, `on_problem` with each fault.
    `is_writer` tells for which parts this instance writes rows again that the platform has lost.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        storage: PartStorage,
        now_s: Callable[[], float],
        on_read: Callable[[str], None],
        on_problem: Callable[[str], None],
        is_writer: Callable[[str], bool] = lambda key: False,
    ):
        self._is_writer = is_writer
        # Parts whose rows this instance has written or removed, the newest last.
        self._own: dict[str, None] = {}
        self._quarantine = quarantine
        self._storage = storage
        self._now_s = now_s
        self._on_read = on_read
        self._on_problem = on_problem
        self._changed: dict[str, None] = {}
        self._wake = asyncio.Event()

    def mark_changed(self, key: str) -> None:
        """Write or remove a part's row soon."""
        self._changed[key] = None
        self._wake.set()

    def record_end(self, keys: Sequence[str]) -> None:
        """Write the rows of those parts that an engine's end has quarantined."""
        held = set(self._quarantine.list_quarantined())
        quarantined = [key for key in keys if key in held]
        for key in quarantined[:MAX_ROWS_PER_END]:
            self.mark_changed(key)

    def write_again(self) -> None:
        """Write or remove rows again after the platform has come back with an older copy."""
        keys = dict(self._own)
        for key in self._quarantine.list_quarantined():
            if self._is_writer(key):
                keys[key] = None
        for key in keys:
            self.mark_changed(key)

    async def run(self) -> None:
        """Read the rows once and write those that change, until cancelled."""
        await self._retry(self._read)
        while True:
            await self._wake.wait()
            self._wake.clear()
            if len(self._changed) > MAX_BLIND_CHANGES:
                await self._retry(self._drop_needless_removals, MAX_TRIES)
            for key in list(self._changed):
                del self._changed[key]
                self._remember(key)
                await self._retry(lambda key=key: self._write(key), MAX_TRIES)

    def _remember(self, key: str) -> None:
        self._own.pop(key, None)
        self._own[key] = None
        while len(self._own) > MAX_OWN_ROWS:
            del self._own[next(iter(self._own))]

    async def _drop_needless_removals(self) -> None:
        stored = {row.key for row in await self._storage.read()}
        held = set(self._quarantine.list_quarantined())
        for key in list(self._changed):
            if key not in held and _build_row_key(key) not in stored:
                del self._changed[key]

    async def _retry(self, call: Callable[[], Awaitable[None]], tries: int | None = None) -> None:
        retry_s = FIRST_RETRY_S
        count = 0
        while True:
            try:
                await call()
                return
            except (Conflict, StoreUnavailable) as error:
                count += 1
                self._on_problem(str(error))
            if count == tries:
                return
            await asyncio.sleep(retry_s * random.uniform(0.7, 1.3))
            retry_s = min(MAX_RETRY_S, 2 * retry_s)

    async def _read(self) -> None:
        rows = await self._storage.read()
        now_ms, now_s = self._storage.read_ms(), self._now_s()
        for row in rows:
            part = self._decode(row)
            if part is None or now_ms - part.last_end_ms > KEPT_S * 1000:
                await self._storage.write(Put(row.key, None, row.version))
                continue
            ends = []
            for engine, at_ms in part.ends:
                ends.append(EngineEnd(engine, now_s - max(0, now_ms - at_ms) / 1000))
            for key in self._quarantine.merge([PartEvidence(part.key, tuple(ends))]):
                self._on_read(key)

    def _decode(self, row: Row) -> StoredPart | None:
        try:
            return decode_stored_part(row)
        except InvalidStoredPart as error:
            self._on_problem(str(error))
            return None

    async def _write(self, key: str) -> None:
        row_key = _build_row_key(key)
        if key not in self._quarantine.list_quarantined():
            await self._storage.write(Put(row_key, None, None))
            return
        if not self._storage.read_ms():
            # An answer tells the clock.
            await self._storage.read()
        now_ms, now_s = self._storage.read_ms(), self._now_s()
        ends = []
        for end in self._quarantine.describe(key).ends:
            ends.append([end.engine, max(0, now_ms - int((now_s - end.at_s) * 1000))])
        value = json.dumps({"part": key, "ends": ends}).encode()
        await self._storage.write(Put(row_key, value, None))


def _build_row_key(key: str) -> str:
    return hashlib.sha256(key.encode()).hexdigest()[:40]


def decode_stored_part(row: Row) -> StoredPart:
    """Return a row's part; raise InvalidStoredPart."""
    try:
        body = parse_unique_json(row.value, MAX_ROW_BYTES)
        key = body["part"]
        if not isinstance(key, str) or not 0 < len(key) <= MAX_KEY_CHARACTERS:
            raise ValueError("the part is no key")
        ends = []
        for engine, at_ms, *_ in body["ends"][:MAX_ENDS_PER_PART]:
            if not isinstance(engine, str) or not 0 <= int(at_ms) <= MAX_NUMBER:
                raise ValueError("an end is out of range")
            ends.append((engine, int(at_ms)))
        return StoredPart(key, tuple(ends))
    except (ValueError, TypeError, KeyError, AttributeError, OverflowError) as error:
        raise InvalidStoredPart(f"{row.key[:80]!a}: {error!r}") from error
