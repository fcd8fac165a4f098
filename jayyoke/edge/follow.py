"""Follows the store's tables: directly, through followers of the domain, or through any peer.

Load it answers: every call to the store is paid for, and each change of a row ends every feed. With
one feed an instance, 77 instances made 355 calls a second on a calm day. So two instances of each
domain follow the store and pass its rows on; the others turn to the store when that fails.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Iterable

from jayyoke.core.error import PeerUnavailable, StoreUnavailable
from jayyoke.edge.loadnews import SHARED_AGE_S, HeardLoad, LoadNews
from jayyoke.edge.log import log_event
from jayyoke.edge.relay import LARGE_ROW_BYTES, RelayClient, RelayedTable
from jayyoke.edge.roster import Roster
from jayyoke.edge.storeclock import StoreClock
from jayyoke.edge.view import TABLES, FleetView
from jayyoke.platform.rowstore import HistoryLost, RowStore
from jayyoke.platform.table import Row

# An empty answer after this time shows that the feed still lives; a silent one is given up soon.
FEED_WAIT_S = 0.8
# How long a follower keeps the question of another instance.
RELAY_WAIT_S = 0.4
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.8
# A feed is confirmed every second; beyond this age peers are asked.
STALE_S = 1.3
# Both waits together, and some time on the way. A change must be in force within 2 s, so an
# instance whose followers fail follows the store itself from here on.
RELAYED_STALE_S = 1.5
# How often an instance looks whether its followers still serve it.
IDLE_S = 0.1
# The part of the link that news may take, and the longest pause: a third of the time within which
# a configuration has to be in force (2 to 3 s).
LINK_PART = 0.25
MAX_PAUSE_S = 0.8
# Many instances turn to the store when followers fail; the pause spreads their calls.
MAX_DIRECT_RETRY_S = 1.5
ASK_PERIOD_S = 0.4
ASKED_PEERS = 2


def count_bytes(rows: Iterable[Row]) -> int:
    """Return the size of rows on their way, which base64 makes a third larger."""
    return sum(len(row.value) for row in rows) * 4 // 3


def find_pause_s(size_bytes: int, link_bytes_per_s: float) -> float:
    """Return how long to wait after an answer, so that news leave the link to requests.

    Load it answers: a series of configurations of 300 KB, three a second, would fill a link of
    10 Mbit/s. Whoever waits gets the newest one only.
    """
    if size_bytes < LARGE_ROW_BYTES:
        return 0.0
    return min(MAX_PAUSE_S, size_bytes / (link_bytes_per_s * LINK_PART))


class TableFollower:
    """Keeps one table of the view as new as the store's, where this instance has to."""

    def __init__(
        self,
        view: FleetView,
        store: RowStore,
        clock: StoreClock,
        table: str,
        peers: PeerFollower,
        link_bytes_per_s: float,
    ):
        self._peers = peers
        self._view = view
        self._store = store
        self._clock = clock
        self._table = table
        self._link_bytes_per_s = link_bytes_per_s
        self._connected = False

    async def run(self) -> None:
        """Follow the table until cancelled."""
        retry_s = FIRST_RETRY_S
        # A table that peers have passed on is followed from there.
        whole = self._view.tables[self._table].revision < 0
        while True:
            if self._peers.served:
                self._connected = False
                await asyncio.sleep(IDLE_S)
                continue
            try:
                size = await self._step(whole)
            except HistoryLost as error:
                log_event("feed-history-lost", table=self._table, reason=str(error))
                whole = True
                continue
            except StoreUnavailable as error:
                self._note_lost(error)
                await asyncio.sleep(retry_s * random.uniform(0.7, 1.3))
                limit_s = MAX_RETRY_S if self._peers.is_follower else MAX_DIRECT_RETRY_S
                retry_s = min(limit_s, 2 * retry_s)
                continue
            self._note_regained()
            retry_s = FIRST_RETRY_S
            whole = False
            await asyncio.sleep(find_pause_s(size, self._link_bytes_per_s))

    async def _step(self, whole: bool) -> int:
        """Take the store's news; return their size in bytes."""
        copy = self._view.tables[self._table]
        began_s = self._view.now_s()
        if whole:
            page = await self._store.read(self._table)
        else:
            page = await self._store.follow(self._table, copy.revision, FEED_WAIT_S)
        self._clock.note(page.now_ms, page.answered_s)
        # A feed was the newest when it began to answer, a read when it was asked.
        confirmed_s = began_s if whole else page.answered_s
        self._view.take(
            self._table,
            page.rows,
            page.removed,
            page.revision,
            whole=whole,
            confirmed_s=confirmed_s,
            source="store",
        )
        return count_bytes(page.rows)

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
    """Takes rows from other instances: followers of the domain, or any while the view is old."""

    def __init__(
        self,
        view: FleetView,
        store: RowStore,
        client: RelayClient,
        roster: Roster,
        list_peers: Callable[[], list[str]],
        source: random.Random,
        link_bytes_per_s: float,
        load_news: LoadNews,
    ):
        self._view = view
        self._store = store
        self._link_bytes_per_s = link_bytes_per_s
        self._load_news = load_news
        self._told_s = float("-inf")
        self._client = client
        self._roster = roster
        self._list_peers = list_peers
        self._source = source
        self._relayed_s = float("-inf")

    @property
    def is_follower(self) -> bool:
        """Tell whether this instance follows the store for its domain."""
        return self._roster.is_follower()

    @property
    def served(self) -> bool:
        """Tell whether followers give this instance the news, so that it needs no feeds.

        Reads of its own do not count: it goes on following until followers serve it again.
        """
        if self._roster.is_follower():
            return False
        return self._view.now_s() - self._relayed_s < RELAYED_STALE_S

    @property
    def stale(self) -> bool:
        """Tell whether the operator's or the upstreams' rows may be outdated."""
        now_s = self._view.now_s()
        oldest = min(self._view.tables[name].confirmed_s for name in TABLES[:2])
        return now_s - oldest > (STALE_S if self._roster.is_follower() else RELAYED_STALE_S)

    async def run_relayed(self) -> None:
        """Wait for news at a follower until cancelled, while others follow the store."""
        while True:
            if self._roster.is_follower():
                await asyncio.sleep(IDLE_S)
                continue
            follower = self._source.choice(self._roster.find_followers())
            if not await self._ask(follower.address, RELAY_WAIT_S):
                await asyncio.sleep(IDLE_S)

    async def run(self) -> None:
        """Ask any peers until cancelled, while the view is stale."""
        while True:
            await asyncio.sleep(ASK_PERIOD_S * self._source.uniform(0.8, 1.2))
            if not self.stale:
                continue
            peers = self._list_peers()
            asked = self._source.sample(peers, min(ASKED_PEERS, len(peers)))
            await asyncio.gather(*(self._ask(peer, 0.0) for peer in asked))

    async def _ask(self, peer: str, wait_s: float) -> bool:
        """Take a peer's news; return False if it did not answer."""
        known = {name: self._view.tables[name].revision for name in TABLES}
        began_s = self._view.now_s()
        loads: list[HeardLoad] = []
        if wait_s:
            loads = self._load_news.list_recent(max(self._told_s, began_s - SHARED_AGE_S), True)
            self._told_s = began_s
        try:
            news = await self._client.fetch(peer, known, wait_s, loads)
        except PeerUnavailable as error:
            log_event("peer-away", peer=peer, reason=str(error))
            return False
        self._load_news.learn(news.loads)
        if wait_s:
            ages_s = [table.age_s for table in news.tables if table.name in TABLES[:2]]
            newest_s = news.answered_s - max(ages_s, default=math.inf)
            self._relayed_s = max(self._relayed_s, newest_s)
        for table in news.tables:
            self._take(peer, table, news.answered_s)
        await asyncio.sleep(find_pause_s(news.size_bytes, self._link_bytes_per_s))
        return True

    def _take(self, peer: str, table: RelayedTable, answered_s: float) -> None:
        if table.name not in self._view.tables or table.revision < 0:
            return
        confirmed_s = answered_s - table.age_s
        if table.rows is None:
            self._view.confirm(table.name, table.revision, confirmed_s)
            return
        self._view.take(
            table.name,
            table.rows,
            table.removed,
            table.revision,
            whole=table.whole,
            confirmed_s=confirmed_s,
            source=peer,
        )
