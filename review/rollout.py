"""Workers of several versions, and traffic at a constant rate, for cases on roll-outs."""

from __future__ import annotations

import asyncio
import contextlib
import enum
import json
import time
from collections.abc import Callable
from dataclasses import dataclass

from review.rig import Client, Rig, build_config, build_route, build_service
from standin.entryupstream import (
    EntryUpstream,
    ReceivedRequest,
    format_answer,
    format_chunk,
    format_event,
    format_stream_head,
)

SERVICE = "guide-assist"
# The small deployments' rate for this service, in requests per second.
RATE = 67.0
SLOTS = 64
EVENTS = 5
EVENT_INTERVAL_S = 0.024
# How many times slower the slow answers of a bad version are.
SLOWDOWN = 5.0
# Bounds of the small deployments: `canaryShare` and `canaryExtra`.
CANARY_SHARE = 0.1
CANARY_EXTRA = 50


class Quality(enum.Enum):
    """How a worker answers."""

    GOOD = "runs"
    SLOW = "runs slowly"
    FAILED = "runs and fails"


@dataclass(frozen=True, slots=True)
class Arrival:
    """Holds when a request reached a worker of a version, and how that answered."""

    at_s: float
    version: str
    quality: Quality


class Fleet:
    """Runs workers of several versions; `draw` tells how a version answers next."""

    def __init__(self, rig: Rig, draw: Callable[[str], Quality]):
        self._rig = rig
        self._draw = draw
        self._workers: dict[str, list[EntryUpstream]] = {}
        self.arrivals: list[Arrival] = []

    async def start(self, version: str, count: int) -> None:
        """Start the workers of a version and write their entries."""
        for number in range(count):
            worker = EntryUpstream(
                f"{version}-{number}",
                lambda request, writer: self._answer(version, request, writer),
            )
            self._workers.setdefault(version, []).append(worker)
            domain = f"zone-{'abc'[number % 3]}"
            await self._rig.add_worker(worker, SERVICE, az=domain, slots=SLOTS, version=version)

    def drain(self, version: str) -> None:
        """Report that the workers of a version leave."""
        for number, worker in enumerate(self._workers[version]):
            domain = f"zone-{'abc'[number % 3]}"
            entry = worker.describe(
                SERVICE, az=domain, slots=SLOTS, version=version, state="draining"
            )
            entry["born"] = json.loads(self._rig.store.read("servers")[worker.name])["born"]
            self._rig.store.put("servers", worker.name, entry)
        self._rig.record.add(f"workers: those of {version} report that they drain")

    async def stop(self, version: str) -> None:
        """Stop the workers of a version at once."""
        for worker in self._workers[version]:
            await worker.close()
        self._rig.record.add(f"workers: those of {version} have stopped")

    async def _answer(
        self, version: str, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        quality = self._draw(version)
        self.arrivals.append(Arrival(time.monotonic(), version, quality))
        self._rig.record.add(f"{version}: {request.id} {quality.value}")
        interval_s = EVENT_INTERVAL_S * (SLOWDOWN if quality is Quality.SLOW else 1.0)
        with contextlib.suppress(ConnectionError):
            if quality is Quality.FAILED:
                writer.write(format_answer(request, b"failed", "500 Internal Server Error"))
                await writer.drain()
                return
            writer.write(format_stream_head(request))
            for number in range(1, EVENTS + 1):
                await asyncio.sleep(interval_s)
                writer.write(format_chunk(format_event(number)))
            writer.write(format_chunk(b""))
            await writer.drain()

    def count(self, version: str | None, from_s: float, to_s: float) -> int:
        """Return how many requests reached a version, or all, in a span of time."""
        return sum(
            from_s <= found.at_s < to_s and version in (None, found.version)
            for found in self.arrivals
        )


class Traffic:
    """Sends requests at a constant rate to all instances in turn."""

    def __init__(self, rig: Rig):
        self._rig = rig
        self._idle: list[list[Client]] = [[] for _ in rig.instances]
        self._calls: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Send requests until cancelled."""
        number = 0
        due_s = time.monotonic()
        while True:
            number += 1
            call = asyncio.create_task(self._call(number))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)
            due_s += 1.0 / RATE
            await asyncio.sleep(max(0.0, due_s - time.monotonic()))

    async def _call(self, number: int) -> None:
        place = number % len(self._idle)
        idle = self._idle[place]
        client = idle.pop() if idle else Client(self._rig, place)
        await client.call(
            f"r{number}",
            "/reply/x",
            Model="m",
            Token_Usage="830,130",
            Prefix_Hash=f"5c1e07a2:119,91bd{number % 102:04x}:580,e440{number:06x}:130",
        )
        idle.append(client)


def put_config(rig: Rig) -> None:
    """Write a configuration with one route to the service."""
    route = build_route("reply", "stream", SERVICE, affinity=True, sloMs=800)
    rig.put_config(build_config(1, [route], [build_service(SERVICE, SLOTS)]))


def order(rig: Rig, version: str, duration_s: float) -> float:
    """Order a version and return the time of the order."""
    body = {"backend": SERVICE, "to": version, "durationS": duration_s}
    rig.store.put("op", f"rollout/{SERVICE}", body)
    rig.record.add(f"operator: orders {version} within {duration_s} s")
    return time.monotonic()


class StatusReader:
    """Reads the status row of the service and records its changes."""

    def __init__(self, rig: Rig):
        self._rig = rig
        self._known = ""

    def read(self, version: str) -> str:
        """Return the state of the order of a version, or an empty text."""
        row = self._rig.store.read("status").get(f"rollout/{SERVICE}", b"{}")
        status = json.loads(row)
        told = " ".join(str(status.get(name)) for name in ("to", "state", "share", "reason"))
        if told != self._known:
            self._known = told
            self._rig.record.add(f"status: {told}")
        return status.get("state", "") if status.get("to") == version else ""
