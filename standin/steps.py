"""Steps of the demo: faults and operations on a deployment while its callers keep calling."""

from __future__ import annotations

import asyncio
import copy
import signal
import time
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import yaml

from standin.calls import Call, Callers
from standin.fleet import OPERATOR_KEY, Fleet, Process
from standin.observe import (
    Arrival,
    Skew,
    compute_skew,
    read_arrivals,
    read_json,
    read_stats,
    sample_loads,
    set_faults,
    wait_until_in_force,
)
from standin.operatortool import run_tool, wait_for_move

SURGE_PERIOD_S = 5.0
SURGE_CALLERS = 30
# Cold engines take at most a third of the fleet's work; more callers would be refused.
COLD_SURGE_CALLERS = 20
OUTAGE_S = 3.0
DOMAIN_OUT_S = 3.5
WARM_UP_S = 3.0
# Loads are reported once a second; much shorter chats would hardly test the load bound.
TOKEN_S = 0.02
LEAVING_S = 3.5
GOOD_DEADLINE_S = 18.0
BAD_DEADLINE_S = 60.0
# Long enough for a canary engine to load, and well before callers may get the bad version.
CANARY_WAIT_S = 8.0
MOVE_WAIT_S = 15.0
GOOD_VERSION = "v2"
BAD_VERSION = "v3"


@dataclass(slots=True)
class Observations:
    """Holds what the steps observed; times are in seconds."""

    skew: Skew | None = None
    surge_period: tuple[float, float] = (0.0, 0.0)
    in_force_s: float = 0.0
    reverts: list[str] = field(default_factory=list)
    domain_last_arrival_s: float = 0.0
    domain_out_period: tuple[float, float] = (0.0, 0.0)
    leaving_last_arrival_s: float = 0.0
    leaving_names: tuple[str, ...] = ()
    good_move: dict[str, Any] = field(default_factory=dict)
    good_move_s: float = 0.0
    bad_move: dict[str, Any] = field(default_factory=dict)
    bad_version_share: float = 0.0
    bad_version_chats: int = 0
    chats_during_bad_move: int = 0
    bad_version_last_arrival_s: float = 0.0
    bad_version_ran: bool = False
    outage_period: tuple[float, float] = (0.0, 0.0)
    outage_once_calls: list[Call] = field(default_factory=list)
    once_calls_by_key: dict[str, list[Call]] = field(default_factory=dict)
    tag_calls_by_key: dict[str, Call] = field(default_factory=dict)
    late_replies: list[tuple[str, bool]] = field(default_factory=list)
    stopped_instance: tuple[str, int | None] = ("", None)


@dataclass(slots=True)
class Demo:
    """Holds the state of a running demo."""

    fleet: Fleet
    configuration: dict[str, Any]
    callers: Callers
    observed: Observations
    print_progress: Callable[[str], None]
    samples: list[tuple[float, list[int]]] = field(default_factory=list)


async def run_surge(demo: Demo) -> None:
    """Let a team surge, with faulty answers, plain calls and a change of the configuration."""
    demo.print_progress(
        "a team surges; some answers are crossed, truncated or silent; plain calls of each kind"
    )
    demo.callers.surge_size = SURGE_CALLERS
    samples: list[tuple[float, list[int]]] = []
    began_s = time.monotonic()
    sampler = asyncio.create_task(sample_loads(demo.fleet, samples))
    parts = [
        break_answers(demo),
        repeat_once_calls(demo),
        send_tags(demo),
        send_late(demo),
        change_configuration(demo),
    ]
    await asyncio.gather(asyncio.sleep(SURGE_PERIOD_S), *parts)
    sampler.cancel()
    demo.observed.surge_period = (began_s, time.monotonic())
    demo.callers.surge_size = 0
    load_bound = demo.configuration["services"][demo.fleet.deployment.engine_service].get(
        "load_bound", 1.25
    )
    demo.observed.skew = compute_skew(samples, load_bound)


