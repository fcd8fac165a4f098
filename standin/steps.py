"""Steps of the demo: what happens to a deployment while its callers keep calling."""

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
    wait_in_force,
)
from standin.operate import run_tool, wait_for_move

STEADY_S = 5.0
SURGE = 40
# Cold engines hold a third of the fleet's work at most; more callers would be refused.
COLD_SURGE = 20
OUTAGE_S = 3.0
OUT_S = 3.5
WARM_UP_S = 4.0
LEAVING_S = 3.5
GOOD_DEADLINE_S = 16.0
BAD_DEADLINE_S = 60.0
# Long enough for a canary engine to load, and well before callers may get the bad version.
CANARY_WAIT_S = 8.0
MOVE_WAIT_S = 15.0
GOOD_VERSION = "v2"
BAD_VERSION = "v3"


@dataclass(slots=True)
class Seen:
    """Holds what the steps saw; times are in seconds."""

    skew: Skew | None = None
    steady: tuple[float, float] = (0.0, 0.0)
    in_force_s: float = 0.0
    reverts: list[str] = field(default_factory=list)
    out_last_s: float = 0.0
    out_period: tuple[float, float] = (0.0, 0.0)
    leaving_last_s: float = 0.0
    leaving_names: tuple[str, ...] = ()
    good: dict[str, Any] = field(default_factory=dict)
    good_s: float = 0.0
    bad: dict[str, Any] = field(default_factory=dict)
    bad_share: float = 0.0
    bad_callers: int = 0
    bad_chats: int = 0
    bad_last_s: float = 0.0
    bad_seen: bool = False
    outage: tuple[float, float] = (0.0, 0.0)
    outage_once: list[Call] = field(default_factory=list)
    once_keys: dict[str, list[Call]] = field(default_factory=dict)
    tag_keys: dict[str, Call] = field(default_factory=dict)
    late: list[tuple[str, bool]] = field(default_factory=list)
    stopped: tuple[str, int | None] = ("", None)


@dataclass(slots=True)
class Demo:
    """Holds a running demo."""

    fleet: Fleet
    configuration: dict[str, Any]
    callers: Callers
    seen: Seen
    say: Callable[[str], None]
    samples: list[tuple[float, list[int]]] = field(default_factory=list)


async def run_steady(demo: Demo) -> None:
    """Let a team surge while broken answers, plain calls and a change of the targets happen."""
    demo.say("a team surges; engines cross, cut and silence some answers; plain calls of each kind")
    demo.callers.surging = SURGE
    samples: list[tuple[float, list[int]]] = []
    began_s = time.monotonic()
    sampler = asyncio.create_task(sample_loads(demo.fleet, samples))
    parts = [break_answers(demo), repeat_keys(demo), send_tags(demo), send_late(demo), change(demo)]
    await asyncio.gather(asyncio.sleep(STEADY_S), *parts)
    sampler.cancel()
    demo.seen.steady = (began_s, time.monotonic())
    demo.callers.surging = 0
    multiple = demo.configuration["services"][demo.fleet.deployment.engine_service].get(
        "load_bound", 1.25
    )
    demo.seen.skew = compute_skew(samples, multiple)


async def break_answers(demo: Demo) -> None:
    """Let engines and plain workers send crossed, truncated and silent answers."""
    engines, plains = demo.fleet.engines, demo.fleet.plains
    await set_faults(demo.fleet, engines[:1], wrong_id=2)
    await set_faults(demo.fleet, engines[1:2], truncate_after=5, count=2)
    await set_faults(demo.fleet, engines[2:3], silent_after=5, truncate_after=-1, count=2)
    await set_faults(demo.fleet, plains[:1], cross=1)
    await set_faults(demo.fleet, plains[1:2], truncate=1)
    name = demo.callers.classes.lookup
    await asyncio.gather(*(demo.callers.send_work("lookup", name) for _ in range(30)))


async def repeat_keys(demo: Demo) -> None:
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
    demo.seen.once_keys.setdefault(f"{name}:{key}", []).append(call)
    return call


async def send_tags(demo: Demo) -> None:
    """Send tags; each acknowledged one must reach the service."""
    name = demo.callers.classes.tag
    for instance in demo.fleet.instances:
        key = demo.callers.new_id("tag")
        call = await demo.callers.send_work("tag", name, key, instance)
        demo.seen.tag_keys[f"{name}:{key}"] = call


