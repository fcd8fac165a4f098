"""What the demo observes at upstreams and instances while calls run."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

import aiohttp

from standin.fleet import Fleet, Process

SAMPLE_INTERVAL_S = 0.1
WINDOW_S = 1.0
POLL_S = 0.05


@dataclass(frozen=True, slots=True)
class Arrival:
    """Holds one request that reached an upstream; copies of chats carry no caller's request."""

    at_s: float
    version: str
    request_id: str
    accepted: bool

    @property
    def copied(self) -> bool:
        """Tell whether a router made this request to try a version."""
        return self.request_id.endswith("-copy")


@dataclass(frozen=True, slots=True)
class Skew:
    """Compares the most loaded engine with the mean, over windows of one second."""

    windows: int
    highest_ratio: float
    within_bound: int
    at_highest: tuple[float, float]


async def read_json(fleet: Fleet, url: str) -> Any:
    """Return the JSON that a stand-in or an open operator path answers with."""
    async with fleet.http.get(url) as answer:
        return await answer.json()


async def set_faults(fleet: Fleet, processes: Iterable[Process], **faults: Any) -> None:
    """Set faults of stand-ins."""
    for process in processes:
        async with fleet.http.post(f"{process.url}/fault", json=faults) as answer:
            answer.raise_for_status()


async def read_arrivals(fleet: Fleet, process: Process) -> list[Arrival]:
    """Return the requests that reached an upstream."""
    return [Arrival(*item) for item in await read_json(fleet, f"{process.url}/arrivals")]


async def read_stats(fleet: Fleet) -> dict[str, dict[str, Any]]:
    """Return the figures of all engines by name."""
    found = {}
    for engine in fleet.engines:
        found[engine.name] = await read_json(fleet, f"{engine.url}/stats")
    return found


async def sample_loads(fleet: Fleet, samples: list[tuple[float, list[int]]]) -> None:
    """Add the requests held by each engine to the samples until cancelled."""
    while True:
        stats = await asyncio.gather(
            *(read_json(fleet, f"{engine.url}/stats") for engine in fleet.engines)
        )
        samples.append((time.monotonic(), [item["running"] + item["waiting"] for item in stats]))
        await asyncio.sleep(SAMPLE_INTERVAL_S)


def compute_skew(samples: list[tuple[float, list[int]]], multiple: float) -> Skew:
    """Return the highest load over the mean of each window, and how many keep the bound.

    At each moment the bound is the whole number above multiple x mean; a window keeps it if no
    engine's average load is above the average bound.
    """
    windows: dict[int, list[list[int]]] = {}
    for at_s, loads in samples:
        windows.setdefault(int((at_s - samples[0][0]) / WINDOW_S), []).append(loads)
    found, within = [], 0
    for rows in windows.values():
        engines = [sum(column) / len(rows) for column in zip(*rows, strict=True)]
        mean = sum(engines) / len(engines)
        if mean <= 0:
            continue
        bounds = [math.ceil(multiple * sum(row) / len(row)) for row in rows]
        found.append((max(engines) / mean, max(engines), mean))
        within += max(engines) <= sum(bounds) / len(bounds)
    worst = max(found, default=(0.0, 0.0, 0.0))
    return Skew(len(found), worst[0], within, worst[1:])


async def read_versions(fleet: Fleet) -> list[int]:
    """Return the configuration version in force at each instance; -1 if it does not answer."""
    return await asyncio.gather(*(_read_version(fleet, instance) for instance in fleet.instances))


async def _read_version(fleet: Fleet, instance: Process) -> int:
    try:
        return (await read_json(fleet, f"{instance.operator_url}/readyz"))["configuration"]
    except aiohttp.ClientError:
        return -1


async def wait_in_force(fleet: Fleet, version: int, timeout_s: float = 30.0) -> float:
    """Return the seconds until every instance has a configuration version in force."""
    began_s = time.monotonic()
    async with asyncio.timeout(timeout_s):
        while min(await read_versions(fleet)) < version:
            await asyncio.sleep(POLL_S)
    return time.monotonic() - began_s


async def watch_versions(fleet: Fleet, reverts: list[str]) -> None:
    """Note every instance whose configuration version goes down, until cancelled."""
    highest = [0] * len(fleet.instances)
    while True:
        for index, version in enumerate(await read_versions(fleet)):
            if 0 <= version < highest[index]:
                reverts.append(f"{fleet.instances[index].name}: {highest[index]} to {version}")
            highest[index] = max(highest[index], version)
        await asyncio.sleep(WINDOW_S / 4)
