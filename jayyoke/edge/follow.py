"""Follows the store's tables, and asks other instances while the store does not answer."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from jayyoke.core.error import PeerUnavailable, StoreUnavailable
from jayyoke.edge.log import log_event
from jayyoke.edge.relay import RelayClient, RelayedTable
from jayyoke.edge.storeclock import StoreClock
from jayyoke.edge.view import TABLES, FleetView
from jayyoke.platform.rowstore import HistoryLost, RowStore

# An empty answer after this time shows that the feed still lives; a silent one is given up soon.
FEED_WAIT_S = 1.0
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.8
# A feed is confirmed every second; beyond this age peers are asked.
STALE_S = 1.3
ASK_PERIOD_S = 0.4
ASKED_PEERS = 2


class TableFollower:
    """Keeps one table of the view as new as the store's."""

    def __init__(self, view: FleetView, store: RowStore, clock: StoreClock, table: str):
        self._view = view
        self._store = store
        self._clock = clock
        self._table = table
        self._connected = False

    async def run(self) -> None:
        """Follow the table until cancelled."""
        retry_s = FIRST_RETRY_S
        whole = True
        while True:
            try:
                await self._step(whole)
            except HistoryLost as error:
                log_event("feed-history-lost", table=self._table, reason=str(error))
                whole = True
                continue
            except StoreUnavailable as error:
                self._note_lost(error)
                await asyncio.sleep(retry_s * random.uniform(0.7, 1.3))
                retry_s = min(MAX_RETRY_S, 2 * retry_s)
                continue
            self._note_regained()
            retry_s = FIRST_RETRY_S
            whole = False

    async def _step(self, whole: bool) -> None:
        copy = self._view.tables[self._table]
        began_s = self._view.now_s()
        if whole:
            page = await self._store.read(self._table)
        else:
            page = await self._store.follow(self._table, copy.revision, FEED_WAIT_S)
        self._clock.note(page.now_ms)
        # A feed without news was the newest when it was answered, a read when it was asked.
        confirmed_s = began_s if whole else self._view.now_s()
        self._view.take(
            self._table,
            page.rows,
            page.removed,
            page.revision,
            whole=whole,
            confirmed_s=confirmed_s,
            source="store",
        )

    def _note_lost(self, error: StoreUnavailable) -> None:
        if self._connected:
            revision = self._view.tables[self._table].revision
            log_event("store-lost", table=self._table, revision=revision, reason=str(error))
        self._connected = False

    def _note_regained(self) -> None:
        if not self._connected:
            revision = self._view.tables[self._table].revision
            log_event("store-regained", table=self._table, revision=revision)
        self._connected = True


class PeerFollower:
    """Takes rows from other instances while the store turns this one away."""

    def __init__(
        self,
        view: FleetView,
        client: RelayClient,
        list_peers: Callable[[], list[str]],
        source: random.Random,
    ):
        self._view = view
        self._client = client
        self._list_peers = list_peers
        self._source = source

    @property
    def stale(self) -> bool:
        """Tell whether the operator's or the upstreams' rows may be outdated."""
        now_s = self._view.now_s()
        oldest = min(self._view.tables[name].confirmed_s for name in TABLES[:2])
        return now_s - oldest > STALE_S

    async def run(self) -> None:
        """Ask peers until cancelled, while the view is stale."""
        while True:
            await asyncio.sleep(ASK_PERIOD_S * self._source.uniform(0.8, 1.2))
            if not self.stale:
                continue
            peers = self._list_peers()
            asked = self._source.sample(peers, min(ASKED_PEERS, len(peers)))
            await asyncio.gather(*(self._ask(peer) for peer in asked))

    async def _ask(self, peer: str) -> None:
        known = {name: self._view.tables[name].revision for name in TABLES}
        began_s = self._view.now_s()
        try:
            tables = await self._client.fetch(peer, known)
        except PeerUnavailable as error:
            log_event("peer-away", peer=peer, reason=str(error))
            return
        for table in tables:
            self._take(peer, table, began_s)

    def _take(self, peer: str, table: RelayedTable, began_s: float) -> None:
        if table.name not in self._view.tables or table.revision < 0:
            return
        copy = self._view.tables[table.name]
        if table.rows is None:
            if table.revision == copy.revision:
                copy.confirmed_s = max(copy.confirmed_s, began_s - table.age_s)
            return
        self._view.take(
            table.name,
            table.rows,
            (),
            table.revision,
            whole=True,
            confirmed_s=began_s - table.age_s,
            source=peer,
        )
