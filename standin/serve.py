"""Runs a stand-in's HTTP application until SIGTERM or SIGINT."""

from __future__ import annotations

import asyncio
import signal
import sys

from aiohttp import web


async def serve_application(app: web.Application, address: str | None = None) -> None:
    """Serve at HOST:PORT, by default the first argument, until SIGTERM or SIGINT."""
    host, _, port = (address or sys.argv[1]).rpartition(":")
    runner = web.AppRunner(app, access_log=None, handler_cancellation=True, shutdown_timeout=1.0)
    await runner.setup()
    site = web.TCPSite(runner, host, int(port))
    await site.start()
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    loop.add_signal_handler(signal.SIGINT, stop.set)
    await stop.wait()
    await runner.cleanup()
