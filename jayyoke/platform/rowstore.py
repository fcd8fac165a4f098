"""Client of the platform's store for entry instances: tables of rows that can be followed."""

from __future__ import annotations

import base64
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Any, Protocol

import aiohttp

from jayyoke.core.error import Conflict, Effect, PlatformError, StoreUnavailable
from jayyoke.platform import names
from jayyoke.platform.body import read_body
from jayyoke.platform.table import Put, Row
from jayyoke.utils.boottime import read_boot_time_s
from jayyoke.utils.jsontext import parse_json

MAX_ANSWER_BYTES = 16 << 20
# A call normally takes 4 ms, with the users' slowest store 80 times as long. The answer to a read
# may take longer as long as data keeps arriving.
CALL_TIMEOUT_S = 1.0
# How long after the requested wait a feed may answer before its connection counts as lost.
FEED_SLACK_S = 0.6
# A configuration of 700 KB takes 1.1 s on the slowest link (5 Mbit/s), longer beside requests.
TRANSFER_TIMEOUT_S = 5.0
PAGE_ROWS = 500
# A read of several pages begins again if the store comes back from an older copy in between.
MAX_READ_STARTS = 3
# Keeps fencing tokens, which hold the era in their upper half, within 64 bits.
MAX_ERA = 2**31 - 1


class HistoryLost(PlatformError):
    """Reports that the store does not have all changes since a revision."""


class EraChanged(StoreUnavailable):
    """Reports that the conditions of a write name revisions of an older era.

    The effect is unknown unless the write was not sent: revisions are given out again.
    """


class EraRecorder(Protocol):
    """Keeps the newest era that was named."""

    @property
    def value(self) -> int:
        """Return the newest known era, or 0."""

    def update(self, era: int) -> None:
        """Record an era that the store has named."""


class _LastEra:
    """Keeps the newest era for a store that no other part watches."""

    __slots__ = ("value",)

    def __init__(self) -> None:
        self.value = 0

    def update(self, era: int) -> None:
        self.value = max(self.value, era)


@dataclass(frozen=True, slots=True)
class RowPage:
    """Holds rows of one table as of one moment.

    `now_ms` is the time of the store's steady clock. `removed` holds deleted rows with the
    revisions of their deletion. `answered_s`, in seconds since boot, is when the answer began to
    arrive; it does not hold later changes. Revisions count within `era` only, which is 0 if the
    store names none.
    """

    rows: tuple[Row, ...]
    revision: int
    now_ms: int
    removed: tuple[Row, ...] = ()
    answered_s: float = 0.0
    era: int = 0


@dataclass(frozen=True, slots=True)
class _Answer:
    """Holds the body and the era of an answer, and when it began to arrive (s since boot)."""

    body: dict[str, Any]
    answered_s: float
    era: int


