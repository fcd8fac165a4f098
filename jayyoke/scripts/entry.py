"""The process of an entry instance on the users' machines."""

from __future__ import annotations

import asyncio
import gc
import os
import random
import signal
import sys
from dataclasses import dataclass, fields, replace
from pathlib import Path
from typing import Annotated

import aiohttp
import typer
from aiohttp import web

from jayyoke.core.entrysettings import EntrySettings, HedgeSettings
from jayyoke.core.error import InvalidDocument
from jayyoke.core.registry import UnknownPlugin
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
from jayyoke.ops.endobserver import EndObserver, ObservedEnd
from jayyoke.ops.metrics import Metrics
from jayyoke.ops.quarantine import Quarantine
from jayyoke.ops.quarantinerows import QuarantineRows
from jayyoke.ops.stopwindow import StopWindow
from jayyoke.platform import names
from jayyoke.platform.boot import parse_boot_settings
from jayyoke.platform.rowstore import RowStore
from jayyoke.scripts.clientguard import build_reporting_guard
from jayyoke.scripts.drain import drain
from jayyoke.scripts.gauges import add_placement_gauges
from jayyoke.server.entrylistener import EntryListener
from jayyoke.server.inputguard import InputGuard
from jayyoke.server.listener import Listener
from jayyoke.server.metrics import add_metrics_route
from jayyoke.server.relayapp import build_relay_app
from jayyoke.utils.boottime import read_boot_time_s
from jayyoke.utils.connector import BoundedConnector
from jayyoke.utils.task import cancel_tasks
from jayyoke.zones.preference import Zones

EXIT_USAGE = 2
# A change of the settings file without a signal is noticed within this time.
SETTINGS_POLL_S = 2.0
_RELOADABLE_SETTINGS = ("seeds", "first_start")
# The same as in deploy/system.toml; outside the platform's port range for peers.
METRICS_PORT = 9109
# A dead connection to the store or a peer is noticed only by the timeout of a call over it.
KEEP_ALIVE_S = 10.0
GC_THRESHOLD = 20_000
# Time for the log's reader to take the last lines of the process.
LOG_FLUSH_S = 0.05
HANDLED_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)


@dataclass(frozen=True, slots=True)
class Options:
    """Holds the options of the command line."""

    metrics_port: int = METRICS_PORT
    policy: str = HOME_POLICY
    hedge_share: float = 0.0


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
        )
        self.guard = build_reporting_guard(self.metrics, log_refused_clients)
        self.listener = EntryListener(self.view, self.forwarder, settings.bounds, now_s, self.guard)
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


