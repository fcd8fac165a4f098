"""Slopes of state and of table access: chats, configuration, batches, sweeps, placement, moves."""

from __future__ import annotations

import random
import tracemalloc
from collections.abc import Callable
from time import process_time
from typing import Any

from bench._fit import Slope, fit, measure_processor_s
from bench.batch import run_domain
from bench.fakes import FleetSimulation, generate_trace, measure_message
from bench.memory import MemoryTable, VirtualLoop
from jayyoke.core.clock import ManualClock
from jayyoke.core.config import ClassKind, ClassSpec, Configuration, ServiceSpec, TeamSpec
from jayyoke.core.member import Member
from jayyoke.core.move import OutcomeCounts
from jayyoke.ops.cachelocations import CacheLocations, hash_chat
from jayyoke.ops.change import (
    Delta,
    apply_delta,
    decode_delta,
    decode_snapshot,
    encode_delta,
    encode_snapshot,
)
from jayyoke.ops.evidence import EvidencePool, judge, select_version
from jayyoke.ops.outbox import Outbox
from jayyoke.ops.outcomecounter import format_evidence
from jayyoke.utils.sha import hash_text
from jayyoke.wire.local import LocalHub

CHATS = (2000, 4000, 8000, 16_000)
TEAMS = (500, 1000, 2000, 3900)
GROUPS_PER_S = (2, 5, 10, 20, 80, 320)
OWNERS = (100, 200, 400, 800)
REQUESTS_PER_S = (100.0, 200.0, 300.0, 400.0)
ROUTES = (1, 4, 8, 16)
PLACEMENT_NODES = 8
PLACEMENT_ENGINES = 64
PLACEMENT_S = 6.0
SERVICE = ServiceSpec("pool", "engine", full_work_tokens=1 << 30)


def measure_bytes(build: Callable[[], Any]) -> int:
    """Return the bytes of memory that the built object takes."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        built = build()
        after = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    del built
    return after - before


def _build_cache_locations(chats: int) -> CacheLocations:
    locations = CacheLocations()
    for chat in range(chats):
        locations.learn(hash_chat(f"chat-{chat}"), f"engine-{chat % 260:03d}", 1500, 1000.0)
    return locations


def measure_chats() -> list[Slope]:
    """Return the memory of chats' cache locations and the seconds of one lookup."""
    memory_bytes, seconds = [], []
    for chats in CHATS:
        memory_bytes.append(
            (chats, measure_bytes(lambda chats=chats: _build_cache_locations(chats)))
        )
        locations = _build_cache_locations(chats)
        keys = [hash_chat(f"chat-{number % chats}") for number in range(2000)]

        def look_up(locations: CacheLocations = locations, keys: list[int] = keys) -> None:
            for key in keys:
                locations.find(key, 1001.0)

        seconds.append((chats, measure_processor_s(look_up, 5) / len(keys)))
    return [
        fit("chat memory", "B", "chats", memory_bytes),
        fit("chat lookup", "s", "chats", seconds, machine=True),
    ]


def build_configuration(teams: int) -> Configuration:
    """Return a configuration with this many teams and a few services and classes."""
    service = ServiceSpec("pool", "engine")
    spec = ClassSpec("draft", ClassKind.CHAT, "pool", 30.0)
    records = {}
    for number in range(teams):
        name = f"team-{number:05d}"
        records[name] = TeamSpec(name, hash_text(name), ("draft",))
    return Configuration(1, {"pool": service}, {"draft": spec}, records)


