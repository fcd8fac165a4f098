"""Slopes of what instances send each other and engines: heartbeats, digests, probes, the list."""

from __future__ import annotations

import asyncio
import json
from collections import Counter
from time import process_time

import aiohttp
from aiohttp import web

from bench._fit import Slope, fit, time_s
from bench.fakes import World, drive
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
PROBES = (100, 200, 400, 800)
EVENTS = (0, 10, 20, 40)
LISTED = (500, 1000, 2000, 4010)
SECONDS = 10
SERVICE = ServiceSpec("pool", "engine", full_work_tokens=1 << 30)
KEY = b"k" * 32
CORRELATION = (1 << 30) + 1
FIRST_VERSION = 100_000


class Wire:
    """Seals and opens frames of one direction between two instances and counts their bytes."""

    def __init__(self) -> None:
        self._out = FrameCodec(KEY, 0)
        self._in = FrameCodec(KEY, 0)

    def send(self, message: Digest, correlation: int = 0) -> tuple[int, Digest]:
        """Return the bytes of a frame and the message that arrives."""
        frame = self._out.encode_frame(message, correlation)
        return len(frame), self._in.decode_frame(frame[HEADER_BYTES:]).message


def _fill_version(digest: Digest) -> None:
    digest.control_version = FIRST_VERSION
    digest.confirmed_age_ms = 1000


def measure_membership() -> list[Slope]:
    """Return bytes and processor time a second of one instance's heartbeats."""
    sent, spent = [], []
    for count in INSTANCES:
        clock = ManualClock(1000.0)
        hub = LocalHub()
        nodes = []
        for index in range(count):
            me = Member(f"node-{index:03d}", "d", 1, f"10.0.0.{index}:7000", "", "r")
            digests = Digests(hub.join(me))
            digests.add_fields(_fill_version)
            nodes.append((Membership(me, clock), digests))
        wires = {(a, b): Wire() for a in range(count) for b in range(count) if a != b}
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
                    size, message = wires[index, other].send(digest, CORRELATION * (second % 2))
                    nodes[other][0].on_digest(membership.me, message)
                    total += size
                    if second % 2:
                        size, message = wires[other, index].send(Digest(), CORRELATION)
                        total += size
        spent.append((count, (process_time() - started_s) / SECONDS / count))
        sent.append((count, total / SECONDS / count))
    return [
        fit("heartbeat bytes", "B/s", "instances", sent),
        fit("heartbeat processor time", "s/s", "instances", spent, machine=True),
    ]


def measure_loads(seed: int) -> list[Slope]:
    """Return bytes and processor time a second of the load part of digests at 30 instances."""
    sent, spent = [], []
    for workers in WORKERS:
        world = World("owner", INSTANCES[-1], workers, SERVICE, seed)
        members = [world.hub[f"node-{index:02d}"].me for index in range(len(world.nodes))]
        wires = [Wire() for _ in members]
        total = used_s = 0.0
        for second in range(SECONDS):
            world.clock.advance(1.0)
            for name in world.engines:
                reserve = Reserve(f"{second}", name, world.random.randrange(4000), "e", 0, 0, True)
                for node in world.nodes:
                    if node.steward.owns(name):
                        node.steward.reserve(reserve)
            started_s = process_time()
            for index, node in enumerate(world.nodes):
                digest = Digest()
                node.fill_loads(digest)
                for other, receiver in enumerate(world.nodes):
                    if other != index:
                        size, message = wires[index].send(digest)
                        total += size
                        receiver.accept_loads(members[index], message)
            used_s += process_time() - started_s
        spent.append((workers, used_s / SECONDS / len(members)))
        sent.append((workers, total / SECONDS / len(members)))
    return [
        fit("load digest bytes", "B/s", "workers", sent),
        fit("load digest processor time", "s/s", "workers", spent, machine=True),
    ]


