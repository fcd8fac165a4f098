"""Keeps the view up to date with the store's tables, directly or through other instances.

Each call to the store has a cost, and each change of a row ends every feed. With one feed per
instance, 77 instances made 355 calls/s on a calm day. So two instances of each domain, its
followers, follow the store and relay its rows; the others use the store only if that fails.
"""

from __future__ import annotations

import asyncio
import math
import random
from collections.abc import Callable, Iterable, Sequence

from jayyoke.admission.exchange import DemandExchange, DemandReport
from jayyoke.core.error import PeerUnavailable, StoreUnavailable
from jayyoke.edge.feedtimes import find_feed_times
from jayyoke.edge.keptrelay import find_digest, select_eras
from jayyoke.edge.limitexchange import LimitExchange
from jayyoke.edge.loadexchange import MAX_SHARED_AGE_S, LoadExchange, ReportedLoad
from jayyoke.edge.log import log_event
from jayyoke.edge.relay import LARGE_ROW_BYTES, RelayClient
from jayyoke.edge.relaymessage import PeerAnswer, RelayedTable
from jayyoke.edge.roster import Roster
from jayyoke.edge.storeclock import StoreClock
from jayyoke.edge.storeera import StoreEra
from jayyoke.edge.view import TABLES, FleetView
from jayyoke.platform import names
from jayyoke.platform.rowstore import HistoryLost, RowStore
from jayyoke.platform.table import Row

# How long a follower holds the request of another instance while nothing changes.
RELAY_WAIT_S = 0.4
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 0.8
# How often an instance checks whether its followers still supply it with rows.
CHECK_PERIOD_S = 0.1
# The fraction of the link that table changes may use, and the longest pause between them: a third
# of the time within which a configuration has to be in force (2 to 3 s).
LINK_FRACTION = 0.25
MAX_PAUSE_S = 0.8
# Many instances use the store when followers fail; a longer pause spreads their calls.
MAX_DIRECT_RETRY_S = 1.5
ASK_PERIOD_S = 0.4
PEERS_PER_ASK = 2
# Instances learn of a new era within about two seconds; until then others are asked what they keep.
ERA_ASK_S = 3.0


def count_bytes(rows: Iterable[Row]) -> int:
    """Return the transfer size of rows in bytes; base64 makes them a third larger."""
    return sum(len(row.value) for row in rows) * 4 // 3


def find_pause_s(size_bytes: int, link_bytes_per_s: float) -> float:
    """Return how long to wait after an answer, so that table changes leave room for requests.

    Three configurations of 300 KB a second would fill a link of 10 Mbit/s. An instance that waits
    gets only the newest one.
    """
    if size_bytes < LARGE_ROW_BYTES:
        return 0.0
    return min(MAX_PAUSE_S, size_bytes / (link_bytes_per_s * LINK_FRACTION))


async def settle_doubt(view: FleetView, store: RowStore) -> None:
    """Ask the store which of the kept rows that it lacks were removed since its return.

    Raise StoreUnavailable.
    """
    table = names.OPERATOR_TABLE
    copy = view.tables[table]
    removed: tuple[Row, ...] = ()
    try:
        page = await store.follow(table, copy.find_doubt() or 0, 0.0)
    except HistoryLost:
        era = copy.era
    else:
        era, removed = page.era, page.removed
    view.settle_doubt(table, removed, era, "store")


