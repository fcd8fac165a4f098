"""The process of an entry instance on the users' machines."""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import sys
from dataclasses import dataclass, replace
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
from jayyoke.edge.log import log_event
from jayyoke.platform import names
from jayyoke.platform.boot import parse_boot_settings
from jayyoke.scripts.drain import drain
from jayyoke.scripts.instance import Instance
from jayyoke.server.inputguard import InputGuard
from jayyoke.server.listener import Listener
from jayyoke.server.metrics import add_metrics_route
from jayyoke.utils.allocator import return_large_blocks
from jayyoke.utils.connector import BoundedConnector
from jayyoke.utils.task import cancel_tasks

EXIT_USAGE = 2
# A change of the settings file without a signal is noticed within this time.
SETTINGS_POLL_S = 2.0
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
    listener = Listener(app, guard=guard, decompresses=False)
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
    return_large_blocks()
    asyncio.run(run_instance(path, text, settings, options))
    log.flush_log(LOG_FLUSH_S)
    # The interpreter would spend a good part of the grace on freeing its objects.
    os._exit(0)


def run_command() -> None:
    """Run the command with the arguments of this process."""
    typer.run(main)
