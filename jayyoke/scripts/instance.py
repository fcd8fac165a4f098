"""The parts of one running entry instance, and how they are connected."""

from __future__ import annotations

import asyncio
import random
from dataclasses import fields

import aiohttp
from aiohttp import web

from jayyoke.core.entrysettings import EntrySettings
from jayyoke.edge import log
from jayyoke.edge.baseline import HOME_POLICY, find_ordering
from jayyoke.edge.dutyunit import build_duty_unit
from jayyoke.edge.follow import PeerFollower, TableFollower
from jayyoke.edge.forward import Forwarder
from jayyoke.edge.log import log_event
from jayyoke.edge.moves import MoveParticipant
from jayyoke.edge.partexchange import PartClient, PartExchange
from jayyoke.edge.partstorage import StorePartStorage
from jayyoke.edge.placement import Placer
from jayyoke.edge.pool import ConnectionPool
from jayyoke.edge.quarantinelog import log_end, log_quarantined
from jayyoke.edge.relay import RelayClient, RelayServer
from jayyoke.edge.roster import Roster
from jayyoke.edge.storeclock import StoreClock
from jayyoke.edge.storeera import StoreEra
from jayyoke.edge.storereturn import build_row_writer, connect_era
from jayyoke.edge.view import FleetView
from jayyoke.inputlimits.memoryplan import plan_memory
from jayyoke.ops.endobserver import EndObserver, ObservedEnd
from jayyoke.ops.metrics import Metrics
from jayyoke.ops.quarantine import Quarantine
from jayyoke.ops.quarantinerows import QuarantineRows
from jayyoke.ops.stopwindow import StopWindow
from jayyoke.platform import names
from jayyoke.platform.rowstore import RowStore
from jayyoke.scripts.clientguard import build_reporting_guard
from jayyoke.scripts.gauges import add_placement_gauges
from jayyoke.server.entrylistener import EntryListener
from jayyoke.server.relayapp import build_relay_app
from jayyoke.utils.boottime import read_boot_time_s
from jayyoke.zones.preference import Zones

_RELOADABLE_SETTINGS = ("seeds", "first_start")


