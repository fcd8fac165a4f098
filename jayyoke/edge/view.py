"""An instance's copy of the configuration and the upstreams, merged from the store and peers.

Each row carries the store's revision, so an older row never replaces a newer one, whichever way it
came. Revisions order the rows of one era only; what older eras left in force is in `TableCopy`.
"""

from __future__ import annotations

import dataclasses
from collections.abc import Callable, Iterable, Mapping

from reactivex import Observable
from reactivex.subject import Subject

from jayyoke.core.finding import Finding
from jayyoke.core.route import MoveOrder, MoveStatus, Route, RoutingConfig, TeamAccess
from jayyoke.core.upstream import Upstream, UpstreamState
from jayyoke.edge.lapse import LapseGrace
from jayyoke.edge.log import log_event
from jayyoke.edge.movememory import MoveMemory, keep_set_aside, keep_status, settle_kept
from jayyoke.edge.tablecopy import TableCopy
from jayyoke.eras.fact import KeptFact
from jayyoke.platform import names
from jayyoke.platform.decode import (
    InvalidRow,
    decode_config,
    decode_move_order,
    decode_move_status,
    decode_upstream,
)
from jayyoke.platform.table import Row

MEMBER_TABLE = "members"
# Keys of kept rows that a log line names.
MAX_LOGGED_KEYS = 20
# A status row tells of the orders before these.
MAX_EARLIER_ORDERS = 8
TABLES = (names.OPERATOR_TABLE, names.UPSTREAM_TABLE, names.STATUS_TABLE, MEMBER_TABLE)


