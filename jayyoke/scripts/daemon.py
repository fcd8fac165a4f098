"""The daemon `jayyoked`: one entry instance of the fleet."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path

import aiohttp
import typer
from absl import logging
from aiohttp import web

from jayyoke.core import kernel
from jayyoke.core.clock import SystemClock
from jayyoke.core.error import InvalidDocument
from jayyoke.core.member import Member
from jayyoke.core.peering import Peers
from jayyoke.ops.control import Control
from jayyoke.ops.durable import build_durable
from jayyoke.ops.health import Health
from jayyoke.ops.node import Node
from jayyoke.ops.placement import Placer
from jayyoke.ops.service import open_single_session
from jayyoke.parser.settings import Settings, parse_settings
from jayyoke.platform.listing import Listing
from jayyoke.platform.table import Table
from jayyoke.server.caller import CallerServer
from jayyoke.server.operator import OperatorServer
from jayyoke.wire.local import LocalHub

EXIT_INVALID_SETTINGS = 2
DRAIN_TIMEOUT_S = 60.0
DURABLE_DRAIN_TIMEOUT_S = 3.0  # What is left is adopted by another instance.
_LEVELS = {"debug": logging.DEBUG, "info": logging.INFO, "warning": logging.WARNING}


def build_node(
    settings: Settings, http: aiohttp.ClientSession, http_single: aiohttp.ClientSession
) -> Node:
    """Return the parts of an instance, not yet running."""
    table = Table(http, settings.table_url)
    listing = Listing(http, settings.listing_url)
    control = Control(table)
    health = Health(listing)
    placer = Placer(control, health)
    clock = SystemClock()
    durable = build_durable(settings, table, http_single, placer, build_peers(settings), clock)
    return Node(settings, clock, http, table, listing, control, health, placer, durable)


def build_peers(settings: Settings) -> Peers:
    """Return peers of an instance that knows no other."""
    incarnation = time.time_ns() // 1_000_000
    member = Member(settings.instance, settings.domain, incarnation, settings.peer_address)
    return LocalHub().join(member)


async def run_daemon(settings: Settings) -> None:
    """Serve until SIGTERM, then finish the requests in progress."""
    kernel.load()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    connector = aiohttp.TCPConnector(limit=0)
    async with (
        aiohttp.ClientSession(connector=connector, auto_decompress=False) as http,
        open_single_session() as http_single,
    ):
        node = build_node(settings, http, http_single)
        tasks = [asyncio.create_task(node.control.run()), asyncio.create_task(node.health.run())]
        tasks.append(asyncio.create_task(node.durable.outbox.run()))
        callers = await _listen(CallerServer(node).build(), settings.caller_address)
        operators = await _listen(OperatorServer(node).build(), settings.operator_address)
        logging.info("instance %s serves on %s", settings.instance, settings.caller_address)
        await stop.wait()
        logging.info("instance %s drains", settings.instance)
        await callers.cleanup()
        await node.durable.drain(DURABLE_DRAIN_TIMEOUT_S)
        await operators.cleanup()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def _listen(app: web.Application, address: str) -> web.AppRunner:
    host, _, port = address.rpartition(":")
    runner = web.AppRunner(
        app, access_log=None, handler_cancellation=True, shutdown_timeout=DRAIN_TIMEOUT_S
    )
    await runner.setup()
    await web.TCPSite(runner, host, int(port)).start()
    return runner


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
