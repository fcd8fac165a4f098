"""Entry instances on loopback, with stand-ins for the store and the upstreams."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import replace

import aiohttp

from jayyoke.core.entrysettings import Bounds, EntrySettings, StoreProfile
from jayyoke.core.entrysettings import DutyService as DutyServiceSettings
from jayyoke.scripts.instance import Instance
from jayyoke.server.listener import Listener
from jayyoke.utils.task import cancel_tasks
from standin.entryconfig import HOST, KEY, build_config
from standin.entryupstream import EntryUpstream, Script
from standin.port import find_free_ports
from standin.rowstore import RowStoreServer


class RunningEntry:
    """Holds one entry instance and the HTTP client that calls it."""

    def __init__(
        self,
        instance: Instance,
        url: str,
        http: aiohttp.ClientSession,
        peer_listener: Listener,
        stop: Callable[[], Awaitable[None]],
    ):
        self.instance = instance
        self.peer_listener = peer_listener
        self.url = url
        self.stop = stop
        self._http = http

    async def call(
        self, path: str, request_id: str = "r1", method: str = "POST", **headers: str
    ) -> tuple[int, bytes, dict[str, str]]:
        """Send a request with the key of team yard; return status, body and headers."""
        all_headers = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": "2500",
            "Authorization": f"Bearer {KEY}",
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        data = None if method == "GET" else b"the body"
        async with self._http.request(
            method, self.url + path, headers=all_headers, data=data
        ) as response:
            return response.status, await response.read(), dict(response.headers)


class Rig:
    """Holds a store, upstreams and instances; `close` stops the upstreams and instances."""

    def __init__(self, store: RowStoreServer, http: aiohttp.ClientSession):
        self.store = store
        self._http = http
        self.upstreams: list[EntryUpstream] = []
        self._stop_functions: list = []
        self._entry_stops: list = []

    async def add_upstream(
        self, name: str, script: Script, service: str = "desk", **row_fields: object
    ) -> EntryUpstream:
        """Start an upstream and write its row to the store."""
        upstream = EntryUpstream(name, script)
        await upstream.start()
        self.upstreams.append(upstream)
        self.store.put("servers", name, upstream.describe(service, **row_fields))
        return upstream

    async def add_entry(
        self,
        name: str = "entry-1",
        seeds: tuple[str, ...] = (),
        duty_service: DutyServiceSettings | None = None,
        bounds: Bounds | None = None,
        **settings_fields: object,
    ) -> RunningEntry:
        """Start an instance; use `wait_ready` to wait until it has read the store."""
        port, peer_port = find_free_ports(2)
        settings = EntrySettings(
            instance=name,
            domain="zone-a",
            region="region",
            caller_address=f"127.0.0.1:{port}",
            ready_address="",
            peer_address=f"127.0.0.1:{peer_port}",
            store=StoreProfile(self.store.address),
            regions={"zone-a": "region", "zone-b": "region"},
            seeds=seeds,
            bounds=bounds or Bounds(),
            duty_service=duty_service,
        )
        settings = replace(settings, **settings_fields)  # type: ignore[arg-type]
        http = aiohttp.ClientSession(headers={"User-Agent": name})
        instance = Instance(settings, http)
        tasks = instance.start_tasks()
        await instance.listener.start(settings.caller_address)
        peer_listener = Listener(instance.build_peer_app())
        await peer_listener.start(settings.peer_address)

        async def stop() -> None:
            await cancel_tasks(tasks)
            await instance.listener.close()
            await peer_listener.close()
            instance.pool.close()
            await http.close()

        self._entry_stops.append(stop)
        url = f"http://127.0.0.1:{port}"
        return RunningEntry(instance, url, self._http, peer_listener, stop)

    def add_stop_function(self, stop: Callable[[], Awaitable[None]]) -> None:
        """Call a function when the rig closes, after the instances have stopped."""
        self._stop_functions.append(stop)

    async def stop_entries(self) -> None:
        """Stop all instances."""
        while self._entry_stops:
            await self._entry_stops.pop(0)()

    async def close(self) -> None:
        """Stop the instances, then the upstreams."""
        await self.stop_entries()
        for stop in self._stop_functions:
            await stop()
        for upstream in self.upstreams:
            await upstream.close()


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection with a reset (RST) instead of an orderly close (FIN)."""
    connection_socket: socket.socket = writer.get_extra_info("socket")
    connection_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def wait_until(condition, timeout_s: float = 10.0) -> None:
    """Wait until the condition holds; raise TimeoutError after `timeout_s`."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


@asynccontextmanager
async def open_rig(config: dict[str, object] | None = None):
    """Yield a rig whose store holds the configuration, if one is given."""
    store = RowStoreServer()
    await store.start()
    if config is not None:
        store.put("op", "config", config)
    http = aiohttp.ClientSession(auto_decompress=False)
    rig = Rig(store, http)
    try:
        yield rig
    finally:
        await rig.close()
        await http.close()
        await store.close()


async def wait_ready(entry: RunningEntry, upstream_count: int) -> None:
    """Wait until an instance has a configuration and exactly this number of upstreams."""
    view = entry.instance.view
    await wait_until(lambda: view.config is not None and len(view.upstreams) == upstream_count)


def run_rig(
    test: Callable[[Rig], Awaitable[None]], config: dict[str, object] | None = None
) -> None:
    """Run a test with a new rig, by default with the configuration of `build_config`."""

    async def main() -> None:
        async with open_rig(config or build_config()) as rig:
            await test(rig)

    asyncio.run(main())
