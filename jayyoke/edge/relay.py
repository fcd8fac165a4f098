"""Relays the store's rows and what upstreams say of themselves between instances."""

from __future__ import annotations

import asyncio
import math
import zlib
from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass

import aiohttp
from thrift.protocol.TProtocol import TProtocolException
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from jayyoke.admission.exchange import DemandExchange, DemandReport
from jayyoke.core.error import Effect, PeerProtocolError, PeerUnavailable, StoreUnavailable
from jayyoke.edge.demandexchange import decode_demands, encode_demands
from jayyoke.edge.limitexchange import LimitExchange, decode_limits, encode_limits
from jayyoke.edge.loadexchange import MAX_SHARED, MAX_SHARED_AGE_S, LoadExchange, ReportedLoad
from jayyoke.edge.view import FleetView
from jayyoke.ops.requestlimit import LimitReport
from jayyoke.platform.body import read_body
from jayyoke.platform.table import Row
from jayyoke.wire.gen import ttypes

RELAY_PATH = "/relay"
# A peer answers within a few ms; another request costs less than a longer wait.
CALL_TIMEOUT_S = 0.6
# A configuration of 510 KB takes 0.8 s on the narrowest link (5 Mbit/s), longer beside requests.
TRANSFER_TIMEOUT_S = 5.0
MAX_ANSWER_BYTES = 8 << 20
MAX_REQUEST_BYTES = 4096
# A configuration of 1,400 routes has 300 KB, and a follower sends it to fourteen instances. zlib's
# fastest level compresses it to a seventh in 3 ms.
LARGE_ROW_BYTES = 16 << 10
COMPRESSION_LEVEL = 1
MAX_ROW_BYTES = 8 << 20
MAX_PACKED = 4
# Longer than any peer asks for.
MAX_WAIT_S = 5.0


@dataclass(frozen=True, slots=True)
class RelayedTable:
    """Holds a peer's changes of a table; rows are None if nothing changed.

    `age_s` is the time since the peer's table was last confirmed. `whole` is set if the rows are
    the whole table and not only the changes since the revision that was asked for.
    """

    name: str
    revision: int
    age_s: float
    rows: tuple[Row, ...] | None
    removed: tuple[Row, ...] = ()
    whole: bool = True


@dataclass(frozen=True, slots=True)
class PeerAnswer:
    """Holds a peer's answer: its tables, and the recent loads and the limits that it knows.

    `answered_s` is when the answer began to arrive; later changes are not in it. `size_bytes` is
    its transfer size.
    """

    tables: list[RelayedTable]
    loads: list[ReportedLoad]
    limits: list[LimitReport]
    answered_s: float
    size_bytes: int
    demands: list[DemandReport]


class RelayClient:
    """Asks other instances for tables, loads and limits."""

    def __init__(self, http: aiohttp.ClientSession, now_s: Callable[[], float]):
        self._http = http
        self._now_s = now_s

    async def fetch(
        self,
        peer: str,
        known: Mapping[str, int],
        wait_s: float = 0.0,
        loads: Sequence[ReportedLoad] = (),
        limits: Sequence[LimitReport] = (),
        demands: Sequence[DemandReport] = (),
    ) -> PeerAnswer:
        """Return a peer's changes of tables since the known revisions; raise PeerUnavailable.

        The peer waits up to `wait_s` for a change if it has none, and merges what it is told.
        """
        request = encode_fetch_request(known, wait_s, loads, self._now_s(), limits, demands)
        silence_s = wait_s + CALL_TIMEOUT_S
        timeout = aiohttp.ClientTimeout(
            total=silence_s + TRANSFER_TIMEOUT_S, connect=CALL_TIMEOUT_S, sock_read=silence_s
        )
        try:
            async with self._http.post(
                f"http://{peer}{RELAY_PATH}", data=request, timeout=timeout
            ) as response:
                if response.status != 200:
                    raise PeerUnavailable(f"{peer} answered {response.status}")
                answered_s = self._now_s()
                body = await read_body(response, MAX_ANSWER_BYTES, Effect.NONE)
        except (TimeoutError, aiohttp.ClientError, StoreUnavailable) as error:
            raise PeerUnavailable(f"{peer}: {type(error).__name__}") from error
        return decode_peer_answer(peer, body, answered_s)