class TableFollower:
    """Follows one table at the store while no follower supplies this instance with its rows."""

    def __init__(
        self,
        view: FleetView,
        store: RowStore,
        clock: StoreClock,
        table: str,
        peers: PeerFollower,
        link_bytes_per_s: float,
    ):
        self._feed_wait_s = peers.feed_times.wait_s
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
        # A table that peers have sent is followed from its revision on.
        whole = self._view.tables[self._table].revision < 0
        lost = False
        while True:
            if self._peers.relayed:
                self._connected = False
                await asyncio.sleep(CHECK_PERIOD_S)
                continue
            try:
                size = await self._merge_changes(whole)
            except HistoryLost as error:
                log_event("feed-history-lost", table=self._table, reason=str(error))
                if lost:
                    # The table that was read since then did not help.
                    await asyncio.sleep(retry_s * random.uniform(0.7, 1.3))
                    retry_s = min(MAX_RETRY_S, 2 * retry_s)
                whole = lost = True
                continue
            except StoreUnavailable as error:
                self._record_lost(error)
                await asyncio.sleep(retry_s * random.uniform(0.7, 1.3))
                limit_s = MAX_RETRY_S if self._peers.is_follower else MAX_DIRECT_RETRY_S
                retry_s = min(limit_s, 2 * retry_s)
                continue
            self._record_regained()
            if not whole:
                lost = False
                retry_s = FIRST_RETRY_S
            whole = False
            await asyncio.sleep(find_pause_s(size, self._link_bytes_per_s))

    async def _merge_changes(self, whole: bool) -> int:
        """Merge the store's changes into the view; return their size in bytes.

        Raise HistoryLost if they do not follow from the table, or StoreUnavailable.
        """
        copy = self._view.tables[self._table]
        began_s = self._view.now_s()
        if whole:
            page = await self._store.read(self._table)
        else:
            page = await self._store.follow(self._table, copy.revision, self._feed_wait_s)
        self._clock.update(page.now_ms, page.answered_s, page.era)
        if not whole and page.era > copy.era:
            raise HistoryLost(f"the table is of era {copy.era}, the store of {page.era}")
        # A feed is up to date as of the start of its answer, a read as of its request.
        confirmed_s = began_s if whole else page.answered_s
        self._view.merge(
            self._table,
            page.rows,
            page.removed,
            page.revision,
            whole=whole,
            confirmed_s=confirmed_s,
            source="store",
            era=page.era,
        )
        if copy.find_doubt() is not None:
            await settle_doubt(self._view, self._store)
        return count_bytes(page.rows)

    def _record_lost(self, error: StoreUnavailable) -> None:
        if self._connected:
            revision = self._view.tables[self._table].revision
            log_event("store-lost", table=self._table, revision=revision, reason=str(error))
        self._connected = False

    def _record_regained(self) -> None:
        if not self._connected:
            revision = self._view.tables[self._table].revision
            log_event("store-regained", table=self._table, revision=revision)
        self._connected = True