async def send_late(demo: Demo) -> None:
    """Send calls whose answers come late and fetch them from another instance."""
    instances = demo.fleet.instances
    late_s = 1.5  # The class waits 1 s.
    await asyncio.sleep(1.5)
    await set_faults(demo.fleet, demo.fleet.plains, late_s=late_s)
    name = demo.callers.classes.late
    calls = [demo.callers.send_work("late", name, instance=each) for each in instances[:3]]
    answers = await asyncio.gather(*calls)
    await set_faults(demo.fleet, demo.fleet.plains, late_s=0.0)
    for index, call in enumerate(answers):
        whole = call.status == 200 and call.whole
        if call.status == 202:
            whole = await _fetch(demo, call, instances[(index + 2) % len(instances)])
        demo.seen.late.append((call.request_id, whole))


async def _fetch(demo: Demo, call: Call, instance: Process) -> bool:
    for _ in range(100):
        status, body = await demo.callers.fetch(call.location, instance)
        if status != 202:
            return status == 200 and call.request_id.encode() in body
        await asyncio.sleep(0.1)
    return False


async def change(demo: Demo) -> None:
    """Change a target with the tool and wait until all instances have it in force."""
    document = copy.deepcopy(demo.configuration)
    document["classes"][demo.callers.classes.lookup]["stale_for"] = "20m"
    path = Path(demo.fleet.folder) / "changed.yaml"
    path.write_text(yaml.safe_dump(document), encoding="utf-8")
    body = await run_tool(demo.fleet, "apply", str(path))
    # The answer comes from the tool, so the time counts from when the tool has ended.
    demo.seen.in_force_s = await wait_in_force(demo.fleet, body["version"])
    demo.say(f"version {body['version']} in force at all after {demo.seen.in_force_s:.2f} s")


async def take_domain_out(demo: Demo) -> None:
    """Take a domain out, turn its engines cold, bring it back under a surge."""
    domain = demo.fleet.deployment.domains[1]
    demo.say(f"domain {domain} goes out")
    began_s = time.monotonic()
    headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
    url = f"{demo.fleet.instances[0].operator_url}/v1/domains/{domain}/out"
    async with demo.fleet.http.post(url, headers=headers) as answer:
        answer.raise_for_status()
    answered_s = time.monotonic()
    lookups = asyncio.create_task(_look_up(demo, OUT_S))
    await asyncio.sleep(OUT_S)
    await lookups
    upstreams = [each for each in demo.fleet.engines + demo.fleet.plains if each.domain == domain]
    demo.seen.out_last_s = await find_last_arrival(demo.fleet, upstreams, answered_s)
    cold = [engine for engine in demo.fleet.engines if engine.domain == domain]
    for engine in cold:
        await restart(demo, engine)
    demo.say(f"domain {domain} comes back with cold engines; a team surges; an engine turns cold")
    await run_tool(demo.fleet, "domain", "back", domain)
    demo.callers.surging = COLD_SURGE
    others = [engine for engine in demo.fleet.engines if engine.domain != domain]
    await asyncio.sleep(WARM_UP_S / 4)
    await restart(demo, others[0])
    await asyncio.sleep(WARM_UP_S * 3 / 4)
    demo.callers.surging = 0
    demo.seen.out_period = (began_s, time.monotonic())


async def _look_up(demo: Demo, period_s: float) -> None:
    ends_s = time.monotonic() + period_s
    while time.monotonic() < ends_s:
        await demo.callers.send_work("lookup", demo.callers.classes.lookup)
        await asyncio.sleep(0.05)


async def restart(demo: Demo, engine: Process) -> None:
    """Turn an engine cold without notice."""
    async with demo.fleet.http.post(f"{engine.url}/restart") as answer:
        answer.raise_for_status()


async def find_last_arrival(fleet: Fleet, upstreams: list[Process], since_s: float) -> float:
    """Return the seconds from a moment to the last new request at some upstreams."""
    last_s = 0.0
    for upstream in upstreams:
        for arrival in await read_arrivals(fleet, upstream):
            last_s = max(last_s, arrival.at_s - since_s)
    return last_s


async def move_to_good(demo: Demo) -> None:
    """Move the engines to a version without faults."""
    demo.say(f"version {GOOD_VERSION} starts, deadline {GOOD_DEADLINE_S:g} s")
    service = demo.fleet.deployment.engine_service
    deadline = f"{GOOD_DEADLINE_S:g}s"
    began_s = time.monotonic()
    move = await run_tool(
        demo.fleet, "version", "start", service, GOOD_VERSION, "--deadline", deadline
    )
    demo.seen.good = await wait_for_move(demo.fleet, move["id"], GOOD_DEADLINE_S + 5.0)
    demo.seen.good_s = time.monotonic() - began_s
    demo.say(f"version {GOOD_VERSION}: {demo.seen.good['state']} {demo.seen.good['reason']}")


