"""Passes the store's rows between instances, for those that the store turns away."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

import aiohttp
from thrift.protocol.TProtocol import TProtocolException
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from jayyoke.core.error import Effect, PeerProtocolError, PeerUnavailable, StoreUnavailable
from jayyoke.edge.view import FleetView
from jayyoke.platform.body import read_body
from jayyoke.platform.table import Row
from jayyoke.wire.gen import ttypes

RELAY_PATH = "/relay"
# A peer answers within a few ms; asking again costs less than waiting.
CALL_TIMEOUT_S = 0.6
MAX_ANSWER_BYTES = 8 << 20
MAX_QUESTION_BYTES = 4096


@dataclass(frozen=True, slots=True)
class RelayedTable:
    """Holds a peer's copy of a table; rows are None if it has nothing newer."""

    name: str
    revision: int
    age_s: float
    rows: tuple[Row, ...] | None


class RelayClient:
    """Asks other instances for tables."""

    def __init__(self, http: aiohttp.ClientSession):
        self._http = http

    async def fetch(self, peer: str, known: Mapping[str, int]) -> list[RelayedTable]:
        """Return what a peer knows of tables at the known revisions; raise PeerUnavailable."""
        question = serialize(ttypes.FetchTables(known=dict(known)))
        timeout = aiohttp.ClientTimeout(total=CALL_TIMEOUT_S)
        try:
            async with self._http.post(
                f"http://{peer}{RELAY_PATH}", data=question, timeout=timeout
            ) as response:
                if response.status != 200:
                    raise PeerUnavailable(f"{peer} answered {response.status}")
                body = await read_body(response, MAX_ANSWER_BYTES, Effect.NONE)
        except (TimeoutError, aiohttp.ClientError, StoreUnavailable) as error:
            raise PeerUnavailable(f"{peer}: {type(error).__name__}") from error
        return decode_tables(peer, body)


def decode_tables(peer: str, body: bytes) -> list[RelayedTable]:
    """Return the tables of a peer's answer; raise PeerUnavailable if it cannot be read."""
    try:
        answer = deserialize(ttypes.FetchedTables(), body)
        found = []
        for table in answer.tables or ():
            rows = None
            if table.rows is not None:
                rows = tuple(Row(row.key, row.value, row.version) for row in table.rows)
            age_ms = table.confirmed_age_ms
            age_s = math.inf if age_ms < 0 else age_ms / 1000
            found.append(RelayedTable(table.name, table.revision, age_s, rows))
    except (TException, TProtocolException, EOFError, TypeError, ValueError) as error:
        raise PeerUnavailable(f"{peer} sent unreadable tables: {error!r}") from error
    return found


def answer_question(view: FleetView, question: bytes) -> bytes:
    """Return the tables that are newer than the asker's; raise PeerProtocolError."""
    try:
        asked = deserialize(ttypes.FetchTables(), question)
        known = dict(asked.known or {})
    except (TException, TProtocolException, EOFError, TypeError, ValueError) as error:
        raise PeerProtocolError(f"unreadable question: {error!r}") from error
    tables = []
    now_s = view.now_s()
    for name, copy in view.tables.items():
        age_s = now_s - copy.confirmed_s
        table = ttypes.RelayedTable(
            name=name,
            revision=copy.revision,
            confirmed_age_ms=-1 if math.isinf(age_s) else int(age_s * 1000),
        )
        if copy.revision > known.get(name, -1):
            table.rows = [
                ttypes.RelayedRow(key=row.key, value=row.value, version=row.version)
                for row in copy.rows.values()
            ]
        tables.append(table)
    return serialize(ttypes.FetchedTables(tables=tables))
