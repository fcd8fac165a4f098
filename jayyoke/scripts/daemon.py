"""The daemon `jayyoked`: one entry instance of the fleet."""

from __future__ import annotations

import asyncio
import gc
import signal
import sys
from pathlib import Path

import aiohttp
import typer
from absl import logging
from aiohttp import web

from jayyoke.core import kernel
from jayyoke.core.clock import SystemClock
from jayyoke.core.error import InvalidDocument
from jayyoke.ops.control import Control
from jayyoke.ops.health import Health
from jayyoke.ops.node import Node
from jayyoke.ops.placement import Placer
from jayyoke.parser.settings import Settings, parse_settings
from jayyoke.platform.listing import Listing
from jayyoke.platform.table import Table
from jayyoke.server.caller import CallerServer
from jayyoke.server.listener import Listener
from jayyoke.server.operator import OperatorServer

EXIT_INVALID_SETTINGS = 2
# Longer than any class's deadline of today (30 s).
DRAIN_TIMEOUT_S = 60.0
# The balancer probes readiness about once a second.
SETTLE_S = 2.0
# Some thousand objects belong to each running request, so the default of 700 collects in vain.
COLLECT_AFTER_ALLOCATIONS = 20_000
_LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING}


def build_node(settings: Settings, http: aiohttp.ClientSession) -> Node:
    """Return the parts of an instance, not yet running."""
    table = Table(http, settings.table_url)
    listing = Listing(http, settings.listing_url)
    control = Control(table)
    health = Health(listing)
    placer = Placer(control, health)
    clock = SystemClock()
    return Node(settings, clock, http, table, listing, control, health, placer)


async def run_daemon(settings: Settings) -> None:
    """Serve until SIGTERM, then finish the requests in progress."""
    kernel.load()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    connector = aiohttp.TCPConnector(limit=0)
    # One caller's cookies must not reach an upstream with another caller's request.
    jar = aiohttp.DummyCookieJar()
    async with aiohttp.ClientSession(
        connector=connector, auto_decompress=False, cookie_jar=jar
    ) as http:
        node = build_node(settings, http)
        tasks = [asyncio.create_task(node.control.run()), asyncio.create_task(node.health.run())]
        callers = await _listen(CallerServer(node).build(), settings.caller_address)
        operators = await _listen(OperatorServer(node).build(), settings.operator_address)
        _tune_collector()
        logging.info("instance %s serves on %s", settings.instance, settings.caller_address)
        await stop.wait()
        await _drain(node, callers)
        await callers.close()
        await operators.close()
        await node.engines.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def _tune_collector() -> None:
    """Keep the garbage collector off the objects of the start and let it run less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(COLLECT_AFTER_ALLOCATIONS, 20, 20)


async def _drain(node: Node, callers: Listener) -> None:
    """Finish the requests in progress; the listener stays open until the balancer noticed."""
    logging.info("instance %s drains", node.settings.instance)
    node.drain.draining = True
    await asyncio.sleep(SETTLE_S)
    callers.stop()
    if not await node.drain.wait(DRAIN_TIMEOUT_S):
        logging.warning("%d requests run after the drain timeout", node.drain.running)


async def _listen(app: web.Application, address: str) -> Listener:
    listener = Listener(app)
    await listener.start(address)
    return listener


def main() -> None:
    """Run the command line of the daemon."""
    typer.run(_command)


def _command(settings: Path = typer.Option(..., help="YAML file of this instance.")) -> None:  # noqa: B008
    """Run one entry instance until SIGTERM."""
    try:
        parsed = parse_settings(settings.read_text(encoding="utf-8"), str(settings))
    except InvalidDocument as error:
        print(error, file=sys.stderr)
        raise typer.Exit(EXIT_INVALID_SETTINGS) from error
    except OSError as error:
        print(f"{settings}: {error.strerror}", file=sys.stderr)
        raise typer.Exit(EXIT_INVALID_SETTINGS) from error
    logging.set_verbosity(_LEVELS.get(parsed.log_level, logging.INFO))
    logging.use_absl_handler()
    asyncio.run(run_daemon(parsed))


if __name__ == "__main__":
    main()
