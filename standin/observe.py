"""Reads what upstreams and instances report while the demo runs, and sets their faults."""

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
    """Holds one request that reached an upstream, from a caller or a copy made by a router."""

    at_s: float
    version: str
    request_id: str
    accepted: bool

    @property
    def is_copy(self) -> bool:
        """Tell whether a router made this request to test a version."""
        return self.request_id.endswith("-copy")


@dataclass(frozen=True, slots=True)
class Skew:
    """Compares the most loaded engine with the mean over windows of one second."""

    window_count: int
    highest_ratio: float
    windows_within_bound: int
    highest_and_mean_load: tuple[float, float]


async def read_json(fleet: Fleet, url: str) -> Any:
    """Return the JSON of a stand-in or of an operators' path that needs no key."""
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
    """Return the statistics of all engines by name."""
    stats = {}
    for engine in fleet.engines:
        stats[engine.name] = await read_json(fleet, f"{engine.url}/stats")
    return stats


async def sample_loads(fleet: Fleet, samples: list[tuple[float, list[int]]]) -> None:
    """Sample the number of requests at each engine until cancelled."""
    while True:
        stats = await asyncio.gather(
            *(read_json(fleet, f"{engine.url}/stats") for engine in fleet.engines)
        )
        samples.append((time.monotonic(), [item["running"] + item["waiting"] for item in stats]))
        await asyncio.sleep(SAMPLE_INTERVAL_S)


def compute_skew(samples: list[tuple[float, list[int]]], load_bound: float) -> Skew:
    """Return the highest ratio of load to mean, and how many windows keep the load bound.

    The bound of a sample is load_bound x mean, rounded up. A window keeps it if no engine's
    average load is above the window's average bound.
    """
    windows: dict[int, list[list[int]]] = {}
    for at_s, loads in samples:
        windows.setdefault(int((at_s - samples[0][0]) / WINDOW_S), []).append(loads)
    skews, within = [], 0
    for rows in windows.values():
        engines = [sum(column) / len(rows) for column in zip(*rows, strict=True)]
        mean = sum(engines) / len(engines)
        if mean <= 0:
            continue
        bounds = [math.ceil(load_bound * sum(row) / len(row)) for row in rows]
        skews.append((max(engines) / mean, max(engines), mean))
        within += max(engines) <= sum(bounds) / len(bounds)
    worst = max(skews, default=(0.0, 0.0, 0.0))
    return Skew(len(skews), worst[0], within, worst[1:])


async def read_versions(fleet: Fleet) -> list[int]:
    """Return the configuration version in force at each instance; -1 where none answers."""
    return await asyncio.gather(*(_read_version(fleet, instance) for instance in fleet.instances))


async def _read_version(fleet: Fleet, instance: Process) -> int:
    try:
        return (await read_json(fleet, f"{instance.operator_url}/readyz"))["configuration"]
    except aiohttp.ClientError:
        return -1


async def wait_until_in_force(fleet: Fleet, version: int, timeout_s: float = 30.0) -> float:
    """Return the seconds until every instance has a configuration version in force."""
    began_s = time.monotonic()
    async with asyncio.timeout(timeout_s):
        while min(await read_versions(fleet)) < version:
            await asyncio.sleep(POLL_S)
    return time.monotonic() - began_s


async def watch_versions(fleet: Fleet, reverts: list[str]) -> None:
    """Add every decrease of an instance's configuration version to `reverts`, until cancelled."""
    highest = [0] * len(fleet.instances)
    while True:
        for index, version in enumerate(await read_versions(fleet)):
            if 0 <= version < highest[index]:
                reverts.append(f"{fleet.instances[index].name}: {highest[index]} to {version}")
            highest[index] = max(highest[index], version)
        await asyncio.sleep(WINDOW_S / 4)
