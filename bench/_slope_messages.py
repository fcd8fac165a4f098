"""Slopes of periodic messages: heartbeats, load digests, probes and reads of the list."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from time import process_time

import aiohttp
from aiohttp import web

from bench._fit import Slope, fit, measure_processor_s
from bench.fakes import FleetSimulation, drive
from jayyoke.core.clock import ManualClock, SystemClock
from jayyoke.core.config import ServiceSpec
from jayyoke.core.member import Member
from jayyoke.core.upstream import Upstream
from jayyoke.ops.cacheevents import CacheFollower
from jayyoke.ops.digest import Digests
from jayyoke.ops.health import Health
from jayyoke.ops.loads import Loads
from jayyoke.ops.membership import Membership
from jayyoke.ops.probe import PROBES_PER_EVENTS_POLL, Prober
from jayyoke.ops.replay import Replay
from jayyoke.platform.listing import parse_snapshot
from jayyoke.wire.frame import HEADER_BYTES, FrameCodec
from jayyoke.wire.gen.ttypes import Digest, Reserve
from jayyoke.wire.local import LocalHub
from standin.engine import EngineServer

INSTANCES = (5, 10, 20, 30)
WORKERS = (65, 130, 195, 260)
PROBE_COUNTS = (100, 200, 400, 800)
EVENT_COUNTS = (0, 10, 20, 40)
LIST_ENTRIES = (500, 1000, 2000, 4010)
SECONDS = 10
SERVICE = ServiceSpec("pool", "engine", full_work_tokens=1 << 30)
KEY = b"k" * 32
CORRELATION = (1 << 30) + 1
FIRST_VERSION = 100_000


class FrameChannel:
    """Encodes and decodes the frames of one direction between two instances."""

    def __init__(self) -> None:
        self._out = FrameCodec(KEY, 0)
        self._in = FrameCodec(KEY, 0)

    def send(self, message: Digest, correlation: int = 0) -> tuple[int, Digest]:
        """Return the bytes of a message's frame and the decoded message."""
        frame = self._out.encode_frame(message, correlation)
        return len(frame), self._in.decode_frame(frame[HEADER_BYTES:]).message


def _fill_version(digest: Digest) -> None:
    digest.control_version = FIRST_VERSION
    digest.confirmed_age_ms = 1000


def measure_membership() -> list[Slope]:
    """Return bytes and processor seconds per second of one instance's heartbeats."""
    sent_bytes, processor_s = [], []
    for count in INSTANCES:
        clock = ManualClock(1000.0)
        hub = LocalHub()
        nodes = []
        for index in range(count):
            me = Member(f"node-{index:03d}", "d", 1, f"10.0.0.{index}:7000", "", "r")
            digests = Digests(hub.join(me))
            digests.add_fields(_fill_version)
            nodes.append((Membership(me, clock), digests))
        channels = {(a, b): FrameChannel() for a in range(count) for b in range(count) if a != b}
        total = 0
        started_s = process_time()
        for second in range(SECONDS):
            clock.advance(1.0)
            for index, (membership, digests) in enumerate(nodes):
                membership.check()
                membership.link_addresses()
                digest = digests.build()
                for other in range(count):
                    if other == index:
                        continue
                    size, message = channels[index, other].send(digest, CORRELATION * (second % 2))
                    nodes[other][0].on_digest(membership.me, message)
                    total += size
                    if second % 2:
                        size, message = channels[other, index].send(Digest(), CORRELATION)
                        total += size
        processor_s.append((count, (process_time() - started_s) / SECONDS / count))
        sent_bytes.append((count, total / SECONDS / count))
    return [
        fit("heartbeat bytes", "B/s", "instances", sent_bytes),
        fit("heartbeat processor time", "s/s", "instances", processor_s, machine=True),
    ]


def measure_loads(seed: int) -> list[Slope]:
    """Return bytes and processor seconds per second of loads in digests at 30 instances."""
    sent_bytes, processor_s = [], []
    for workers in WORKERS:
        simulation = FleetSimulation("owner", INSTANCES[-1], workers, SERVICE, seed)
        members = [simulation.hub[f"node-{index:02d}"].me for index in range(len(simulation.nodes))]
        channels = [FrameChannel() for _ in members]
        total = spent_s = 0.0
        for second in range(SECONDS):
            simulation.clock.advance(1.0)
            for name in simulation.engines:
                reserve = Reserve(
                    f"{second}", name, simulation.random.randrange(4000), "e", 0, 0, True
                )
                for node in simulation.nodes:
                    if node.steward.owns(name):
                        node.steward.reserve(reserve)
            started_s = process_time()
            for index, node in enumerate(simulation.nodes):
                digest = Digest()
                node.fill_loads(digest)
                for other, receiver in enumerate(simulation.nodes):
                    if other != index:
                        size, message = channels[index].send(digest)
                        total += size
                        receiver.accept_loads(members[index], message)
            spent_s += process_time() - started_s
        processor_s.append((workers, spent_s / SECONDS / len(members)))
        sent_bytes.append((workers, total / SECONDS / len(members)))
    return [
        fit("load digest bytes", "B/s", "workers", sent_bytes),
        fit("load digest processor time", "s/s", "workers", processor_s, machine=True),
    ]