def encode_fetch_request(
    known: Mapping[str, int],
    wait_s: float,
    loads: Sequence[ReportedLoad],
    now_s: float,
    limits: Sequence[LimitReport] = (),
    demands: Sequence[DemandReport] = (),
) -> bytes:
    """Return the request for changes since the known revisions, with news for the peer."""
    return serialize(
        ttypes.FetchTables(
            known=dict(known),
            wait_ms=int(wait_s * 1000) or None,
            loads=_encode_loads(loads, now_s),
            limits=encode_limits(limits, now_s),
            demands=encode_demands(demands, now_s),
        )
    )


def decode_peer_answer(peer: str, body: bytes, answered_s: float) -> PeerAnswer:
    """Decode a peer's answer, whose ages count from `answered_s`; raise PeerUnavailable."""
    try:
        answer = deserialize(ttypes.FetchedTables(), body)
        found = []
        for table in answer.tables or ():
            found.append(_decode_table(table))
        loads = _decode_loads(answer.loads, answered_s)
        limits = decode_limits(answer.limits, answered_s)
        demands = decode_demands(answer.demands, answered_s)
    except (zlib.error, TException, TProtocolException, EOFError, TypeError, ValueError) as error:
        raise PeerUnavailable(f"{peer} sent unreadable tables: {error!r}") from error
    return PeerAnswer(found, loads, limits, answered_s, len(body), demands)


def _encode_loads(loads: Sequence[ReportedLoad], now_s: float) -> ttypes.HeardLoads | None:
    if not loads:
        return None
    return ttypes.HeardLoads(
        incarnations=[load.incarnation for load in loads],
        requests=[load.requests for load in loads],
        ages_ms=[max(0, int((now_s - load.reported_at_s) * 1000)) for load in loads],
    )


def _decode_loads(loads: ttypes.HeardLoads | None, now_s: float) -> list[ReportedLoad]:
    """Return the loads of a peer, whose ages count from `now_s`."""
    if loads is None:
        return []
    columns = (loads.incarnations or (), loads.requests or (), loads.ages_ms or ())
    found = []
    for incarnation, requests, age_ms in zip(*columns, strict=True):
        if requests < 0 or not 0 <= age_ms <= MAX_SHARED_AGE_S * 1000:
            continue
        found.append(ReportedLoad(str(incarnation), requests, now_s - age_ms / 1000, own=False))
    return found[:MAX_SHARED]


def _decode_table(table: ttypes.RelayedTable) -> RelayedTable:
    """Return a peer's table; raise TypeError or ValueError if a field is missing."""
    age_ms = table.confirmed_age_ms
    if table.name is None or table.revision is None:
        raise ValueError("a table has no name or revision")
    return RelayedTable(
        name=table.name,
        revision=table.revision,
        age_s=math.inf if age_ms < 0 else age_ms / 1000,
        rows=None if table.rows is None else _decode_rows(table.rows),
        removed=_decode_rows(table.removed or ()),
        whole=bool(table.whole),
    )


def _decode_rows(rows: Iterable[ttypes.RelayedRow]) -> tuple[Row, ...]:
    """Return a peer's rows; raise ValueError if one lacks a field, which thrift leaves unset."""
    found = []
    for row in rows:
        if row.key is None or row.value is None or row.version is None:
            raise ValueError("a row has no key, value or version")
        value = _unpack(row.value) if row.packed else row.value
        found.append(Row(row.key, value, row.version))
    return tuple(found)


def _unpack(value: bytes) -> bytes:
    """Decompress a value; raise ValueError if it is truncated or too large."""
    unpacking = zlib.decompressobj()
    found = unpacking.decompress(value, MAX_ROW_BYTES)
    if not unpacking.eof:
        raise ValueError(f"a packed row is cut or exceeds {MAX_ROW_BYTES} bytes")
    return found


