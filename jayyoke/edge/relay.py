"""Relays the store's rows and what upstreams say of themselves between instances."""

from __future__ import annotations

import asyncio
import math
import zlib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

import aiohttp
from thrift.protocol.TProtocol import TProtocolException
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from jayyoke.admission.exchange import DemandExchange, DemandReport
from jayyoke.core.error import Effect, PeerProtocolError, PeerUnavailable, StoreUnavailable
from jayyoke.edge.demandexchange import decode_demands, encode_demands
from jayyoke.edge.keptrelay import (
    decode_eras,
    encode_facts,
    find_digest,
)
from jayyoke.edge.limitexchange import LimitExchange, decode_limits, encode_limits
from jayyoke.edge.loadexchange import MAX_SHARED_AGE_S, LoadExchange, ReportedLoad
from jayyoke.edge.relaymessage import (
    PeerAnswer,
    decode_loads,
    decode_peer_answer,
    decode_row,
    encode_fetch_request,
    encode_loads,
)
from jayyoke.edge.storeera import StoreEra
from jayyoke.edge.tablecopy import TableCopy
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
MAX_PACKED = 4
# Longer than any peer asks for.
MAX_WAIT_S = 5.0


@dataclass(frozen=True, slots=True)
class Known:
    """Holds what an asker has: revisions by table, their eras, and digests of kept rows.

    `eras` is None if the asker knows of none. `sent` holds the digests that it got last from the
    answering instance, `own` those of its own kept rows.
    """

    revisions: Mapping[str, int]
    eras: Mapping[str, int] | None = None
    sent: Mapping[str, int] = field(default_factory=dict)
    own: Mapping[str, int] = field(default_factory=dict)

    def find_revision(self, copy: TableCopy) -> int:
        """Return the asker's revision of a table, -1 if that is of an older era."""
        if self.eras is not None and self.eras.get(copy.name, 0) < copy.era:
            return -1
        return self.revisions.get(copy.name, -1)

    def lacks_kept(self, copy: TableCopy) -> bool:
        """Tell whether the asker has not got the rows that this instance keeps."""
        if not copy.kept or not copy.era:
            return False
        return find_digest(copy) not in (self.sent.get(copy.name), self.own.get(copy.name))

    def is_ahead(self, copy: TableCopy) -> bool:
        """Tell whether the asker's table is of a newer era."""
        return self.eras is not None and self.eras.get(copy.name, 0) > copy.era


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
        eras: Mapping[str, int] | None = None,
        sent: Mapping[str, int] | None = None,
        own: Mapping[str, int] | None = None,
        member: Row | None = None,
        demands: Sequence[DemandReport] = (),
    ) -> PeerAnswer:
        """Return a peer's changes of tables since the known revisions; raise PeerUnavailable.

        The peer waits up to `wait_s` for a change if it has none, and merges the loads and limits.
        The revisions are of the given eras. `sent` are the digests of kept rows that the peer sent
        last, `own` those of the own ones. A peer that follows the store renews the row `member` of
        this instance.
        """
        request = encode_fetch_request(
            known, wait_s, loads, self._now_s(), limits, eras, sent, own, member, demands
        )
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