async def run_instance(path: Path, text: str, settings: EntrySettings, options: Options) -> None:
    """Serve until SIGTERM, then finish the requests in progress.

    `settings` were read from `text`; if the file differs from it by now, it is read again.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    connector = BoundedConnector(limit=0, keepalive_timeout=KEEP_ALIVE_S)
    async with aiohttp.ClientSession(connector=connector, auto_decompress=False) as http:
        settings = replace(settings, hedge=HedgeSettings(options.hedge_share))
        instance = Instance(settings, http, options.policy)
        reload = asyncio.Event()
        loop.add_signal_handler(signal.SIGHUP, reload.set)
        tasks = instance.start_tasks()
        tasks.append(asyncio.create_task(_watch_settings(instance, path, text, reload)))
        for task in tasks:
            task.add_done_callback(_end_on_failure)
        await instance.listener.start(settings.caller_address)
        guard = instance.guard
        ready = await _listen(_build_ready_app(instance), settings.ready_address, guard)
        peers = await _listen(instance.build_peer_app(), settings.peer_address, guard)
        host = settings.peer_address.rpartition(":")[0]
        metrics_address = f"{host}:{options.metrics_port}"
        metrics = await _listen(_build_metrics_app(instance), metrics_address, guard)
        log_event("started", instance=settings.instance, domain=settings.domain)
        await stop.wait()
        if instance.duties is not None:
            await instance.duties.release()
        await drain(instance.listener, instance.stop_window, instance.settings.bounds.stop_grace_s)
        await instance.listener.close()
        for task in tasks:
            task.remove_done_callback(_end_on_failure)
        await cancel_tasks(tasks)
        instance.pool.close()
        await ready.close()
        await peers.close()
        await metrics.close()
    # The end of the event loop sets the handlers back to those that end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, HANDLED_SIGNALS)
    log_event("stopped", instance=settings.instance)


async def _listen(app: web.Application, address: str, guard: InputGuard) -> Listener:
    listener = Listener(app, guard=guard)
    await listener.start(address)
    return listener


def _build_ready_app(instance: Instance) -> web.Application:
    app = web.Application()

    async def show(_: web.Request) -> web.Response:
        return web.Response(status=200 if instance.ready else 503)

    app.router.add_get(names.READY_PATH, show)
    return app


def _build_metrics_app(instance: Instance) -> web.Application:
    app = web.Application()
    add_metrics_route(app, instance.metrics)
    return app


async def _watch_settings(
    instance: Instance, path: Path, known: str, reload: asyncio.Event
) -> None:
    """Read the settings again on SIGHUP, and when the file changes without a signal."""
    while True:
        try:
            async with asyncio.timeout(SETTINGS_POLL_S):
                await reload.wait()
        except TimeoutError:
            pass
        signalled = reload.is_set()
        reload.clear()
        try:
            text = _read_text(path)
            if text == known and not signalled:
                continue
            settings = parse_boot_settings(text, str(path))
        except (OSError, InvalidDocument) as error:
            log_event("reload-failed", error=str(error))
            continue
        # The command line gives the hedge settings, and the file has none.
        settings = replace(settings, hedge=instance.settings.hedge)
        known = text
        log_event(
            "reload",
            signalled=signalled,
            seeds=list(settings.seeds),
            needs_restart=instance.apply_settings(settings),
        )


def _read_text(path: Path) -> str:
    return path.read_text(encoding="utf-8")


def log_refused_clients(reason: str, count: int) -> None:
    """Log connections that were closed for their clients' input."""
    log_event("clients-refused", reason=reason, count=count)


def _end_on_failure(task: asyncio.Task[None]) -> None:
    """End the process if a background task fails, since the platform restarts it."""
    if task.cancelled():
        return
    error = task.exception()
    log_event("task-failed", error=repr(error))
    os.kill(os.getpid(), signal.SIGTERM)


def main(
    metrics_port: Annotated[int, typer.Option(help="TCP port of /metrics.")] = METRICS_PORT,
    log_lines_per_s: Annotated[
        float, typer.Option(help="Log lines a second above which lines are dropped.", min=1.0)
    ] = log.LINES_PER_S,
    policy: Annotated[
        str, typer.Option(help="Order of engines; others than 'home' are baselines.")
    ] = HOME_POLICY,
    hedge_share: Annotated[
        float, typer.Option(help="Share of a route's requests to hedge.", min=0.0, max=1.0)
    ] = 0.0,
) -> None:
    """Run an entry instance with the settings file that the environment names."""
    log.start_log(lines_per_s=log_lines_per_s)
    path = Path(os.environ.get(names.SETTINGS_VARIABLE, ""))
    try:
        text = _read_text(path)
        settings = parse_boot_settings(text, str(path))
        options = Options(metrics_port, policy, hedge_share)
        find_ordering(policy)
    except (OSError, InvalidDocument, UnknownPlugin) as error:
        log_event("settings-unusable", error=str(error))
        sys.exit(EXIT_USAGE)
    gc.set_threshold(GC_THRESHOLD)
    asyncio.run(run_instance(path, text, settings, options))
    log.flush_log(LOG_FLUSH_S)
    # The interpreter would spend a good part of the grace on freeing its objects.
    os._exit(0)


def run_command() -> None:
    """Run the command with the arguments of this process."""
    typer.run(main)