class Instance:
    """Holds the parts of one running instance."""

    def __init__(
        self, settings: EntrySettings, http: aiohttp.ClientSession, policy: str = HOME_POLICY
    ):
        now_s = read_boot_time_s
        random_source = random.Random()
        self.settings = settings
        self.view = FleetView(now_s, settings.regions)
        self.clock = StoreClock(now_s)
        self.era = StoreEra()
        self.store = RowStore(http, settings.store.address, now_s, self.era)
        self.roster = Roster(
            self.view,
            self.store,
            self.clock,
            settings.instance,
            settings.domain,
            settings.peer_address,
            settings.link_bytes_per_s,
            self.era,
        )
        self.moves = MoveParticipant(
            self.view,
            self.store,
            self.clock,
            settings.instance,
            lambda: len(self.roster.list_alive()),
            settings.bounds,
            # self.peers is assigned further below.
            lambda: self.peers.relayed,
        )
        self.placement = Placer(
            self.view,
            self.moves,
            settings.bounds,
            settings.instance,
            now_s,
            random_source,
            self.roster.list_sharing,
            find_ordering(policy),
            read_common_s=self.read_common_s,
            zones=Zones(settings.domain, settings.zones),
            admission=settings.admission,
            domain=settings.domain,
        )
        self.pool = ConnectionPool()
        self.metrics = Metrics()
        self.quarantine = Quarantine(now_s, settings.instance, self.roster.list_alive)
        self.quarantine_rows = QuarantineRows(
            self.quarantine,
            StorePartStorage(self.store, self.clock),
            now_s,
            lambda key: log_quarantined(self.quarantine, key, source="store"),
            lambda reason: log_event("quarantine-rows", reason=reason),
            build_row_writer(settings.instance, self.roster.list_alive),
        )
        self.part_exchange = PartExchange(
            self.quarantine,
            PartClient(http).send,
            self.list_peers,
            now_s,
            random_source,
            self.roster.list_near,
        )
        plan = plan_memory(settings.memory_bytes)
        self.stop_window = StopWindow()
        self.duties = build_duty_unit(self, http, now_s, random_source)
        self.forwarder = Forwarder(
            self.placement,
            self.moves,
            self.pool,
            self.metrics,
            settings.bounds,
            now_s,
            random_source,
            self.quarantine,
            EndObserver(self.quarantine, now_s, self.record_end),
            self.quarantine_rows.mark_changed,
            self.stop_window,
            None if self.duties is None else self.duties.usage,
            settings.admission.send_priority,
            settings.hedge,
            plan.answer_bytes,
        )
        self.guard = build_reporting_guard(self.metrics, log_refused_clients, plan)
        self.listener = EntryListener(
            self.view, self.forwarder, settings.bounds, now_s, self.guard, plan
        )
        self.relay = RelayServer(
            self.view,
            self.placement.load_exchange,
            self.placement.limit_exchange,
            self.era,
            self.roster.record_contact,
            self.placement.admitter.exchange,
        )
        self.peers = PeerFollower(
            self.view,
            self.store,
            RelayClient(http, now_s),
            self.roster,
            self.list_peers,
            random_source,
            settings.link_bytes_per_s,
            self.placement.load_exchange,
            self.placement.limit_exchange,
            self.placement.admitter.exchange,
            self.era,
            settings.bounds.converge_s,
        )
        self.view.changes.subscribe(lambda _: self.drop_gone_upstreams())
        self.metrics.add_gauge(
            "jayyoke_log_lines_dropped", "Log lines dropped.", log.count_dropped_lines
        )
        self.metrics.add_gauge(
            "jayyoke_config_age_seconds", "Age of the configuration.", self.read_config_age_s
        )
        self.metrics.add_gauge(
            "jayyoke_upstream_connections_opened", "Connections.", lambda: self.pool.opened
        )
        add_placement_gauges(self.metrics, self.placement)
        self.metrics.add_gauge(
            "jayyoke_suspected_parts", "Parts of prompts.", lambda: self.quarantine.suspected
        )
        self.metrics.add_gauge(
            "jayyoke_quarantined_parts",
            "Parts of prompts kept from engines.",
            lambda: len(self.quarantine.list_quarantined()),
        )
        connect_era(self.era, self.view, self.quarantine_rows, self.metrics)
        self.metrics.add_gauge(
            "jayyoke_limited_upstreams",
            "Upstreams that name a limit of requests a second.",
            lambda: self.placement.limits.limited,
        )
        self.metrics.add_gauge(
            "jayyoke_slow_upstreams",
            "Upstreams whose own figure says that they are slow now.",
            self.placement.count_slow,
        )
        self.metrics.add_gauge(
            "jayyoke_slow_upstreams_left",
            "Requests that left an upstream since it was slow for a moment.",
            lambda: self.placement.slow_left,
        )

    @property
    def ready(self) -> bool:
        """Tell whether the load balancer may send new connections."""
        return self.view.config is not None and not self.listener.draining

    def read_common_s(self) -> float:
        """Return the time that all instances read alike, or the own one before it is known."""
        return self.clock.read_s() if self.clock.known else read_boot_time_s()

    def read_config_age_s(self) -> float:
        """Return the age of the configuration in seconds, or -1 without one."""
        return -1.0 if self.view.config is None else self.view.config_age_s

    def list_peers(self) -> list[str]:
        """Return the addresses of other instances, those of the settings included."""
        known = {*self.roster.list_peers(), *self.settings.seeds}
        return sorted(known - {self.settings.peer_address})

    def record_end(self, end: ObservedEnd) -> None:
        """Log the end of an engine and store the parts that are quarantined."""
        log_end(self.quarantine, end)
        self.quarantine_rows.record_end(end.keys)

    def apply_settings(self, settings: EntrySettings) -> list[str]:
        """Apply new settings; return the names of those whose change needs a restart."""
        old = self.settings
        self.settings = settings
        restart_settings = []
        for field in fields(EntrySettings):
            if field.name in _RELOADABLE_SETTINGS:
                continue
            if getattr(old, field.name) != getattr(settings, field.name):
                restart_settings.append(field.name)
        return restart_settings

    def drop_gone_upstreams(self) -> None:
        """Drop the state kept for upstreams that are gone."""
        self.placement.forget_missing()
        live = [found.incarnation for found in self.view.upstreams.values()]
        self.pool.retain(live)

    def build_peer_app(self) -> web.Application:
        """Return the application that other instances call."""
        return build_relay_app(self.relay, self.part_exchange, self.duties)

    def start_tasks(self) -> list[asyncio.Task[None]]:
        """Start the background tasks."""
        coroutines = [
            self.roster.run(),
            self.moves.run(),
            self.peers.run(),
            self.peers.run_relayed(),
            self.part_exchange.run(),
            self.quarantine_rows.run(),
        ]
        for table in (names.OPERATOR_TABLE, names.UPSTREAM_TABLE):
            follower = TableFollower(
                self.view,
                self.store,
                self.clock,
                table,
                self.peers,
                self.settings.link_bytes_per_s,
            )
            coroutines.append(follower.run())
        if self.duties is not None:
            coroutines += self.duties.list_coroutines()
        return [asyncio.create_task(coroutine) for coroutine in coroutines]


def log_refused_clients(reason: str, count: int) -> None:
    """Log connections that were closed for their clients' input."""
    log_event("clients-refused", reason=reason, count=count)
