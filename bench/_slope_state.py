"""Slopes of state and of the table: chats, configuration, batches, sweeps, placement, moves."""

from __future__ import annotations

import random
import tracemalloc
from collections.abc import Callable
from time import process_time
from typing import Any

from bench._fit import Slope, fit, time_s
from bench.batch import run_domain
from bench.fakes import World, generate_trace, measure_message
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
RATES = (100.0, 200.0, 300.0, 400.0)
ROUTES = (1, 4, 8, 16)
PLACEMENT_NODES = 8
PLACEMENT_ENGINES = 64
PLACEMENT_S = 6.0
SERVICE = ServiceSpec("pool", "engine", full_work_tokens=1 << 30)


def measure_bytes(build: Callable[[], Any]) -> int:
    """Return the bytes that what is built holds."""
    tracemalloc.start()
    try:
        before = tracemalloc.get_traced_memory()[0]
        built = build()
        after = tracemalloc.get_traced_memory()[0]
    finally:
        tracemalloc.stop()
    del built
    return after - before


def _build_memory(chats: int) -> CacheLocations:
    memory = CacheLocations()
    for chat in range(chats):
        memory.learn(hash_chat(f"chat-{chat}"), f"engine-{chat % 260:03d}", 1500, 1000.0)
    return memory


def measure_chats() -> list[Slope]:
    """Return bytes of remembered chats and seconds of one lookup."""
    held, times = [], []
    for chats in CHATS:
        held.append((chats, measure_bytes(lambda chats=chats: _build_memory(chats))))
        memory = _build_memory(chats)
        keys = [hash_chat(f"chat-{number % chats}") for number in range(2000)]

        def look_up(memory: CacheLocations = memory, keys: list[int] = keys) -> None:
            for key in keys:
                memory.find(key, 1001.0)

        times.append((chats, time_s(look_up, 5) / len(keys)))
    return [
        fit("chat memory", "B", "chats", held),
        fit("chat lookup", "s", "chats", times, machine=True),
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
    """Return bytes of a configuration and of a snapshot, and seconds of one delta."""
    held, times, snapshots = [], [], []
    entries = {("teams", "team-00001"): {"key_sha256": hash_text("new"), "classes": ["draft"]}}
    body = encode_delta(Delta(entries))
    for teams in TEAMS:
        configuration = build_configuration(teams)
        snapshot = encode_snapshot(configuration)
        snapshots.append((teams, len(snapshot)))
        held.append((teams, measure_bytes(lambda snapshot=snapshot: decode_snapshot(snapshot))))

        def apply(configuration: Configuration = configuration) -> None:
            apply_delta(configuration, decode_delta(body), 2)

        times.append((teams, time_s(apply, 20)))
    return [
        fit("configuration memory", "B", "teams", held),
        fit("snapshot bytes", "B", "teams", snapshots),
        fit("delta processor time", "s", "teams", times, machine=True),
    ]


def _run_virtual(work: Any) -> Any:
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work(loop))
    finally:
        loop.close()


def measure_batches(seed: int) -> list[Slope]:
    """Return the commits a second of one domain's writer by groups a second."""
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
    """Return scans and rows of one sweep by owners in the whole fleet."""
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
    """Return bytes and processor seconds of placement messages by requests a second."""
    sent, spent = [], []
    for rate in RATES:
        world = World("owner", PLACEMENT_NODES, PLACEMENT_ENGINES, SERVICE, seed)
        for peers in world.hub.values():
            peers.size = measure_message
        started_s = process_time()
        world.run(PLACEMENT_S, generate_trace(seed, rate, PLACEMENT_S, 1.0))
        spent.append((rate, (process_time() - started_s) / PLACEMENT_S))
        total = sum(sum(peers.sent.values()) for peers in world.hub.values())
        sent.append((rate, total / PLACEMENT_S))
    return [
        fit("placement bytes", "B/s", "requests/s", sent),
        fit("placement processor time, harness included", "s/s", "requests/s", spent, True),
    ]


def measure_moves() -> list[Slope]:
    """Return bytes of an evidence message and seconds of one judgement by routes."""
    sizes, times = [], []
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

        def decide(pool: EvidencePool = pool) -> None:
            counts = pool.total()
            judge(select_version(counts, "v2"), select_version(counts, "v1"))

        times.append((routes, time_s(decide, 5)))
    return [
        fit("evidence bytes", "B", "routes", sizes),
        fit("judgement processor time, 30 instances", "s", "routes", times, machine=True),
    ]