class RelayServer:
    """Answers requests of other instances from this instance's view."""

    def __init__(
        self,
        view: FleetView,
        load_exchange: LoadExchange,
        limit_exchange: LimitExchange | None = None,
        demand_exchange: DemandExchange | None = None,
    ):
        self._view = view
        self._load_exchange = load_exchange
        self._limit_exchange = limit_exchange
        self._demand_exchange = demand_exchange
        self._changed = asyncio.Event()
        # Many peers get the same large row, so it is compressed once.
        self._packed: dict[str, ttypes.RelayedRow] = {}
        view.changes.subscribe(lambda _: self._notify_waiting())

    async def answer(self, request: bytes) -> bytes:
        """Return the changes for a peer, waiting for one if asked to; raise PeerProtocolError."""
        try:
            asked = deserialize(ttypes.FetchTables(), request)
            known = {str(name): int(revision) for name, revision in (asked.known or {}).items()}
            wait_s = min(MAX_WAIT_S, max(0, asked.wait_ms or 0) / 1000)
            received = _decode_loads(asked.loads, self._view.now_s())
            limits = decode_limits(asked.limits, self._view.now_s())
            demands = decode_demands(asked.demands, self._view.now_s())
        except (TException, TProtocolException, EOFError, TypeError, ValueError) as error:
            raise PeerProtocolError(f"unreadable request: {error!r}") from error
        self._load_exchange.merge(received)
        if self._limit_exchange is not None:
            self._limit_exchange.merge(limits)
        if self._demand_exchange is not None:
            self._demand_exchange.merge(demands)
        if wait_s and not self._has_changes(known):
            try:
                async with asyncio.timeout(wait_s):
                    await self._changed.wait()
            except TimeoutError:
                # Nothing changed; the answer confirms the peer's revisions.
                pass
        now_s = self._view.now_s()
        answer = ttypes.FetchedTables(tables=self._build_tables(known))
        if self._limit_exchange is not None:
            answer.limits = encode_limits(self._limit_exchange.list_reports(), now_s)
        if self._demand_exchange is not None and (wait_s or demands):
            exchange = self._demand_exchange
            # Instances that wait for changes are of the own domain, others that tell are followers.
            reports = exchange.list_totals() if wait_s else exchange.list_sums()
            answer.demands = encode_demands(reports, now_s)
        if not wait_s:
            return serialize(answer)
        sent = {load.incarnation for load in received}
        recent = self._load_exchange.list_recent(now_s - MAX_SHARED_AGE_S)
        loads = [load for load in recent if load.incarnation not in sent]
        answer.loads = _encode_loads(loads, now_s)
        return serialize(answer)

    def _notify_waiting(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _has_changes(self, known: Mapping[str, int]) -> bool:
        for name, copy in self._view.tables.items():
            if copy.changed_revision > known.get(name, -1):
                return True
        return False

    def _build_tables(self, known: Mapping[str, int]) -> list[ttypes.RelayedTable]:
        tables = []
        now_s = self._view.now_s()
        for name, copy in self._view.tables.items():
            age_s = now_s - copy.confirmed_s
            table = ttypes.RelayedTable(
                name=name,
                revision=copy.revision,
                confirmed_age_ms=-1 if math.isinf(age_s) else int(age_s * 1000),
            )
            tables.append(table)
            revision = known.get(name, -1)
            if copy.changed_revision <= revision:
                continue
            changes = copy.list_changes(revision)
            table.whole = changes is None
            rows, removed = changes or (list(copy.rows.values()), [])
            table.rows = [self._encode_row(row) for row in rows]
            table.removed = [self._encode_row(row) for row in removed]
        return tables

    def _encode_row(self, row: Row) -> ttypes.RelayedRow:
        if len(row.value) <= LARGE_ROW_BYTES:
            return ttypes.RelayedRow(key=row.key, value=row.value, version=row.version)
        packed = self._packed.get(row.key)
        if packed is None or packed.version != row.version:
            value = zlib.compress(row.value, COMPRESSION_LEVEL)
            packed = ttypes.RelayedRow(row.key, value, row.version, packed=True)
            self._packed[row.key] = packed
            self._forget_packed()
        return packed

    def _forget_packed(self) -> None:
        while len(self._packed) > MAX_PACKED:
            del self._packed[next(iter(self._packed))]