class RouteTable:
    """Finds the route of a host and path: the longest prefix wins.

    Prefixes begin and end with a slash, so a look-up takes one step for each slash of the path
    and not one for each of the thousands of routes.
    """

    __slots__ = ("_by_host",)

    def __init__(self, routes: Iterable[Route]):
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.host, {})[route.prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """Return the route, or None."""
        by_prefix = self._by_host.get(host)
        if by_prefix is None:
            return None
        end = len(path)
        while (cut := path.rfind("/", 0, end)) >= 0:
            route = by_prefix.get(path[: cut + 1])
            if route is not None:
                return route
            end = cut
        return None


class FleetView:
    """Holds the newest known rows and the records decoded from them."""

    def __init__(self, now_s: Callable[[], float], regions: Mapping[str, str] | None = None):
        self.now_s = now_s
        self.regions = dict(regions or {})
        self.tables = {name: TableCopy(name) for name in TABLES}
        self.config: RoutingConfig | None = None
        self.routes = RouteTable(())
        self.teams: dict[str, TeamAccess] = {}
        self.upstreams: dict[str, Upstream] = {}
        self.by_service: dict[str, tuple[Upstream, ...]] = {}
        self.first_seen_s: dict[str, float] = {}
        self.entry_seen_s: dict[str, float] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.domain_returned_s: dict[str, float] = {}
        self.orders: dict[str, MoveOrder] = {}
        # Orders that another one has replaced, the newest last.
        self.earlier_orders: dict[str, tuple[MoveOrder, ...]] = {}
        self.statuses: dict[str, MoveStatus] = {}
        # The eras in which the rows of the orders were written.
        self._order_eras: dict[str, int] = {}
        self.move_memory = MoveMemory()
        self._lapse_grace = LapseGrace()
        self._changes: Subject[str] = Subject()

    @property
    def changes(self) -> Observable[str]:
        """Return the stream of names of tables that have changed."""
        return self._changes

    @property
    def config_age_s(self) -> float:
        """Return how long ago the configuration was last known to be the newest, in seconds."""
        return self.now_s() - self.tables[names.OPERATOR_TABLE].confirmed_s

    def count_kept(self) -> int:
        """Return how many rows of older eras are in force."""
        return sum(len(copy.kept) for copy in self.tables.values())

    def merge(
        self,
        table: str,
        rows: Iterable[Row],
        removed: Iterable[Row],
        revision: int,
        *,
        whole: bool,
        confirmed_s: float,
        source: str,
        era: int = 0,
    ) -> None:
        """Merge rows of a table from the store or a peer and update the decoded records.

        Rows of an older era are left out, and so are changes of a newer one without its table.
        """
        copy = self.tables[table]
        if era < copy.era or (era > copy.era and not whole):
            return
        silent_s = confirmed_s - copy.confirmed_s
        if table == names.UPSTREAM_TABLE:
            self.drop_lapsed()
            self._lapse_grace.record_confirmed(silent_s, self.now_s())
        if era > copy.era:
            changed = self._begin_era(copy, rows, revision, era, source)
        elif whole:
            changed = copy.apply_snapshot(rows, revision)
        else:
            changed = copy.apply_changes(rows, removed, revision)
        changed |= copy.pop_expired(self.now_s())
        if revision >= copy.revision:
            copy.confirmed_s = max(copy.confirmed_s, confirmed_s)
        self._derive(table, changed, source, silent_s)

    def merge_facts(
        self,
        table: str,
        facts: Iterable[KeptFact],
        removed: Iterable[Row],
        base: int,
        era: int,
        source: str,
    ) -> None:
        """Merge the facts of older eras that a peer keeps; `base` is the peer's."""
        copy = self.tables[table]
        if era != copy.era or copy.revision < 0:
            return
        changed = copy.merge_facts(facts, removed, base, self.now_s())
        self._derive(table, changed, source, 0.0)

    def settle_doubt(self, table: str, removed: Iterable[Row], era: int, source: str) -> None:
        """Drop kept rows that were removed since the store's return."""
        copy = self.tables[table]
        if era == copy.era:
            self._derive(table, copy.settle_doubt(removed), source, 0.0)

    def _begin_era(
        self, copy: TableCopy, rows: Iterable[Row], revision: int, era: int, source: str
    ) -> set[str]:
        known = copy.era
        changed = copy.begin_era(rows, revision, era, self.now_s())
        if copy.name == names.OPERATOR_TABLE:
            self._remember_moves(copy)
        log_event(
            "store-era-table",
            table=copy.name,
            era=era,
            known=known,
            revision=revision,
            changed=len(changed),
            kept=sorted(copy.kept)[:MAX_LOGGED_KEYS],
            kept_rows=len(copy.kept),
            source=source,
        )
        return changed

    def _remember_moves(self, copy: TableCopy) -> None:
        """Remember the orders before an era, since their revisions name nothing any more."""
        for service, order in self.orders.items():
            status = self.statuses.get(service)
            in_copy = names.MOVE_PREFIX + service not in copy.kept
            self.move_memory.remember(order, status, in_copy, self.now_s())
        statuses = self.tables[names.STATUS_TABLE]
        for service, earlier in self.earlier_orders.items():
            status = self.statuses.get(service)
            if status is not None:
                keep_set_aside(statuses, self.orders.get(service), status, earlier)
        self.earlier_orders = {}

    def _derive(self, table: str, changed: set[str], source: str, silent_s: float) -> None:
        if not changed:
            return
        copy = self.tables[table]
        match table:
            case names.OPERATOR_TABLE:
                self._derive_operator(copy, changed, source)
            case names.UPSTREAM_TABLE:
                self._derive_upstreams(copy, changed, source, silent_s)
            case names.STATUS_TABLE:
                self._derive_statuses(copy, source)
        self._changes.on_next(table)

    def confirm(self, table: str, revision: int, confirmed_s: float, era: int = 0) -> None:
        """Record that a table has not changed up to a revision, as a peer confirms."""
        copy = self.tables[table]
        if era != copy.era or revision < copy.revision:
            return
        self._derive(table, copy.pop_expired(self.now_s()), "expired", 0.0)
        if table == names.UPSTREAM_TABLE:
            self._lapse_grace.record_confirmed(confirmed_s - copy.confirmed_s, self.now_s())
        copy.revision = revision
        copy.confirmed_s = max(copy.confirmed_s, confirmed_s)

    def drop_lapsed(self) -> None:
        """Remove upstreams that are not listed again at the end of the grace period."""
        expired = self._lapse_grace.pop_expired(self.now_s())
        if not expired:
            return
        for key in expired:
            self.upstreams.pop(key, None)
            log_event("upstream-gone", upstream=key, source="lapsed")
        self._index_upstreams()
        self._changes.on_next(names.UPSTREAM_TABLE)

    def _derive_operator(self, copy: TableCopy, changed: set[str], source: str) -> None:
        rows = copy.list_in_force()
        if names.CONFIG_KEY in changed and names.CONFIG_KEY in rows:
            self._apply_config(rows[names.CONFIG_KEY], source)
        orders = {}
        for key, row in rows.items():
            if not key.startswith(names.MOVE_PREFIX):
                continue
            service = key[len(names.MOVE_PREFIX) :]
            try:
                orders[service] = decode_move_order(row.value, service, row.version)
            except InvalidRow as error:
                _log_unusable(error.finding, source)
        if orders != self.orders:
            log_event("orders", moves=sorted(map(str, orders.values())), source=source)
        for service, before in self.orders.items():
            if service in orders and orders[service].version != before.version:
                if self._order_eras.get(service, copy.era) < copy.era:
                    # Its revision is before those of this era.
                    before = dataclasses.replace(before, revision=0)
                earlier = self.earlier_orders.get(service, ())
                self.earlier_orders[service] = (*earlier, before)[-MAX_EARLIER_ORDERS:]
        self.orders = orders
        self._order_eras = {}
        for service in orders:
            fact = copy.kept.get(names.MOVE_PREFIX + service)
            self._order_eras[service] = copy.era if fact is None else fact.era
            if fact is not None and not self.move_memory.knows(orders[service]):
                # A peer told of it.
                status = self.statuses.get(service)
                self.move_memory.remember(orders[service], status, False, self.now_s())
        self._carry_statuses(copy.era, source)
        prefix = names.EVACUATE_PREFIX
        evacuated = frozenset(key[len(prefix) :] for key in rows if key.startswith(prefix))
        if evacuated != self.evacuated:
            log_event("evacuations", domains=sorted(evacuated), source=source)
            for domain in self.evacuated - evacuated:
                self.domain_returned_s[domain] = self.now_s()
        self.evacuated = evacuated

    def _carry_statuses(self, era: int, source: str) -> None:
        """Give orders that are written again in this era the statuses that they had before."""
        copy = self.tables[names.STATUS_TABLE]
        for service, order in self.orders.items():
            if self._order_eras[service] < era or not era:
                continue
            status = self.move_memory.take(order, self.statuses.get(service), self.now_s())
            if status is not None:
                keep_status(copy, status, era)
                log_event("move-status-kept", status=str(status), source=source)
        if copy.kept:
            self._derive_statuses(copy, source)

    def _apply_config(self, row: Row, source: str) -> None:
        try:
            config = decode_config(row.value)
        except InvalidRow as error:
            _log_unusable(error.finding, source)
            return
        if self.config is not None and config.version < self.config.version:
            log_event("config-older", known=self.config.version, offered=config.version)
            return
        self.config = config
        self.routes = RouteTable(config.routes)
        self.teams = {key: team for team in config.teams or () for key in team.keys}
        log_event(
            "config",
            version=config.version,
            revision=row.version,
            routes=len(config.routes),
            teams=len(config.teams or ()),
            source=source,
        )

    def _derive_upstreams(
        self, copy: TableCopy, changed: set[str], source: str, silent_s: float
    ) -> None:
        for key in changed:
            row = copy.find(key)
            known = self.upstreams.get(key)
            if row is None:
                self._remove_missing(key, source, silent_s)
                continue
            self._lapse_grace.forget(key)
            try:
                upstream = decode_upstream(key, row.value)
            except InvalidRow as error:
                # An upstream with an unreadable entry is not used.
                self.upstreams.pop(key, None)
                _log_unusable(error.finding, source)
                continue
            self.upstreams[key] = upstream
            self.entry_seen_s[upstream.incarnation] = self.now_s()
            if known is None or known.incarnation != upstream.incarnation:
                self.first_seen_s[upstream.incarnation] = self.now_s()
            if known is None or known.state != upstream.state:
                log_event(
                    "upstream",
                    upstream=key,
                    address=upstream.address,
                    state=upstream.state.value,
                    service=upstream.service,
                    domain=upstream.domain,
                    version=upstream.version,
                    revision=row.version,
                    source=source,
                )
        self._index_upstreams()

    def _remove_missing(self, key: str, source: str, silent_s: float) -> None:
        """Remove an upstream that is no longer listed, unless its entry may have lapsed."""
        known = self.upstreams.get(key)
        if known is None:
            return
        live = known.state is UpstreamState.LIVE
        kept = live and self._lapse_grace.try_keep(key, self.now_s())
        if not kept:
            del self.upstreams[key]
        log_event(
            "upstream-unlisted" if kept else "upstream-gone",
            upstream=key,
            source=source,
            silent_s=round(silent_s, 2),
        )

    def _index_upstreams(self) -> None:
        by_service: dict[str, list[Upstream]] = {}
        live = {upstream.incarnation for upstream in self.upstreams.values()}
        for name in sorted(self.upstreams):
            upstream = self.upstreams[name]
            if upstream.state is UpstreamState.LIVE:
                by_service.setdefault(upstream.service, []).append(upstream)
        self.by_service = {name: tuple(found) for name, found in by_service.items()}
        self.first_seen_s = {k: v for k, v in self.first_seen_s.items() if k in live}
        self.entry_seen_s = {k: v for k, v in self.entry_seen_s.items() if k in live}

    def _derive_statuses(self, copy: TableCopy, source: str) -> None:
        if copy.kept:
            settle_kept(copy, self.orders)
        statuses = {}
        for key, row in copy.list_in_force().items():
            if not key.startswith(names.MOVE_PREFIX):
                continue
            service = key[len(names.MOVE_PREFIX) :]
            try:
                statuses[service] = decode_move_status(row.value, service)
            except InvalidRow as error:
                _log_unusable(error.finding, source)
        if statuses != self.statuses:
            log_event("move-status", moves=sorted(map(str, statuses.values())), source=source)
        self.statuses = statuses


def _log_unusable(finding: Finding, source: str) -> None:
    log_event("row-unusable", finding=str(finding), source=source)