class _Counter:
    """Relays TCP connections and counts the bytes of each way."""

    def __init__(self, port: int):
        self.bytes: Counter[str] = Counter()
        self._port = port

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        """Relay one connection until either side ends it."""
        far_reader, far_writer = await asyncio.open_connection("127.0.0.1", self._port)
        there = asyncio.create_task(self._copy("request", reader, far_writer))
        await self._copy("answer", far_reader, writer)
        there.cancel()

    async def _copy(
        self, way: str, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while data := await reader.read(1 << 16):
            self.bytes[way] += len(data)
            writer.write(data)
        writer.close()


async def probe_once(events: int) -> dict[str, tuple[int, int]]:
    """Return request bytes and answer bytes of a probe and of an events poll.

    The product's prober reads a stand-in engine with `events` new events, over one connection.
    """
    engine = EngineServer("engine-000", "v1")
    engine.faults.event_lag_s = 0.0
    runner = web.AppRunner(engine.build(), access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    relay = _Counter(runner.addresses[0][1])
    server = await asyncio.start_server(relay.serve, "127.0.0.1", 0)
    address = f"127.0.0.1:{server.sockets[0].getsockname()[1]}"
    for number in range(events):
        engine._add_event("stored", f"chat-{number:024d}", 1500)
    found = {}
    async with aiohttp.ClientSession() as http:
        reader = _Reader(http)
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
            found[name] = (relay.bytes["request"], relay.bytes["answer"])
    server.close()
    await runner.cleanup()
    return found


class _Reader:
    """Reads with the product's prober, without its schedule."""

    def __init__(self, http: aiohttp.ClientSession):
        class _NoProbes:
            def subscribe(self, action) -> None:
                return None

        class _Steward:
            probes = _NoProbes()

        self._prober = Prober(http, SystemClock(), None, _Steward(), None)

    async def read(self, url: str):
        """Return the answer of one read."""
        return await self._prober._fetch_json(url)


def measure_probes() -> list[Slope]:
    """Return the bytes of one probe and of one events poll, by number of new events."""
    load, polls, spent = [], [], []
    asyncio.run(time_probes(50))
    for count in PROBES:
        spent.append((count, asyncio.run(time_probes(count))))
    for events in EVENTS:
        found = asyncio.run(probe_once(events))
        load.append((events, sum(found["load"])))
        polls.append((events, sum(found["events"])))
    return [
        fit("probe bytes, both ways", "B", "events", load),
        fit("events poll bytes, both ways", "B", "events", polls),
        fit("probe processor time", "s", "probes", spent, machine=True),
    ]


class _Parser:
    """Decodes one answer of the list as if each read found a change."""

    def __init__(self, body: str):
        self._body = body

    async def read(self):
        """Return the decoded answer."""
        return parse_snapshot(json.loads(self._body))


def measure_listing() -> list[Slope]:
    """Return the bytes and processor time of one read of the platform's list."""
    sizes, times = [], []
    for count in LISTED:
        entries = []
        for number in range(count):
            entry = {"name": f"engine-{number:04d}", "kind": "worker", "service": "guide-assist"}
            entry |= {"state": "live", "domain": "cr-central-a", "address": "10.20.30.40:8000"}
            entries.append(entry)
        body = json.dumps({"instances": entries})
        sizes.append((count, len(body)))
        listing = _Parser(body)
        health = Health(listing, ManualClock(), Loads(ManualClock()), lambda name: None)
        times.append((count, time_s(lambda health=health: drive(health.refresh()), 5)))
    return [
        fit("list bytes", "B", "entries", sizes),
        fit("list processor time", "s", "entries", times, machine=True),
    ]


async def time_probes(count: int) -> float:
    """Return the processor seconds of probes and their events polls, the engine's included."""
    engine = EngineServer("engine-000", "v1")
    runner = web.AppRunner(engine.build(), access_log=None)
    await runner.setup()
    site = web.TCPSite(runner, "127.0.0.1", 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    async with aiohttp.ClientSession() as http:
        reader = _Reader(http)
        started_s = process_time()
        for turn in range(count):
            await reader.read(f"http://{host}:{port}/load")
            if turn % PROBES_PER_EVENTS_POLL == 0:
                await reader.read(f"http://{host}:{port}/events?after=0")
        spent_s = process_time() - started_s
    await runner.cleanup()
    return spent_s