class RelayServer:
    """Answers requests of other instances from this instance's view."""

    def __init__(
        self,
        view: FleetView,
        load_exchange: LoadExchange,
        limit_exchange: LimitExchange | None = None,
        era: StoreEra | None = None,
        record_member: Callable[[Row], None] = lambda _: None,
        demand_exchange: DemandExchange | None = None,
    ):
        self._era = era or StoreEra()
        self._record_member = record_member
        self._view = view
        self._load_exchange = load_exchange
        self._limit_exchange = limit_exchange
        self._demand_exchange = demand_exchange
        self._changed = asyncio.Event()
        # Many peers get the same large row, so it is compressed once.
        self._packed: dict[str, tuple[Row, ttypes.RelayedRow]] = {}
        view.changes.subscribe(lambda _: self._notify_waiting())

    async def answer(self, request: bytes) -> bytes:
        """Return the changes for a peer, waiting for one if asked to; raise PeerProtocolError."""
        try:
            asked = deserialize(ttypes.FetchTables(), request)
            known = Known(
                {str(name): int(revision) for name, revision in (asked.known or {}).items()},
                decode_eras(asked.eras),
                {str(name): int(digest) for name, digest in (asked.kept or {}).items()},
                {str(name): int(digest) for name, digest in (asked.own_kept or {}).items()},
            )
            wait_s = min(MAX_WAIT_S, max(0, asked.wait_ms or 0) / 1000)
            received = decode_loads(asked.loads, self._view.now_s())
            limits = decode_limits(asked.limits, self._view.now_s())
            member = None if asked.member is None else decode_row(asked.member)
            demands = decode_demands(asked.demands, self._view.now_s())
        except (TException, TProtocolException, EOFError, TypeError, ValueError) as error:
            raise PeerProtocolError(f"unreadable request: {error!r}") from error
        if newest := max((known.eras or {}).values(), default=0):
            self._era.update(newest, "peer")
        self._load_exchange.merge(received)
        if self._limit_exchange is not None:
            self._limit_exchange.merge(limits)
        if member is not None:
            self._record_member(member)
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
        sent_s = {load.incarnation: load.reported_at_s for load in received}
        loads = []
        for load in self._load_exchange.list_recent(now_s - MAX_SHARED_AGE_S):
            known_s = sent_s.get(load.incarnation)
            # The peer may have an older figure of slowness, which changes many times a second.
            if known_s is None or (load.slowness is not None and load.reported_at_s > known_s):
                loads.append(load)
        answer.loads = encode_loads(loads, now_s)
        return serialize(answer)

    def _notify_waiting(self) -> None:
        self._changed.set()
        self._changed = asyncio.Event()

    def _has_changes(self, known: Known) -> bool:
        for copy in self._view.tables.values():
            if known.is_ahead(copy):
                continue
            if copy.changed_revision > known.find_revision(copy):
                return True
            if known.lacks_kept(copy):
                return True
        return False

    def _build_tables(self, known: Known) -> list[ttypes.RelayedTable]:
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
            if copy.era:
                table.era, table.base = copy.era, copy.base
            if known.is_ahead(copy):
                continue
            self._add_kept(table, copy, known)
            revision = known.find_revision(copy)
            if copy.changed_revision <= revision:
                continue
            changes = copy.list_changes(revision)
            table.whole = changes is None
            rows, removed = changes or (list(copy.rows.values()), copy.list_removed_after_base())
            table.rows = [self._encode_row(row) for row in rows]
            table.removed = (table.removed or []) + [self._encode_row(row) for row in removed]
        return tables

    def _add_kept(self, table: ttypes.RelayedTable, copy: TableCopy, known: Known) -> None:
        """Add the kept rows that the asker lacks, and removals of those that it keeps."""
        if not copy.era:
            return
        digest = find_digest(copy)
        table.kept_digest = digest or None
        facts = list(copy.kept.values()) if known.lacks_kept(copy) else []
        if known.own.get(copy.name, digest) != digest:
            facts += copy.list_gone()
            table.removed = [self._encode_row(row) for row in copy.list_removed_after_base()]
        if facts:
            table.kept = encode_facts(facts, self._encode_kept_row, self._view.now_s())

    def _encode_kept_row(self, row: Row) -> ttypes.RelayedRow:
        return self._encode_row(row, "kept:")

    def _encode_row(self, row: Row, kind: str = "") -> ttypes.RelayedRow:
        if len(row.value) <= LARGE_ROW_BYTES:
            return ttypes.RelayedRow(key=row.key, value=row.value, version=row.version)
        known, packed = self._packed.get(kind + row.key, (None, None))
        if packed is None or known != row:
            value = zlib.compress(row.value, COMPRESSION_LEVEL)
            packed = ttypes.RelayedRow(row.key, value, row.version, packed=True)
            self._packed[kind + row.key] = (row, packed)
            self._forget_packed()
        return packed

    def _forget_packed(self) -> None:
        while len(self._packed) > MAX_PACKED:
            del self._packed[next(iter(self._packed))]