async def break_answers(demo: Demo) -> None:
    """Let engines and plain workers send some crossed, truncated and silent answers."""
    engines, plain_upstreams = demo.fleet.engines, demo.fleet.plain_upstreams
    await set_faults(demo.fleet, engines[:1], wrong_id=2)
    await set_faults(demo.fleet, engines[1:2], truncate_after=5, count=2)
    await set_faults(demo.fleet, engines[2:3], silent_after=5, truncate_after=-1, count=2)
    await set_faults(demo.fleet, plain_upstreams[:1], cross=1)
    await set_faults(demo.fleet, plain_upstreams[1:2], truncate=1)
    name = demo.callers.classes.lookup
    await asyncio.gather(*(demo.callers.send_work("lookup", name) for _ in range(30)))


async def repeat_once_calls(demo: Demo) -> None:
    """Send each key through two instances at once, then again through a third."""
    instances = demo.fleet.instances
    for name in demo.callers.classes.once:
        for index in range(6):
            key = demo.callers.new_id(name)
            first = [instances[(index + step) % len(instances)] for step in (0, 3)]
            calls = [_send_once(demo, name, key, instance) for instance in first]
            await asyncio.gather(*calls)
            await _send_once(demo, name, key, instances[(index + 1) % len(instances)])


async def _send_once(demo: Demo, name: str, key: str, instance: Process | None = None) -> Call:
    call = await demo.callers.send_work("once", name, key, instance, body=key.encode())
    demo.observed.once_calls_by_key.setdefault(f"{name}:{key}", []).append(call)
    return call


async def send_tags(demo: Demo) -> None:
    """Send tags; each acknowledged one must reach the service."""
    name = demo.callers.classes.tag
    for instance in demo.fleet.instances:
        key = demo.callers.new_id("tag")
        call = await demo.callers.send_work("tag", name, key, instance)
        demo.observed.tag_calls_by_key[f"{name}:{key}"] = call


async def send_late(demo: Demo) -> None:
    """Send calls that are answered late and fetch their replies from another instance."""
    instances = demo.fleet.instances
    late_s = 1.5  # The class waits 1 s for an answer before it replies with 202.
    await asyncio.sleep(1.5)
    await set_faults(demo.fleet, demo.fleet.plain_upstreams, late_s=late_s)
    name = demo.callers.classes.late
    calls = [demo.callers.send_work("late", name, instance=each) for each in instances[:3]]
    answers = await asyncio.gather(*calls)
    await set_faults(demo.fleet, demo.fleet.plain_upstreams, late_s=0.0)
    for index, call in enumerate(answers):
        complete = call.status == 200 and call.complete
        if call.status == 202:
            complete = await _fetch_late_reply(demo, call, instances[(index + 2) % len(instances)])
        demo.observed.late_replies.append((call.request_id, complete))


async def _fetch_late_reply(demo: Demo, call: Call, instance: Process) -> bool:
    for _ in range(100):
        status, body = await demo.callers.fetch_reply(call.location, instance)
        if status != 202:
            return status == 200 and call.request_id.encode() in body
        await asyncio.sleep(0.1)
    return False


async def change_configuration(demo: Demo) -> None:
    """Change a class with the tool and wait until the change is in force at all instances."""
    document = copy.deepcopy(demo.configuration)
    document["classes"][demo.callers.classes.lookup]["stale_for"] = "20m"
    path = Path(demo.fleet.folder) / "changed.yaml"
    path.write_text(yaml.safe_dump(document), encoding="utf-8")
    body = await run_tool(demo.fleet, "apply", str(path))
    # The time counts from the end of the tool, which is when the operator has the answer.
    demo.observed.in_force_s = await wait_until_in_force(demo.fleet, body["version"])
    demo.print_progress(
        f"version {body['version']} in force at all after {demo.observed.in_force_s:.2f} s"
    )


