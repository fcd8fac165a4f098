"""An instance's copy of the configuration and the upstreams, merged from the store and peers.

Each row carries the store's revision, so an older row never replaces a newer one, whichever way it
came.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from reactivex import Observable
from reactivex.subject import Subject

from jayyoke.core.finding import Finding
from jayyoke.core.route import MoveOrder, MoveStatus, Route, RoutingConfig, TeamAccess
from jayyoke.core.upstream import Upstream, UpstreamState
from jayyoke.edge.lapse import LapseGrace
from jayyoke.edge.log import log_event
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
# Removals remembered for peers; a peer that lacks older ones gets the whole table.
MAX_REMOVALS = 500
# A status row tells of the orders before these.
MAX_EARLIER_ORDERS = 8
TABLES = (names.OPERATOR_TABLE, names.UPSTREAM_TABLE, names.STATUS_TABLE, MEMBER_TABLE)


@dataclass(slots=True)
class TableCopy:
    """Holds a table's rows as of `revision`; `confirmed_s` is when that was last the newest.

    `removed` holds the revisions of removals, so that older rows from peers do not restore them.
    """

    rows: dict[str, Row] = field(default_factory=dict)
    removed: dict[str, int] = field(default_factory=dict)
    revision: int = -1
    # Revision of the newest change, and the one since which `removed` holds every removal.
    changed_revision: int = -1
    removed_since: int = -1
    confirmed_s: float = float("-inf")

    def apply_changes(self, rows: Iterable[Row], removed: Iterable[Row], revision: int) -> set[str]:
        """Apply the changes up to a revision; return the keys that differ now."""
        changed = set()
        for row in rows:
            known = self.rows.get(row.key)
            newest = max(known.version if known else -1, self.removed.get(row.key, -1))
            if row.version > newest:
                self.rows[row.key] = row
                self.removed.pop(row.key, None)
                changed.add(row.key)
                self.changed_revision = max(self.changed_revision, row.version)
        for row in removed:
            known = self.rows.get(row.key)
            if known is None or row.version > known.version:
                self.rows.pop(row.key, None)
                self.removed[row.key] = row.version
                changed.add(row.key)
                self.changed_revision = max(self.changed_revision, row.version)
        self._forget_removals()
        self.revision = max(self.revision, revision)
        return changed

    def apply_snapshot(self, rows: Iterable[Row], revision: int) -> set[str]:
        """Replace the table by a snapshot as of a revision; return the keys that differ now."""
        if revision < self.revision:
            return set()
        found = list(rows)
        present = {row.key for row in found}
        gone = [
            Row(key, b"", revision)
            for key, row in self.rows.items()
            if key not in present and row.version <= revision
        ]
        changed = self.apply_changes(found, gone, revision)
        self.removed = {}
        self.removed_since = revision
        return changed

    def list_changes(self, revision: int) -> tuple[list[Row], list[Row]] | None:
        """Return the rows and removals after a revision, or None if older removals are missing."""
        if revision < self.removed_since:
            return None
        rows = [row for row in self.rows.values() if row.version > revision]
        removed = [Row(key, b"", at) for key, at in self.removed.items() if at > revision]
        return rows, removed

    def _forget_removals(self) -> None:
        while len(self.removed) > MAX_REMOVALS:
            oldest = min(self.removed, key=lambda key: self.removed[key])
            self.removed_since = max(self.removed_since, self.removed.pop(oldest))


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
        self.tables = {name: TableCopy() for name in TABLES}
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
    ) -> None:
        """Merge rows of a table from the store or a peer and update the decoded records."""
        copy = self.tables[table]
        silent_s = confirmed_s - copy.confirmed_s
        if table == names.UPSTREAM_TABLE:
            self.drop_lapsed()
            self._lapse_grace.record_confirmed(silent_s, self.now_s())
        if whole:
            changed = copy.apply_snapshot(rows, revision)
        else:
            changed = copy.apply_changes(rows, removed, revision)
        if revision >= copy.revision:
            copy.confirmed_s = max(copy.confirmed_s, confirmed_s)
        if not changed:
            return
        match table:
            case names.OPERATOR_TABLE:
                self._derive_operator(copy, changed, source)
            case names.UPSTREAM_TABLE:
                self._derive_upstreams(copy, changed, source, silent_s)
            case names.STATUS_TABLE:
                self._derive_statuses(copy, source)
        self._changes.on_next(table)

    def confirm(self, table: str, revision: int, confirmed_s: float) -> None:
        """Record that a table has not changed up to a revision, as a peer confirms."""
        copy = self.tables[table]
        if revision < copy.revision:
            return
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
        if names.CONFIG_KEY in changed and names.CONFIG_KEY in copy.rows:
            self._apply_config(copy.rows[names.CONFIG_KEY], source)
        orders = {}
        for key, row in copy.rows.items():
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
                earlier = self.earlier_orders.get(service, ())
                self.earlier_orders[service] = (*earlier, before)[-MAX_EARLIER_ORDERS:]
        self.orders = orders
        prefix = names.EVACUATE_PREFIX
        evacuated = frozenset(key[len(prefix) :] for key in copy.rows if key.startswith(prefix))
        if evacuated != self.evacuated:
            log_event("evacuations", domains=sorted(evacuated), source=source)
            for domain in self.evacuated - evacuated:
                self.domain_returned_s[domain] = self.now_s()
        self.evacuated = evacuated

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
            row = copy.rows.get(key)
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
        statuses = {}
        for key, row in copy.rows.items():
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
