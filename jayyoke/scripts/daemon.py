"""The daemon `jayyoked`: one entry instance of the fleet."""

from __future__ import annotations

import asyncio
import gc
import signal
from pathlib import Path
from typing import Annotated

import aiohttp
import typer
from absl import logging
from aiohttp import web

from jayyoke.core import registry
from jayyoke.core.error import InvalidDocument
from jayyoke.inputlimits.memoryplan import plan_memory
from jayyoke.ops.decisionlog import log_end
from jayyoke.ops.node import Node
from jayyoke.ops.plainservice import open_single_session
from jayyoke.parser.settings import Settings, parse_settings
from jayyoke.scripts.assembly import build_node, list_coroutines
from jayyoke.scripts.clientguard import build_reporting_guard
from jayyoke.scripts.session import EXIT_USAGE, fail, read_file
from jayyoke.server.caller import CallerServer
from jayyoke.server.inputguard import InputGuard
from jayyoke.server.listener import CLOSE_TIMEOUT_S, Listener
from jayyoke.server.operator import OperatorServer
from jayyoke.utils.allocator import return_large_blocks
from jayyoke.utils.connector import BoundedConnector
from jayyoke.utils.sockets import build_socket_factory
from jayyoke.utils.task import cancel_tasks

_LEVELS = {
    "debug": logging.DEBUG,
    "info": logging.INFO,
    "warning": logging.WARNING,
    "error": logging.ERROR,
}
# The load balancer probes readiness about once a second and must notice the drain first.
READINESS_DELAY_S = 2.0
# Time at the end of the grace for the last answers, for recorded work and to close connections.
CLOSING_S = 8.0
MAX_CLOSING_SHARE = 0.25
# Requests that are ended at the end of a drain write short answers.
END_TIMEOUT_S = 1.0
# Time at the end of the grace for the process to end.
EXIT_SLACK_S = 0.5
# A running request holds some thousand objects, so collections at the default of 700 free nothing.
GC_THRESHOLD = 20_000
DURABLE_DRAIN_TIMEOUT_S = 3.0  # Another instance adopts what is left.


async def run_daemon(settings: Settings) -> None:
    """Serve until SIGTERM, then finish the requests in progress."""
    registry.load_plugins()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    factory = build_socket_factory(settings.source)
    connector = BoundedConnector(limit=0, socket_factory=factory)
    async with (
        _open_session(connector) as http,
        open_single_session(settings.source) as http_single,
    ):
        node = build_node(settings, http, http_single)
        await node.peers.start()
        tasks = [asyncio.create_task(coroutine) for coroutine in list_coroutines(node)]
        plan = plan_memory(settings.memory_bytes)
        guard = build_reporting_guard(
            node.metrics,
            lambda reason, count: logging.warning("%d connections closed: %s", count, reason),
            plan,
        )
        caller_app = CallerServer(node, plan=plan, close_stalled=guard.close_stalled).build()
        callers = Listener(caller_app, guard=guard, own_bodies=True)
        await callers.start(settings.caller_address)
        operators = await _listen(OperatorServer(node).build(), settings.operator_address, guard)
        _tune_garbage_collector()
        logging.info("instance %s serves on %s", settings.instance, settings.caller_address)
        await stop.wait()
        node.peers.announce_leaving()
        left_s = await _drain(node, callers)
        await asyncio.gather(
            callers.close(left_s),
            operators.close(min(left_s, CLOSE_TIMEOUT_S)),
            node.durable_work.drain(min(DURABLE_DRAIN_TIMEOUT_S, left_s / 2)),
        )
        if node.shadows is not None:
            await node.shadows.close()
        await node.engine_streams.close()
        await cancel_tasks(tasks)
    # The end of the event loop sets the handlers back to those that end the process.
    signal.pthread_sigmask(signal.SIG_BLOCK, (signal.SIGTERM, signal.SIGINT))


def _tune_garbage_collector() -> None:
    """Exempt the objects made at startup from garbage collection and let it run less often."""
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_THRESHOLD, 20, 20)


def _open_session(connector: aiohttp.TCPConnector) -> aiohttp.ClientSession:
    # One caller's cookies must not reach an upstream with another caller's request.
    jar = aiohttp.DummyCookieJar()
    return aiohttp.ClientSession(connector=connector, auto_decompress=False, cookie_jar=jar)


async def _drain(node: Node, callers: Listener) -> float:
    """Finish the requests in progress; return how long answers may still be sent, in seconds.

    Listen until the load balancer has noticed the drain.
    """
    logging.info("instance %s drains", node.settings.instance)
    began_s = node.clock.now_s()
    grace_s = node.settings.stop_grace_s
    end_s = began_s + grace_s - min(CLOSING_S, MAX_CLOSING_SHARE * grace_s)
    balanced_s = min(READINESS_DELAY_S, grace_s / 2)
    node.drain.begin(end_s, began_s + balanced_s)
    callers.drain()
    await asyncio.sleep(balanced_s)
    callers.stop()
    if not await node.drain.wait(end_s - node.clock.now_s()):
        logging.warning("%d requests still run at the end of the drain", node.drain.running)
        for running in node.drain.requests:
            log_end("stopped", running.request_id, running.stage.value)
        node.drain.end()
        await node.drain.wait(min(END_TIMEOUT_S, began_s + grace_s - node.clock.now_s()))
    # Open connections may bring requests until they are closed.
    node.drain.window.close()
    return max(0.0, began_s + grace_s - EXIT_SLACK_S - node.clock.now_s())


async def _listen(app: web.Application, address: str, guard: InputGuard) -> Listener:
    listener = Listener(app, guard=guard)
    await listener.start(address)
    return listener


def main() -> None:
    """Run the command line of the daemon."""
    app()


app = typer.Typer(rich_markup_mode=None, add_completion=False, pretty_exceptions_enable=False)


@app.command()
def _command(
    settings: Annotated[Path, typer.Option(help="YAML file with the settings of this instance.")],
    check: Annotated[
        bool, typer.Option("--check", help="Check the settings, then exit without serving.")
    ] = False,
) -> None:
    """Run one entry instance until SIGTERM, then finish the requests in progress.

    Exit codes: 0 stopped or settings without findings; 2 bad usage or settings.
    """
    parsed = _read_settings(settings)
    if check:
        print(f"{settings}: no findings")
        return
    logging.set_verbosity(_LEVELS[parsed.log_level])
    logging.use_absl_handler()
    return_large_blocks()
    asyncio.run(run_daemon(parsed))


def _read_settings(path: Path) -> Settings:
    try:
        return parse_settings(read_file(path), str(path))
    except InvalidDocument as error:
        raise fail(str(error), EXIT_USAGE) from error


if __name__ == "__main__":
    main()