async def take_domain_out(demo: Demo) -> None:
    """Take a domain out, restart its engines cold and bring it back during a surge."""
    domain = demo.fleet.deployment.domains[1]
    demo.print_progress(f"domain {domain} goes out")
    began_s = time.monotonic()
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    url = f"{demo.fleet.instances[0].operator_url}/v1/domains/{domain}/out"
    async with demo.fleet.http.post(url, headers=headers) as answer:
        answer.raise_for_status()
    answered_s = time.monotonic()
    lookups = asyncio.create_task(_send_lookups(demo, DOMAIN_OUT_S))
    await asyncio.sleep(DOMAIN_OUT_S)
    await lookups
    upstreams = [
        each for each in demo.fleet.engines + demo.fleet.plain_upstreams if each.domain == domain
    ]
    demo.observed.domain_last_arrival_s = await find_last_arrival(demo.fleet, upstreams, answered_s)
    cold = [engine for engine in demo.fleet.engines if engine.domain == domain]
    for engine in cold:
        await restart_engine(demo, engine)
    demo.print_progress(
        f"domain {domain} comes back with cold engines; a team surges; an engine turns cold"
    )
    await run_tool(demo.fleet, "domain", "back", domain)
    demo.callers.surge_size = COLD_SURGE_CALLERS
    others = [engine for engine in demo.fleet.engines if engine.domain != domain]
    await asyncio.sleep(WARM_UP_S / 4)
    await restart_engine(demo, others[0])
    await asyncio.sleep(WARM_UP_S * 3 / 4)
    demo.callers.surge_size = 0
    demo.observed.domain_out_period = (began_s, time.monotonic())


async def _send_lookups(demo: Demo, period_s: float) -> None:
    ends_s = time.monotonic() + period_s
    while time.monotonic() < ends_s:
        await demo.callers.send_work("lookup", demo.callers.classes.lookup)
        await asyncio.sleep(0.05)


async def restart_engine(demo: Demo, engine: Process) -> None:
    """Restart an engine cold, without notice."""
    async with demo.fleet.http.post(f"{engine.url}/restart") as answer:
        answer.raise_for_status()


async def find_last_arrival(fleet: Fleet, upstreams: list[Process], since_s: float) -> float:
    """Return the seconds from `since_s` to the last new request at the upstreams, at least 0."""
    last_s = 0.0
    for upstream in upstreams:
        for arrival in await read_arrivals(fleet, upstream):
            last_s = max(last_s, arrival.at_s - since_s)
    return last_s


async def move_to_good_version(demo: Demo) -> None:
    """Move the engines to a version without faults."""
    demo.print_progress(f"version {GOOD_VERSION} starts, deadline {GOOD_DEADLINE_S:g} s")
    service = demo.fleet.deployment.engine_service
    deadline = f"{GOOD_DEADLINE_S:g}s"
    began_s = time.monotonic()
    move = await run_tool(
        demo.fleet, "version", "start", service, GOOD_VERSION, "--deadline", deadline
    )
    demo.observed.good_move = await wait_for_move(demo.fleet, move["id"], GOOD_DEADLINE_S + 5.0)
    demo.observed.good_move_s = time.monotonic() - began_s
    demo.print_progress(
        f"version {GOOD_VERSION}: {demo.observed.good_move['state']} "
        f"{demo.observed.good_move['reason']}"
    )


async def move_to_bad_version(demo: Demo) -> None:
    """Start a version that fails from the moment the platform goes down."""
    demo.print_progress(f"version {BAD_VERSION} starts; it fails during a platform outage")
    service = demo.fleet.deployment.engine_service
    began_s = time.monotonic()
    move = await run_tool(
        demo.fleet, "version", "start", service, BAD_VERSION, "--deadline", f"{BAD_DEADLINE_S:g}s"
    )
    canary = await _wait_for_canary(demo)
    demo.observed.bad_version_ran = canary is not None
    bad_s = time.monotonic()
    bad = {BAD_VERSION: {"mode": "fail"}}
    await set_faults(demo.fleet, demo.fleet.engines, bad_versions=bad)
    await take_platform_down(demo)
    demo.observed.bad_move = await wait_for_move(demo.fleet, move["id"], MOVE_WAIT_S)
    demo.print_progress(
        f"version {BAD_VERSION}: {demo.observed.bad_move['state']}: "
        f"{demo.observed.bad_move['reason']}"
    )
    await _measure_bad_version(demo, began_s, bad_s)