async def move_to_bad(demo: Demo) -> None:
    """Start a version that turns bad while the platform is down."""
    demo.say(f"version {BAD_VERSION} starts; it turns bad during a platform outage")
    service = demo.fleet.deployment.engine_service
    began_s = time.monotonic()
    move = await run_tool(
        demo.fleet, "version", "start", service, BAD_VERSION, "--deadline", f"{BAD_DEADLINE_S:g}s"
    )
    canary = await _wait_for_canary(demo)
    demo.seen.bad_seen = canary is not None
    bad_s = time.monotonic()
    bad = {BAD_VERSION: {"mode": "fail"}}
    await set_faults(demo.fleet, demo.fleet.engines, bad_versions=bad)
    await fail_platform(demo)
    demo.seen.bad = await wait_for_move(demo.fleet, move["id"], MOVE_WAIT_S)
    demo.say(f"version {BAD_VERSION}: {demo.seen.bad['state']}: {demo.seen.bad['reason']}")
    await _measure_bad(demo, began_s, bad_s)


async def _wait_for_canary(demo: Demo) -> Process | None:
    ends_s = time.monotonic() + CANARY_WAIT_S
    while time.monotonic() < ends_s:
        for engine in demo.fleet.engines:
            stats = await read_json(demo.fleet, f"{engine.url}/stats")
            if stats["version"] == BAD_VERSION:
                return engine
        await asyncio.sleep(0.1)
    return None


async def _measure_bad(demo: Demo, began_s: float, bad_s: float) -> None:
    arrivals: list[Arrival] = []
    for engine in demo.fleet.engines:
        arrivals.extend(await read_arrivals(demo.fleet, engine))
    during = [item for item in arrivals if item.at_s >= began_s and item.accepted]
    callers = [item for item in during if not item.copied]
    bad = [item for item in callers if item.version == BAD_VERSION]
    demo.seen.bad_chats, demo.seen.bad_callers = len(callers), len(bad)
    demo.seen.bad_share = len(bad) / max(1, len(callers))
    at_bad = [item.at_s for item in during if item.version == BAD_VERSION and item.at_s >= bad_s]
    if at_bad:
        demo.seen.bad_last_s = max(at_bad) - min(at_bad)


async def fail_platform(demo: Demo) -> None:
    """Stop table, object store, list and weight store for a while, and call on."""
    fleet = demo.fleet
    platform = [fleet.table, fleet.objects, fleet.listing, fleet.weights]
    await set_faults(fleet, platform, down=True)
    demo.say("the platform is down")
    began_s = time.monotonic()
    name = demo.callers.classes.once[0]
    keys = [demo.callers.new_id("outage") for _ in range(6)]
    calls = [
        _send_once(demo, name, key, each) for key, each in zip(keys, fleet.instances, strict=True)
    ]
    lookups = asyncio.create_task(_look_up(demo, OUTAGE_S))
    demo.seen.outage_once = list(await asyncio.gather(*calls))
    await send_tags(demo)
    await lookups
    await asyncio.sleep(max(0.0, began_s + OUTAGE_S - time.monotonic()))
    demo.seen.outage = (began_s, time.monotonic())
    await set_faults(fleet, platform, down=False)
    demo.say("the platform is back")
    again = [_send_once(demo, name, key) for key in keys]
    await asyncio.gather(*again)


async def replace_parts(demo: Demo) -> None:
    """Let a plain worker and an engine leave and shut an instance down, all under load."""
    fleet = demo.fleet
    upstreams = [fleet.plains[-1], fleet.engines[-1]]
    demo.say(f"{upstreams[0].name} and {upstreams[1].name} leave; {fleet.instances[-1].name} stops")
    changes = [{"name": each.name, "state": "leaving"} for each in upstreams]
    async with fleet.http.post(f"{fleet.listing.url}/entries", json=changes) as answer:
        answer.raise_for_status()
    since_s = time.monotonic()
    stopped = fleet.instances[-1]
    stopped.send(signal.SIGTERM)
    lookups = asyncio.create_task(_look_up(demo, LEAVING_S))
    await asyncio.sleep(LEAVING_S)
    await lookups
    demo.seen.stopped = (stopped.name, await stopped.wait())
    demo.seen.leaving_names = tuple(each.name for each in upstreams)
    demo.seen.leaving_last_s = await find_last_arrival(fleet, upstreams, since_s)


async def read_runs(fleet: Fleet) -> Counter[str]:
    """Return how often each key ran at the plain service, by `class:key`."""
    runs: Counter[str] = Counter()
    for key, count in (await read_json(fleet, f"{fleet.plains[0].url}/runs")).items():
        runs[key.partition(":")[2] or key] += count
    return runs


async def read_cold_peaks(fleet: Fleet) -> dict[str, float]:
    """Return the most work of each engine while it was cold, over what it could bear."""
    return {name: stats["cold_peak"] for name, stats in (await read_stats(fleet)).items()}
