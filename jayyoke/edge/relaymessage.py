"""Messages with which instances ask each other for changes of the store's tables."""

from __future__ import annotations

import math
import zlib
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from thrift.protocol.TProtocol import TProtocolException
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from jayyoke.admission.exchange import DemandReport
from jayyoke.core.error import PeerUnavailable
from jayyoke.edge.demandexchange import decode_demands, encode_demands
from jayyoke.edge.keptrelay import check_era, decode_facts
from jayyoke.edge.limitexchange import decode_limits, encode_limits
from jayyoke.edge.loadexchange import MAX_SHARED, MAX_SHARED_AGE_S, ReportedLoad
from jayyoke.eras.fact import KeptFact
from jayyoke.ops.requestlimit import LimitReport
from jayyoke.platform.message import USUAL_PERCENT
from jayyoke.platform.table import Row
from jayyoke.wire.gen import ttypes

MAX_ROW_BYTES = 8 << 20
# The largest number that fits into the column of slowness.
MAX_PERCENT = 2**15 - 1


@dataclass(frozen=True, slots=True)
class RelayedTable:
    """Holds a peer's changes of a table; rows are None if nothing changed.

    `age_s` is the time since the peer's table was last confirmed. `whole` is set if the rows are
    the whole table and not only the changes since the revision that was asked for. `era` is None
    if the peer names none. `kept` are the peer's facts of older eras, if they have changed.
    """

    name: str
    revision: int
    age_s: float
    rows: tuple[Row, ...] | None
    removed: tuple[Row, ...] = ()
    whole: bool = True
    era: int | None = None
    base: int = -1
    kept: tuple[KeptFact, ...] = ()
    kept_digest: int = 0


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


def encode_fetch_request(
    known: Mapping[str, int],
    wait_s: float,
    loads: Sequence[ReportedLoad],
    now_s: float,
    limits: Sequence[LimitReport] = (),
    eras: Mapping[str, int] | None = None,
    sent: Mapping[str, int] | None = None,
    own: Mapping[str, int] | None = None,
    member: Row | None = None,
    demands: Sequence[DemandReport] = (),
) -> bytes:
    """Return the request for changes since the known revisions, with news for the peer."""
    return serialize(
        ttypes.FetchTables(
            known=dict(known),
            wait_ms=int(wait_s * 1000) or None,
            loads=encode_loads(loads, now_s),
            limits=encode_limits(limits, now_s),
            eras=None if eras is None else dict(eras),
            kept=dict(sent) if sent else None,
            own_kept=dict(own) if own else None,
            member=None if member is None else ttypes.RelayedRow(member.key, member.value, 0),
            demands=encode_demands(demands, now_s),
        )
    )


def decode_peer_answer(peer: str, body: bytes, answered_s: float) -> PeerAnswer:
    """Decode a peer's answer, whose ages count from `answered_s`; raise PeerUnavailable."""
    try:
        answer = deserialize(ttypes.FetchedTables(), body)
        found = []
        for table in answer.tables or ():
            found.append(_decode_table(table, answered_s))
        loads = decode_loads(answer.loads, answered_s)
        limits = decode_limits(answer.limits, answered_s)
        demands = decode_demands(answer.demands, answered_s)
    except (zlib.error, TException, TProtocolException, EOFError, TypeError, ValueError) as error:
        raise PeerUnavailable(f"{peer} sent unreadable tables: {error!r}") from error
    return PeerAnswer(found, loads, limits, answered_s, len(body), demands)


def encode_loads(loads: Sequence[ReportedLoad], now_s: float) -> ttypes.HeardLoads | None:
    """Return the loads with their ages, or None if there are none."""
    if not loads:
        return None
    return ttypes.HeardLoads(
        incarnations=[load.incarnation for load in loads],
        requests=[load.requests for load in loads],
        ages_ms=[max(0, int((now_s - load.reported_at_s) * 1000)) for load in loads],
        slowness_percent=_encode_slowness(loads),
    )


def _encode_slowness(loads: Sequence[ReportedLoad]) -> list[int] | None:
    """Return the column of slowness, or None if no engine reports it."""
    if all(load.slowness is None for load in loads):
        return None
    return [min(MAX_PERCENT, round((load.slowness or 0.0) * USUAL_PERCENT)) for load in loads]


def _decode_slowness(percents: list[int] | None, count: int) -> list[float | None]:
    """Return the slowness of each load, without any if the column does not fit."""
    if percents is None or len(percents) != count:
        return [None] * count
    return [percent / USUAL_PERCENT if percent > 0 else None for percent in percents]


def decode_loads(loads: ttypes.HeardLoads | None, now_s: float) -> list[ReportedLoad]:
    """Return the loads of a peer, whose ages count from `now_s`."""
    if loads is None:
        return []
    slowness = _decode_slowness(loads.slowness_percent, len(loads.incarnations or ()))
    columns = (loads.incarnations or (), loads.requests or (), loads.ages_ms or (), slowness)
    found = []
    for incarnation, requests, age_ms, slow in zip(*columns, strict=True):
        if requests < 0 or not 0 <= age_ms <= MAX_SHARED_AGE_S * 1000:
            continue
        at_s = now_s - age_ms / 1000
        found.append(ReportedLoad(str(incarnation), requests, at_s, False, slow))
    return found[:MAX_SHARED]


def _decode_table(table: ttypes.RelayedTable, answered_s: float) -> RelayedTable:
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
        era=None if table.era is None else check_era(table.era),
        base=-1 if table.base is None else table.base,
        kept=decode_facts(table.kept or (), decode_row, answered_s),
        kept_digest=table.kept_digest or 0,
    )


def _decode_rows(rows: Iterable[ttypes.RelayedRow]) -> tuple[Row, ...]:
    return tuple([decode_row(row) for row in rows])


def decode_row(row: ttypes.RelayedRow) -> Row:
    """Return a peer's row; raise ValueError if it lacks a field, which thrift leaves unset."""
    if row.key is None or row.value is None or row.version is None:
        raise ValueError("a row has no key, value or version")
    return Row(row.key, _unpack(row.value) if row.packed else row.value, row.version)


def _unpack(value: bytes) -> bytes:
    """Decompress a value; raise ValueError if it is truncated or too large."""
    unpacking = zlib.decompressobj()
    found = unpacking.decompress(value, MAX_ROW_BYTES)
    if not unpacking.eof:
        raise ValueError(f"a packed row is cut or exceeds {MAX_ROW_BYTES} bytes")
    return found