class PeerFollower:
    """Gets rows from the domain's followers, or from any instance while the view is stale."""

    def __init__(
        self,
        view: FleetView,
        store: RowStore,
        client: RelayClient,
        roster: Roster,
        list_peers: Callable[[], list[str]],
        source: random.Random,
        link_bytes_per_s: float,
        load_exchange: LoadExchange,
        limit_exchange: LimitExchange,
        demand_exchange: DemandExchange,
        era: StoreEra | None = None,
        converge_s: float = 0.0,
    ):
        self.feed_times = find_feed_times(converge_s)
        self._era = era or StoreEra()
        self._era.changes.subscribe(lambda _: self._ask_soon())
        self._ask_until_s = float("-inf")
        self._ask_now = asyncio.Event()
        # The digests of kept rows that each peer sent last, by table.
        self._kept_digests: dict[str, dict[str, int]] = {}
        self._view = view
        self._store = store
        self._link_bytes_per_s = link_bytes_per_s
        self._load_exchange = load_exchange
        self._limit_exchange = limit_exchange
        self._demand_exchange = demand_exchange
        self._loads_sent_s = float("-inf")
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
    def relayed(self) -> bool:
        """Tell whether followers supply this instance with rows, so that it needs no feeds.

        Its own reads do not count: it follows the store until followers supply it again.
        """
        if self._roster.is_follower():
            return False
        return self._view.now_s() - self._relayed_s < self.feed_times.relayed_stale_s

    @property
    def stale(self) -> bool:
        """Tell whether the operator's or the upstreams' rows may be out of date."""
        now_s = self._view.now_s()
        oldest = min(self._view.tables[name].confirmed_s for name in TABLES[:2])
        times = self.feed_times
        limit_s = times.stale_s if self._roster.is_follower() else times.relayed_stale_s
        return now_s - oldest > limit_s

    async def run_relayed(self) -> None:
        """Wait for changes at followers until cancelled, while this instance is not one."""
        while True:
            if self._roster.is_follower():
                await asyncio.sleep(CHECK_PERIOD_S)
                continue
            follower = self._source.choice(self._roster.find_followers())
            if not await self._ask(follower.address, RELAY_WAIT_S):
                await asyncio.sleep(CHECK_PERIOD_S)

    async def run(self) -> None:
        """Ask random instances while the view is stale or limits are known, until cancelled."""
        while True:
            await self._wait_to_ask(ASK_PERIOD_S * self._source.uniform(0.8, 1.2))
            if self.stale:
                count = PEERS_PER_ASK
            elif self._view.now_s() < self._ask_until_s:
                # Others may have seen what the store has lost, and this instance not.
                count = 1
            elif self._roster.is_follower() and not self._limit_exchange.empty:
                # The others of a domain hear of limits from its followers.
                count = 1
            elif self._roster.is_follower() and not self._demand_exchange.empty:
                await self._tell_follower()
                continue
            else:
                continue
            peers = self._list_peers()
            asked = self._source.sample(peers, min(count, len(peers)))
            await asyncio.gather(*(self._ask(peer, 0.0) for peer in asked))

    def _ask_soon(self) -> None:
        self._ask_until_s = self._view.now_s() + ERA_ASK_S
        self._ask_now.set()

    async def _wait_to_ask(self, period_s: float) -> None:
        try:
            async with asyncio.timeout(period_s):
                await self._ask_now.wait()
        except TimeoutError:
            return
        self._ask_now.clear()

    async def _tell_follower(self) -> None:
        """Exchange the demand with a follower of any domain; the others hear it from followers."""
        followers = self._roster.list_other_followers()
        if followers:
            sums = self._demand_exchange.list_sums()
            await self._ask(self._source.choice(followers), 0.0, sums)

    async def _ask(self, peer: str, wait_s: float, demands: Sequence[DemandReport] = ()) -> bool:
        """Merge a peer's changes into the view; return False if it did not answer."""
        tables = self._view.tables
        known = {name: tables[name].revision for name in TABLES}
        began_s = self._view.now_s()
        loads: list[ReportedLoad] = []
        if wait_s:
            loads = self._load_exchange.list_recent(
                max(self._loads_sent_s, began_s - MAX_SHARED_AGE_S), True
            )
            self._loads_sent_s = began_s
            demands = self._demand_exchange.list_own()
        try:
            limits = self._limit_exchange.list_reports()
            answer = await self._client.fetch(
                peer,
                known,
                wait_s,
                loads,
                limits,
                select_eras(tables, self._era.value),
                self._kept_digests.get(peer),
                {name: find_digest(copy) for name, copy in tables.items() if copy.kept},
                self._roster.build_row() if wait_s else None,
                demands,
            )
        except PeerUnavailable as error:
            log_event("peer-away", peer=peer, reason=str(error))
            return False
        self._load_exchange.merge(answer.loads)
        self._limit_exchange.merge(answer.limits)
        for table in answer.tables:
            if table.era:
                self._era.update(table.era, peer)
        self._demand_exchange.merge(answer.demands)
        if wait_s:
            ages_s = [
                self._find_age_s(table) for table in answer.tables if table.name in TABLES[:2]
            ]
            confirmed_s = answer.answered_s - max(ages_s, default=math.inf)
            self._relayed_s = max(self._relayed_s, confirmed_s)
        for table in answer.tables:
            self._merge_table(peer, table, answer.answered_s)
        self._remember_digests(peer, answer)
        if tables[names.OPERATOR_TABLE].find_doubt() is not None:
            try:
                await settle_doubt(self._view, self._store)
            except StoreUnavailable as error:
                log_event("kept-rows-doubted", reason=str(error))
        await asyncio.sleep(find_pause_s(answer.size_bytes, self._link_bytes_per_s))
        return True

    def _remember_digests(self, peer: str, answer: PeerAnswer) -> None:
        digests = {table.name: table.kept_digest for table in answer.tables if table.kept_digest}
        if digests:
            self._kept_digests[peer] = digests
        else:
            self._kept_digests.pop(peer, None)

    def _find_era(self, table: RelayedTable) -> int | None:
        """Return the era of a peer's table, or None if it is of no use.

        A peer of the previous release names none and does not notice a newer one.
        """
        copy = self._view.tables[table.name]
        if table.era is not None:
            return table.era if table.era >= copy.era else None
        return None if self._era.risen else copy.era

    def _find_age_s(self, table: RelayedTable) -> float:
        return math.inf if self._find_era(table) is None else table.age_s

    def _merge_table(self, peer: str, table: RelayedTable, answered_s: float) -> None:
        if table.name not in self._view.tables or table.revision < 0:
            return
        era = self._find_era(table)
        if era is None:
            return
        confirmed_s = answered_s - table.age_s
        if table.rows is None:
            self._view.confirm(table.name, table.revision, confirmed_s, era)
        else:
            self._view.merge(
                table.name,
                table.rows,
                table.removed,
                table.revision,
                whole=table.whole,
                confirmed_s=confirmed_s,
                source=peer,
                era=era,
            )
        if table.kept or table.base >= 0:
            self._view.merge_facts(table.name, table.kept, table.removed, table.base, era, peer)
