"""A running entry instance on loopback with the store's and upstreams' stand-ins."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager

import aiohttp

from jayyoke.core.entrysettings import Bounds, EntrySettings, StoreProfile
from jayyoke.scripts.entry import Instance, build_relay_app
from jayyoke.server.listener import Listener
from jayyoke.utils.task import cancel_tasks
from standin.entryconfig import HOST, KEY, build_config
from standin.entryupstream import EntryUpstream, Script
from standin.port import find_free_ports
from standin.rowstore import RowStoreStandin


class Entry:
    """Holds one instance and a client that calls it."""

    def __init__(self, instance: Instance, url: str, http: aiohttp.ClientSession, peers: Listener):
        self.instance = instance
        self.peers = peers
        self.url = url
        self._http = http

    async def call(
        self, path: str, request_id: str = "r1", method: str = "POST", **headers: str
    ) -> tuple[int, bytes, dict[str, str]]:
        """Send a request with the yard's key; return status, body and headers."""
        sent = {
            "Host": HOST,
            "Request-Id": request_id,
            "Deadline-Ms": "2500",
            "Authorization": f"Bearer {KEY}",
        } | {name.replace("_", "-"): value for name, value in headers.items()}
        data = None if method == "GET" else b"the body"
        async with self._http.request(method, self.url + path, headers=sent, data=data) as response:
            return response.status, await response.read(), dict(response.headers)


class Rig:
    """Holds a store, upstreams and instances; everything ends with the context."""

    def __init__(self, store: RowStoreStandin, http: aiohttp.ClientSession):
        self.store = store
        self._http = http
        self.upstreams: list[EntryUpstream] = []
        self._ends: list = []

    async def add_upstream(
        self, name: str, script: Script, service: str = "desk", **changes: object
    ) -> EntryUpstream:
        """Start an upstream and write its entry."""
        upstream = EntryUpstream(name, script)
        await upstream.start()
        self.upstreams.append(upstream)
        self.store.put("servers", name, upstream.describe(service, **changes))
        return upstream

    async def add_entry(self, name: str = "entry-1", seeds: tuple[str, ...] = ()) -> Entry:
        """Start an instance and wait until it knows a configuration, if the store has one."""
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
            bounds=Bounds(),
        )
        http = aiohttp.ClientSession(headers={"User-Agent": name})
        instance = Instance(settings, http)
        tasks = instance.start_tasks()
        await instance.listener.start(settings.caller_address)
        peers = Listener(build_relay_app(instance))
        await peers.start(settings.peer_address)

        async def end() -> None:
            await cancel_tasks(tasks)
            await instance.listener.close()
            await peers.close()
            instance.pool.close()
            await http.close()

        self._ends.append(end)
        return Entry(instance, f"http://127.0.0.1:{port}", self._http, peers)

    async def close(self) -> None:
        """End instances, then upstreams."""
        for end in self._ends:
            await end()
        for upstream in self.upstreams:
            await upstream.close()


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset instead of an orderly end."""
    opened: socket.socket = writer.get_extra_info("socket")
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def wait_until(condition, timeout_s: float = 10.0) -> None:
    """Return when the condition holds; fail the test otherwise."""
    async with asyncio.timeout(timeout_s):
        while not condition():
            await asyncio.sleep(0.01)


@asynccontextmanager
async def open_rig(config: dict[str, object] | None = None):
    """Yield a rig whose store holds a configuration."""
    store = RowStoreStandin()
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


async def wait_ready(entry: Entry, upstreams: int) -> None:
    """Wait until an instance knows the configuration and so many upstreams."""
    view = entry.instance.view
    await wait_until(lambda: view.config is not None and len(view.upstreams) == upstreams)


def run_rig(
    test: Callable[[Rig], Awaitable[None]], config: dict[str, object] | None = None
) -> None:
    """Run a test against a new rig."""

    async def main() -> None:
        async with open_rig(config or build_config()) as rig:
            await test(rig)

    asyncio.run(main())