def measure_configuration() -> list[Slope]:
    """Return the memory of a configuration, bytes of a snapshot and seconds of one delta."""
    memory_bytes, seconds, snapshots = [], [], []
    entries = {("teams", "team-00001"): {"key_sha256": hash_text("new"), "classes": ["draft"]}}
    body = encode_delta(Delta(entries))
    for teams in TEAMS:
        configuration = build_configuration(teams)
        snapshot = encode_snapshot(configuration)
        snapshots.append((teams, len(snapshot)))
        memory_bytes.append(
            (teams, measure_bytes(lambda snapshot=snapshot: decode_snapshot(snapshot)))
        )

        def apply(configuration: Configuration = configuration) -> None:
            apply_delta(configuration, decode_delta(body), 2)

        seconds.append((teams, measure_processor_s(apply, 20)))
    return [
        fit("configuration memory", "B", "teams", memory_bytes),
        fit("snapshot bytes", "B", "teams", snapshots),
        fit("delta processor time", "s", "teams", seconds, machine=True),
    ]


def _run_virtual(work: Any) -> Any:
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work(loop))
    finally:
        loop.close()


def measure_batches(seed: int) -> list[Slope]:
    """Return the commits per second of one domain's writer, by groups per second."""
    points = []
    for rate in GROUPS_PER_S:
        work = run_domain(random.Random(seed), 30, rate)
        _, commits, span_s = _run_virtual(lambda _, work=work: work)
        points.append((rate, commits / span_s))
    return [fit("commits of a writer", "1/s", "groups/s", points)]


async def _sweep(owners: int) -> tuple[int, int]:
    table = MemoryTable(random.Random(1))
    peers = LocalHub().join(Member("a", "d0", 1, ""))
    outbox = Outbox(table, table.commit, None, None, peers, ManualClock())
    for owner in range(owners):
        table.rows[f"owner/d{owner // 30}/i{owner}.1"] = (b"", 1)
    await outbox.sweep()
    return table.scans, table.rows_read


def measure_sweeps() -> list[Slope]:
    """Return scans and rows of one sweep, by owners in the whole fleet."""
    scans, rows = [], []
    for owners in OWNERS:
        counts = _run_virtual(lambda _, owners=owners: _sweep(owners))
        scans.append((owners, counts[0]))
        rows.append((owners, counts[1]))
    return [
        fit("scans of a sweep", "scans", "owners", scans),
        fit("rows of a sweep", "rows", "owners", rows),
    ]


def measure_placement(seed: int) -> list[Slope]:
    """Return bytes and processor seconds of placement messages, by requests per second."""
    sent_bytes, processor_s = [], []
    for rate in REQUESTS_PER_S:
        simulation = FleetSimulation("owner", PLACEMENT_NODES, PLACEMENT_ENGINES, SERVICE, seed)
        for peers in simulation.hub.values():
            peers.size = measure_message
        started_s = process_time()
        simulation.run(PLACEMENT_S, generate_trace(seed, rate, PLACEMENT_S, 1.0))
        processor_s.append((rate, (process_time() - started_s) / PLACEMENT_S))
        total = sum(sum(peers.sent.values()) for peers in simulation.hub.values())
        sent_bytes.append((rate, total / PLACEMENT_S))
    return [
        fit("placement bytes", "B/s", "requests/s", sent_bytes),
        fit("placement processor time, harness included", "s/s", "requests/s", processor_s, True),
    ]


def measure_moves() -> list[Slope]:
    """Return bytes of evidence messages and seconds of one judgement, by number of routes."""
    sizes, seconds = [], []
    for routes in ROUTES:
        totals = {}
        for version in ("v1", "v2"):
            for route in range(routes):
                totals[version, f"class-{route:02d}"] = OutcomeCounts(40_000, 80, 1600)
        messages = format_evidence("guide-assist:v2:7", totals)
        sizes.append((routes, sum(map(measure_message, messages))))
        pool = EvidencePool()
        for instance in range(30):
            pool.replace(f"i{instance}", totals)

        def evaluate(pool: EvidencePool = pool) -> None:
            counts = pool.total()
            judge(select_version(counts, "v2"), select_version(counts, "v1"))

        seconds.append((routes, measure_processor_s(evaluate, 5)))
    return [
        fit("evidence bytes", "B", "routes", sizes),
        fit("judgement processor time, 30 instances", "s", "routes", seconds, machine=True),
    ]
