"""One process of an entry instance on a machine of a given size, with its store and upstreams."""

from __future__ import annotations

import asyncio
import contextlib
from asyncio.subprocess import DEVNULL, Process
from collections.abc import AsyncIterator
from dataclasses import dataclass
from pathlib import Path

import aiohttp

from standin.entryconfig import HOST, KEY, build_config, build_route, format_settings
from standin.entryprocess import start_entry
from standin.entryupstream import EntryUpstream, answer_whole
from standin.port import find_free_ports
from standin.processmemory import lower_descriptors
from standin.rowstore import RowStoreServer

LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": 4 << 20,
    "headerTimeoutMs": 3000,
    "idleTimeoutMs": 15_000,
}
SLOTS = 400
# The usual size of a chat.
ORDINARY_BODY = bytes(24_000)
GRACE_S = 6.0
POLL_S = 0.1
START_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 30.0
PORTS = ("callers", "readiness", "peers", "metrics")


@dataclass(frozen=True, slots=True)
class Machine:
    """Holds a running process, its ports by name, its store and an HTTP client."""

    process: Process
    ports: dict[str, int]
    store: RowStoreServer
    http: aiohttp.ClientSession

    async def call(self) -> int | str:
        """Return the status of one ordinary request, or why it got no answer."""
        headers = {
            "Host": HOST,
            "Request-Id": "ordinary",
            "Deadline-Ms": "20000",
            "Authorization": f"Bearer {KEY}",
        }
        try:
            url = f"http://127.0.0.1:{self.ports['callers']}/sound/x"
            async with self.http.post(url, data=ORDINARY_BODY, headers=headers) as answer:
                body = await answer.read()
                return 200 if answer.status == 200 else f"{answer.status} {body[:100]!r}"
        except (aiohttp.ClientError, TimeoutError, OSError) as error:
            return repr(error)


def build_machine_config(kind: str, version: int = 1, **limits: int) -> dict[str, object]:
    """Return a configuration for ordinary requests and for those of a crowd, of the given kind."""
    return build_config(
        version,
        routes=[
            build_route("sound", "unsafe", timeoutMs=20_000, backend="sound"),
            build_route("crowd", kind, timeoutMs=20_000, backend="crowd"),
        ],
        backends=[{"name": name, "maxConns": SLOTS} for name in ("sound", "crowd")],
        limits=LIMITS | limits,
    )


@contextlib.asynccontextmanager
async def run_machine(
    folder: Path, memory_mb: int, descriptors: int, upstream: EntryUpstream, kind: str
) -> AsyncIterator[Machine]:
    """Yield a machine that serves; `upstream` gets the requests of the crowd."""
    sound = EntryUpstream("u1", answer_whole)
    async with contextlib.AsyncExitStack() as stack:
        store = RowStoreServer()
        await store.start()
        stack.push_async_callback(store.close)
        store.put("op", "config", build_machine_config(kind))
        for name, started, service in (("u1", sound, "sound"), ("u2", upstream, "crowd")):
            await started.start()
            stack.push_async_callback(started.close)
            store.put("servers", name, started.describe(service, slots=SLOTS))
        numbers = find_free_ports(len(PORTS))
        settings = folder / "boot.toml"
        text = format_settings("entry-1", "zone-a", store.address, numbers, [], GRACE_S)
        text += f"[limits]\nramMb = {memory_mb}\nmaxFds = {descriptors}\n"
        settings.write_text(text, encoding="utf-8")
        with lower_descriptors(descriptors):
            process = await start_entry(settings, numbers[3], stdout=DEVNULL, stderr=DEVNULL)
        stack.push_async_callback(_end, process)
        timeout = aiohttp.ClientTimeout(CALL_TIMEOUT_S)
        connector = aiohttp.TCPConnector(limit=0, force_close=True)
        http = aiohttp.ClientSession(connector=connector, timeout=timeout)
        await stack.enter_async_context(http)
        machine = Machine(process, dict(zip(PORTS, numbers, strict=True)), store, http)
        async with asyncio.timeout(START_TIMEOUT_S):
            while await machine.call() != 200:
                await asyncio.sleep(POLL_S)
        yield machine


async def _end(process: Process) -> None:
    if process.returncode is None:
        process.kill()
    await process.wait()
