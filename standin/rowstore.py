"""Stand-in of the platform's row store on the users' machines, with settable faults."""

from __future__ import annotations

import asyncio
import base64
import enum
import json
from collections import Counter
from dataclasses import dataclass

from aiohttp import web

MAX_HISTORY = 10_000
LINK_STEP_S = 0.05


class Fault(enum.Enum):
    """How the store refuses calls."""

    BUSY = 503
    MANY = 429
    RESET = 1
    SILENT = 2


@dataclass(frozen=True, slots=True)
class StoreCopy:
    """Holds the rows and the history of a store as of a revision."""

    rows: dict[tuple[str, str], Change]
    history: tuple[Change, ...]
    revision: int


@dataclass(frozen=True, slots=True)
class Change:
    """Holds one change of a row; a value of None means that the row was dropped."""

    table: str
    key: str
    value: str | None
    revision: int


class RowStoreServer:
    """Keeps tables in memory and serves reads, feeds and conditional writes on loopback."""

    def __init__(self) -> None:
        self._rows: dict[tuple[str, str], Change] = {}
        self._history: list[Change] = []
        self._written_since_return: list[Change] = []
        self._oldest_revision = 0
        self._changed = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self._stopped = asyncio.Event()
        self.revision = 0
        # The era in all answers; None leaves the header out.
        self.era: int | None = None
        self.address = ""
        self.calls = 0
        # Keyed by User-Agent, path and table.
        self.calls_by_origin: Counter[tuple[str, str, str]] = Counter()
        # How many of the next reads of tables are answered with 410.
        self.lost_reads = 0
        self.fault: Fault | None = None
        # The fault affects callers whose User-Agent contains one of these words; empty means all.
        self.faulty_callers: set[str] = set()
        self.lose_answers = False
        self.delay_writes_s = 0.0
        self.feeds_stalled = False
        self.clock_offset_s = 0.0
        # Simulates a link of this rate for answers to reads and feeds; 0 sends them at once.
        self.link_bytes_per_s = 0.0
        # User-Agents of the callers behind this link; empty means all.
        self.slow_callers: set[str] = set()
        # Bytes sent over this link, keyed by User-Agent and table.
        self.slow_bytes_by_caller: Counter[tuple[str, str]] = Counter()
        # Answers over this link stop after this many bytes and stay open; None means never.
        self.silent_after_bytes: int | None = None

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        app = web.Application()
        app.on_response_prepare.append(self._add_era)
        app.router.add_get("/-/rows-get", self._get)
        app.router.add_get("/-/rows-feed", self._feed)
        app.router.add_post("/-/rows-tx", self._transact)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def close(self) -> None:
        """Stop listening and end waiting calls."""
        self._stopped.set()
        self._notify_feeds()
        if self._runner is not None:
            await self._runner.cleanup()

    def list_keys(self, table: str) -> list[str]:
        """Return the keys of a table's rows."""
        return [key for found, key in self._rows if found == table]

    def put(self, table: str, key: str, body: object) -> int:
        """Write a row as operators and upstreams do; return its revision."""
        raw = body if isinstance(body, bytes) else json.dumps(body).encode()
        self.revision += 1
        self._apply(Change(table, key, base64.b64encode(raw).decode(), self.revision))
        return self.revision

    def drop(self, table: str, key: str) -> int:
        """Drop a row; return the revision of the change."""
        self.revision += 1
        self._apply(Change(table, key, None, self.revision))
        return self.revision

    def read(self, table: str) -> dict[str, bytes]:
        """Return the values of a table by key."""
        return {
            key: base64.b64decode(change.value or "")
            for (name, key), change in self._rows.items()
            if name == table
        }

    def forget_history(self) -> None:
        """Drop the history, so that feeds answer 410."""
        self._oldest_revision = self.revision
        self._history = []
        self._notify_feeds()

    def save_copy(self) -> StoreCopy:
        """Return a copy to which the store may return."""
        return StoreCopy(dict(self._rows), tuple(self._history), self.revision)

    def return_to(self, copy: StoreCopy) -> list[Change]:
        """Come back from an older copy in the next era; return the lost changes, oldest first.

        Revisions after that of the copy are given out again.
        """
        lost = [change for change in self._history if change.revision > copy.revision]
        self._rows = dict(copy.rows)
        self._history = list(copy.history)
        self._oldest_revision = min(self._oldest_revision, copy.revision)
        self.revision = copy.revision
        self.era = 1 + (self.era or 0)
        self._written_since_return = []
        self._notify_feeds()
        return lost

    def write_again(self, lost: list[Change], tables: tuple[str, ...] = ("op", "servers")) -> None:
        """Write the lost rows of operators and upstreams again, as they were last."""
        newest = {(change.table, change.key): change for change in lost}
        # A writer that has written since then knows what to write.
        written = {(change.table, change.key) for change in self._written_since_return}
        for change in newest.values():
            if change.table not in tables or (change.table, change.key) in written:
                continue
            self.revision += 1
            self._apply(Change(change.table, change.key, change.value, self.revision))

    async def _add_era(self, _: web.Request, response: web.StreamResponse) -> None:
        if self.era is not None:
            response.headers["Store-Era"] = str(self.era)

    def _apply(self, change: Change) -> None:
        row_key = (change.table, change.key)
        if change.value is None:
            self._rows.pop(row_key, None)
        else:
            self._rows[row_key] = change
        self._history.append(change)
        self._written_since_return.append(change)
        self._notify_feeds()

    def _notify_feeds(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    async def _apply_fault(self, request: web.Request) -> web.Response | None:
        self.calls += 1
        caller = request.headers.get("User-Agent", "")
        self.calls_by_origin[(caller, request.path, request.query.get("table", ""))] += 1
        if self.faulty_callers and not any(word in caller for word in self.faulty_callers):
            return None
        match self.fault:
            case None:
                return None
            case Fault.BUSY | Fault.MANY:
                return web.Response(status=self.fault.value)
            case Fault.RESET:
                assert request.transport is not None
                request.transport.abort()
                return web.Response(status=503)
            case Fault.SILENT:
                await self._stopped.wait()
                return web.Response(status=503)

    async def _get(self, request: web.Request) -> web.Response:
        refused = await self._apply_fault(request)
        if refused is not None:
            return refused
        if self.lost_reads > 0:
            self.lost_reads -= 1
            return web.Response(status=410)
        table = request.query["table"]
        start = request.query.get("from", "")
        limit = int(request.query.get("limit", "500"))
        changes = sorted(
            (c for (name, key), c in self._rows.items() if name == table and key >= start),
            key=lambda change: change.key,
        )
        body = {
            "rows": [_format(change) for change in changes[:limit]],
            "hasMore": len(changes) > limit,
        }
        return await self._send(request, body | self._revision_and_time())

    async def _feed(self, request: web.Request) -> web.Response:
        refused = await self._apply_fault(request)
        if refused is not None:
            return refused
        table = request.query["table"]
        since_revision = int(request.query["sinceRev"])
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(request.query["waitMs"]) / 1000
        while True:
            if not self._oldest_revision <= since_revision <= self.revision:
                return web.Response(status=410)
            changed = self._changed
            changes = [c for c in self._history if c.table == table and c.revision > since_revision]
            left_s = end_s - loop.time()
            if (changes and not self.feeds_stalled) or left_s <= 0 or self._stopped.is_set():
                break
            try:
                async with asyncio.timeout(left_s):
                    await changed.wait()
            except TimeoutError:
                continue
        # While `feeds_stalled` is set, feeds answer as if no row had changed since the revision
        # asked for.
        revision_and_time = self._revision_and_time()
        if self.feeds_stalled:
            return web.json_response(
                {"rows": []} | revision_and_time | {"schemaVer": since_revision}
            )
        return await self._send(
            request, {"rows": [_format(change) for change in changes]} | revision_and_time
        )

    async def _send(self, request: web.Request, body: dict) -> web.StreamResponse:
        """Send an answer, at the rate of the simulated link if the caller is behind it."""
        raw = json.dumps(body).encode()
        caller = request.headers.get("User-Agent", "")
        slow = not self.slow_callers or caller in self.slow_callers
        if not self.link_bytes_per_s or not slow:
            return web.Response(body=raw, content_type="application/json")
        response = web.StreamResponse(headers={"Content-Length": str(len(raw))})
        await response.prepare(request)
        step_bytes = max(1, int(self.link_bytes_per_s * LINK_STEP_S))
        for start in range(0, len(raw), step_bytes):
            if self.silent_after_bytes is not None and start >= self.silent_after_bytes:
                await self._stopped.wait()
            await response.write(raw[start : start + step_bytes])
            self.slow_bytes_by_caller[(caller, request.query.get("table", ""))] += step_bytes
            await asyncio.sleep(LINK_STEP_S)
        await response.write_eof()
        return response

    async def _transact(self, request: web.Request) -> web.Response:
        refused = await self._apply_fault(request)
        if refused is not None:
            return refused
        body = await request.json()
        if self.delay_writes_s:
            # The answer is lost, and the write happens later if its condition still holds then.
            loop = asyncio.get_running_loop()
            loop.call_later(self.delay_writes_s, self._commit, body)
            assert request.transport is not None
            request.transport.abort()
            return web.Response(status=503)
        if not self._commit(body):
            return web.json_response({"rows": []} | self._revision_and_time(), status=412)
        if self.lose_answers:
            assert request.transport is not None
            request.transport.abort()
        return web.json_response(self._revision_and_time())

    def _commit(self, body: dict) -> bool:
        for expected in body.get("expectRev", ()):
            known = self._rows.get((expected["table"], expected["key"]))
            if (known.revision if known else 0) != expected["schemaVer"]:
                return False
        self.revision += 1
        for row in body.get("writes", ()):
            self._apply(Change(row["table"], row["key"], row["value"], self.revision))
        for row in body.get("remove", ()):
            self._apply(Change(row["table"], row["key"], None, self.revision))
        return True

    def _revision_and_time(self) -> dict[str, int]:
        now_ms = int((asyncio.get_running_loop().time() + self.clock_offset_s) * 1000)
        return {"schemaVer": self.revision, "nowMs": now_ms}


def _format(change: Change) -> dict[str, object]:
    row: dict[str, object] = {
        "table": change.table,
        "part": "",
        "key": change.key,
        "schemaVer": change.revision,
    }
    if change.value is None:
        return row | {"tombstone": True}
    return row | {"value": change.value}