class _CountingRelay:
    """Relays TCP connections and counts the bytes of each direction."""

    def __init__(self, port: int):
        self.bytes: Counter[str] = Counter()
        self._port = port

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one connection until the server ends it."""
        server_reader, server_writer = await asyncio.open_connection("127.0.0.1", self._port)
        upload = asyncio.create_task(self._copy("request", reader, server_writer))
        await self._copy("answer", server_reader, writer)
        upload.cancel()

    async def _copy(
        self, direction: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(1 << 16):
            self.bytes[direction] += len(data)
            writer.write(data)
        writer.close()


async def probe_once(events: int) -> dict[str, tuple[int, int]]:
    """Return request bytes and answer bytes of a probe and of an events poll.

    The product's prober reads a stand-in engine that has `events` new events.
    """
    engine = EngineServer("engine-000", "v1")
    engine.faults.event_lag_s = 0.0
    runner = web.AppRunner(engine.build(), access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    relay = _CountingRelay(runner.addresses[0][1])
    server = await asyncio.start_server(relay.serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    for number in range(events):
        engine.add_event("stored", f"chat-{number:024d}", 1500)
    byte_counts = {}
    async with aiohttp.ClientSession() as http:
        reader = _Fetcher(http)
        url = Upstream("engine-000", "pool", "d", address).url
        for name, path in (("load", "/load"), ("events", "/events?after=0")):
            relay.bytes.clear()
            body = await reader.read(url + path)
            if body is None:
                raise RuntimeError(f"the stand-in engine did not answer {path}")
            if name == "events":
                peers = LocalHub().join(Member("a", "d", 1, ""))
                follower = CacheFollower(peers, Replay(peers, SystemClock()))
                follower.accept("engine-000", body)
            byte_counts[name] = (relay.bytes["request"], relay.bytes["answer"])
    server.close()
    await runner.cleanup()
    return byte_counts


class _Fetcher:
    """Fetches JSON with the product's prober, without its schedule."""

    def __init__(self, http: aiohttp.ClientSession):
        class _NoProbes:
            def subscribe(self, action) -> None:
                return None

        class _Steward:
            probes = _NoProbes()

        self._prober = Prober(http, SystemClock(), None, _Steward(), None)

    async def read(self, url: str):
        """Return the decoded answer."""
        return await self._prober._fetch_json(url)


def measure_probes() -> list[Slope]:
    """Return the bytes of one probe and of one events poll, by number of new events."""
    load_bytes, poll_bytes, processor_s = [], [], []
    asyncio.run(time_probes(50))
    for count in PROBE_COUNTS:
        processor_s.append((count, asyncio.run(time_probes(count))))
    for events in EVENT_COUNTS:
        byte_counts = asyncio.run(probe_once(events))
        load_bytes.append((events, sum(byte_counts["load"])))
        poll_bytes.append((events, sum(byte_counts["events"])))
    return [
        fit("probe bytes, both ways", "B", "events", load_bytes),
        fit("events poll bytes, both ways", "B", "events", poll_bytes),
        fit("probe processor time", "s", "probes", processor_s, machine=True),
    ]


class _ListSource:
    """Decodes the same answer of the list at every read, as if it had changed."""

    def __init__(self, body: str):
        self._body = body

    async def read(self):
        """Return the decoded entries."""
        return parse_snapshot(json.loads(self._body))


def measure_listing() -> list[Slope]:
    """Return the bytes and processor time of one read of the platform's list."""
    sizes, times = [], []
    for count in LIST_ENTRIES:
        entries = []
        for number in range(count):
            entry = {"name": f"engine-{number:04d}", "kind": "worker", "service": "guide-assist"}
            entry |= {"state": "live", "domain": "cr-central-a", "address": "10.20.30.40:8000"}
            entries.append(entry)
        body = json.dumps({"instances": entries})
        sizes.append((count, len(body)))
        listing = _ListSource(body)
        health = Health(listing, ManualClock(), Loads(ManualClock()), lambda name: None)
        times.append((count, measure_processor_s(lambda health=health: drive(health.refresh()), 5)))
    return [
        fit("list bytes", "B", "entries", sizes),
        fit("list processor time", "s", "entries", times, machine=True),
    ]


async def time_probes(count: int) -> float:
    """Return the processor seconds of probes and their events polls, including the engine's."""
    engine = EngineServer("engine-000", "v1")
    runner = web.AppRunner(engine.build(), access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    async with aiohttp.ClientSession() as http:
        reader = _Fetcher(http)
        started_s = process_time()
        for number in range(count):
            await reader.read(f"http://{host}:{port}/load")
            if number % PROBES_PER_EVENTS_POLL == 0:
                await reader.read(f"http://{host}:{port}/events?after=0")
        spent_s = process_time() - started_s
    await runner.cleanup()
    return spent_s