class RowStore:
    """Reads, follows and writes tables; every call has a timeout in seconds."""

    __slots__ = ("_era", "_http", "_now_s", "_url")

    def __init__(
        self,
        http: aiohttp.ClientSession,
        address: str,
        now_s: Callable[[], float] = read_boot_time_s,
        era: EraRecorder | None = None,
    ):
        self._era: EraRecorder = era if era is not None else _LastEra()
        self._http = http
        self._now_s = now_s
        self._url = f"http://{address}"

    async def read(self, table: str) -> RowPage:
        """Return a whole table of one era; raise StoreUnavailable."""
        for _ in range(MAX_READ_STARTS):
            try:
                page = await self._read_pages(table)
            except HistoryLost:
                # The store came back from an older copy between two pages.
                continue
            if page is not None:
                return page
        raise StoreUnavailable(f"the store's history changed during each read of {table}")

    async def _read_pages(self, table: str) -> RowPage | None:
        """Return a whole table, or None if the era changes between two pages."""
        rows: list[Row] = []
        first: _Answer | None = None
        start = ""
        while True:
            query = {"table": table, "part": "", "limit": str(PAGE_ROWS)}
            if start:
                query["from"] = start
            answer = await self._read(names.ROWS_GET, query, CALL_TIMEOUT_S)
            first = first or answer
            if answer.era != first.era:
                return None
            page_rows, _ = _parse_rows(answer.body)
            rows.extend(page_rows)
            if answer.body.get("hasMore") is not True or not page_rows:
                break
            start = page_rows[-1].key + "\0"
        # A row of the first page may have changed before the last one was read.
        return _build_page(first, tuple(rows))

    async def read_row(self, table: str, key: str) -> RowPage:
        """Return a page with one row, or without any if it does not exist; raise StoreUnavailable.

        The page's revision is that of the table.
        """
        query = {"table": table, "part": "", "limit": "1", "from": key}
        try:
            answer = await self._read(names.ROWS_GET, query, CALL_TIMEOUT_S)
        except HistoryLost as error:
            raise StoreUnavailable(str(error)) from error
        rows, _ = _parse_rows(answer.body)
        return _build_page(answer, tuple(row for row in rows if row.key == key))

    async def follow(self, table: str, revision: int, wait_s: float) -> RowPage:
        """Return the changes after a revision, waiting up to `wait_s` seconds for the first.

        Raise HistoryLost or StoreUnavailable.
        """
        query = {"table": table, "sinceRev": str(revision), "waitMs": str(int(wait_s * 1000))}
        answer = await self._read(names.ROWS_FEED, query, wait_s + FEED_SLACK_S)
        rows, removed = _parse_rows(answer.body)
        return _build_page(answer, rows, removed, revision)

    async def write(self, table: str, puts: Sequence[Put], era: int | None = None) -> RowPage:
        """Write all puts or none; raise Conflict or StoreUnavailable with the known effect.

        `era` is that of the revisions which the puts expect, if they do. Raise EraChanged if the
        store is in another one: nothing is sent if that is known before.
        """
        if era is not None and era != self._era.value:
            raise EraChanged(f"a condition on {table} is of era {era}", Effect.NONE)
        expected = []
        writes = []
        removals = []
        for put in puts:
            row_name = {"table": table, "part": "", "key": put.key}
            if put.expect is not None:
                expected.append(row_name | {"schemaVer": put.expect})
            if put.value is None:
                removals.append(row_name)
                continue
            writes.append(row_name | {"value": base64.b64encode(put.value).decode()})
        body = {"expectRev": expected, "writes": writes, "remove": removals}
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            answer = await self._call("POST", names.ROWS_TX, {}, timeout, body, Effect.UNKNOWN)
        except HistoryLost as error:
            raise StoreUnavailable(str(error), Effect.UNKNOWN) from error
        if era is not None and answer.era != era:
            raise EraChanged(f"a condition on {table} was of era {era}", Effect.UNKNOWN)
        return _build_page(answer, ())

    async def _read(self, path: str, query: dict[str, str], silence_timeout_s: float) -> _Answer:
        """Return an answer, which may arrive slowly but without pauses of `silence_timeout_s`."""
        timeout = aiohttp.ClientTimeout(
            total=silence_timeout_s + TRANSFER_TIMEOUT_S,
            connect=CALL_TIMEOUT_S,
            sock_read=silence_timeout_s,
        )
        return await self._call("GET", path, query, timeout)

    async def _call(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        timeout: aiohttp.ClientTimeout,
        body: dict[str, Any] | None = None,
        effect: Effect = Effect.NONE,
    ) -> _Answer:
        try:
            async with self._http.request(
                method, self._url + path, params=query, json=body, timeout=timeout
            ) as response:
                answered_s = self._now_s()
                era = self._record_era(response.headers.get(names.STORE_ERA))
                match response.status:
                    case 200:
                        answer = parse_json(await read_body(response, MAX_ANSWER_BYTES, effect))
                    case 412:
                        raise Conflict([0])
                    case 410:
                        raise HistoryLost(f"the store dropped the history that {path} asked for")
                    case 429 | 503:
                        raise StoreUnavailable(f"the store refused {path}: {response.status}")
                    case status:
                        raise StoreUnavailable(f"the store answered {path} with {status}", effect)
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailable(f"the store cannot be reached: {error}") from error
        except (TimeoutError, aiohttp.ClientError, ValueError) as error:
            detail = f"the store did not answer {path}: {type(error).__name__}"
            raise StoreUnavailable(detail, effect) from error
        if not isinstance(answer, dict):
            raise StoreUnavailable(f"the store answered {path} with a malformed body", effect)
        return _Answer(answer, answered_s, era)

    def _record_era(self, value: str | None) -> int:
        """Return the era of an answer; one that names none belongs to the newest known."""
        if value is None or not value.isascii() or not value.strip().isdigit():
            return self._era.value
        era = int(value) if len(value) <= len(str(MAX_ERA)) else MAX_ERA + 1
        if era > MAX_ERA:
            return self._era.value
        self._era.update(era)
        return era


def _build_page(
    answer: _Answer, rows: tuple[Row, ...], removed: tuple[Row, ...] = (), min_revision: int = 0
) -> RowPage:
    revision = max(_get_integer(answer.body, "schemaVer"), min_revision)
    now_ms = _get_integer(answer.body, "nowMs")
    return RowPage(rows, revision, now_ms, removed, answer.answered_s, answer.era)


def _get_integer(answer: dict[str, Any], name: str) -> int:
    found = answer.get(name)
    if isinstance(found, bool) or not isinstance(found, int | float) or not math.isfinite(found):
        raise StoreUnavailable(f"the store's answer has no number {name!r}", Effect.UNKNOWN)
    return int(found)


def _parse_rows(answer: dict[str, Any]) -> tuple[tuple[Row, ...], tuple[Row, ...]]:
    """Return the rows that exist and those that were deleted."""
    found = answer.get("rows")
    if not isinstance(found, list):
        raise StoreUnavailable("the store answered without rows")
    rows = []
    removed = []
    for item in found:
        try:
            key, version = str(item["key"]), int(item["schemaVer"])
            if item.get("tombstone"):
                removed.append(Row(key, b"", version))
                continue
            rows.append(Row(key, _decode_value(item.get("value")), version))
        except (KeyError, TypeError, ValueError, AttributeError, OverflowError) as error:
            raise StoreUnavailable(f"the store sent a malformed row: {error!r}") from error
    return tuple(rows), tuple(removed)


def _decode_value(value: Any) -> bytes:
    """Return the bytes of a row, or none if they cannot be decoded; its reader then rejects it."""
    try:
        return base64.b64decode(value)
    except (TypeError, ValueError):
        return b""