async def _wait_for_canary(demo: Demo) -> Process | None:
    ends_s = time.monotonic() + CANARY_WAIT_S
    while time.monotonic() < ends_s:
        for engine in demo.fleet.engines:
            stats = await read_json(demo.fleet, f"{engine.url}/stats")
            if stats["version"] == BAD_VERSION:
                return engine
        await asyncio.sleep(0.1)
    return None


async def _measure_bad_version(demo: Demo, began_s: float, bad_s: float) -> None:
    arrivals: list[Arrival] = []
    for engine in demo.fleet.engines:
        arrivals.extend(await read_arrivals(demo.fleet, engine))
    during = [item for item in arrivals if item.at_s >= began_s and item.accepted]
    callers = [item for item in during if not item.is_copy]
    bad = [item for item in callers if item.version == BAD_VERSION]
    demo.observed.chats_during_bad_move, demo.observed.bad_version_chats = len(callers), len(bad)
    demo.observed.bad_version_share = len(bad) / max(1, len(callers))
    at_bad = [item.at_s for item in during if item.version == BAD_VERSION and item.at_s >= bad_s]
    if at_bad:
        demo.observed.bad_version_last_arrival_s = max(at_bad) - min(at_bad)


async def take_platform_down(demo: Demo) -> None:
    """Take table, object store, list and weight store down for a while, and keep calling."""
    fleet = demo.fleet
    platform = [fleet.table, fleet.objects, fleet.listing, fleet.weights]
    await set_faults(fleet, platform, down=True)
    demo.print_progress("the platform is down")
    began_s = time.monotonic()
    name = demo.callers.classes.once[0]
    keys = [demo.callers.new_id("outage") for _ in range(6)]
    calls = [
        _send_once(demo, name, key, each) for key, each in zip(keys, fleet.instances, strict=True)
    ]
    lookups = asyncio.create_task(_send_lookups(demo, OUTAGE_S))
    demo.observed.outage_once_calls = list(await asyncio.gather(*calls))
    await send_tags(demo)
    await lookups
    await asyncio.sleep(max(0.0, began_s + OUTAGE_S - time.monotonic()))
    demo.observed.outage_period = (began_s, time.monotonic())
    await set_faults(fleet, platform, down=False)
    demo.print_progress("the platform is back")
    again = [_send_once(demo, name, key) for key in keys]
    await asyncio.gather(*again)


async def remove_processes(demo: Demo) -> None:
    """Let a plain worker and an engine leave and shut an instance down, under load."""
    fleet = demo.fleet
    upstreams = [fleet.plain_upstreams[-1], fleet.engines[-1]]
    demo.print_progress(
        f"{upstreams[0].name} and {upstreams[1].name} leave; {fleet.instances[-1].name} stops"
    )
    changes = [{"name": each.name, "state": "leaving"} for each in upstreams]
    async with fleet.http.post(f"{fleet.listing.url}/entries", json=changes) as answer:
        answer.raise_for_status()
    since_s = time.monotonic()
    stopped = fleet.instances[-1]
    stopped.send_signal(signal.SIGTERM)
    lookups = asyncio.create_task(_send_lookups(demo, LEAVING_S))
    await asyncio.sleep(LEAVING_S)
    await lookups
    demo.observed.stopped_instance = (stopped.name, await stopped.wait())
    demo.observed.leaving_names = tuple(each.name for each in upstreams)
    demo.observed.leaving_last_arrival_s = await find_last_arrival(fleet, upstreams, since_s)


async def read_runs(fleet: Fleet) -> Counter[str]:
    """Return how often each key ran at the plain service, by `class:key`."""
    runs: Counter[str] = Counter()
    for key, count in (await read_json(fleet, f"{fleet.plain_upstreams[0].url}/runs")).items():
        runs[key.partition(":")[2] or key] += count
    return runs


async def read_cold_peaks(fleet: Fleet) -> dict[str, float]:
    """Return each engine's highest ratio of work to capacity while it was cold."""
    return {name: stats["cold_peak"] for name, stats in (await read_stats(fleet)).items()}
