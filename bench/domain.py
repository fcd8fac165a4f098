"""Takes a failure domain out and brings it back under load.

Measures the time to its last new request and the share of calls answered in target, with real
processes; one instance of another domain reaches its peers but not the platform.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass

from bench.result import Result
from standin.deployment import DEPLOYMENTS
from standin.faultyfleet import FaultyFleet, run_faulty_fleet

DEPLOYMENT = DEPLOYMENTS["ballenticket"]
OUT_DOMAIN = DEPLOYMENT.domains[2]
BEFORE_S = 2.0
OUT_S = 5.0
BACK_S = 5.0
CALL_INTERVAL_S = 0.01
TOKENS = 8
# The class asks for the first token within 1 s and 36 ms between tokens.
CHAT_TARGET_S = 1.0 + TOKENS * 0.036
LOOKUP_TARGET_S = 1.0
LAST_REQUEST_TARGET_S = 3.0
ANSWERED_TARGET = 0.999


@dataclass(slots=True)
class _CallCounts:
    callers: int = 0
    in_target: int = 0


def measure(seed: int) -> list[Result]:
    """Return the seconds until the domain's last new request and the share answered in target."""
    return asyncio.run(_measure(seed))


async def _measure(seed: int) -> list[Result]:
    loop = asyncio.get_running_loop()
    counts = _CallCounts()
    async with run_faulty_fleet(DEPLOYMENT, seed) as fleet:
        cut_off, operator = fleet.fleet.instances[0], fleet.fleet.instances[2]
        await fleet.partition_platform(fleet.find_source(cut_off))
        calls: set[asyncio.Task[None]] = set()
        load = asyncio.create_task(_send_load(fleet, counts, calls))
        await asyncio.sleep(BEFORE_S)
        for upstreams in (fleet.fleet.engines, fleet.fleet.plain_upstreams):
            if not await fleet.count_received(OUT_DOMAIN, upstreams):
                raise RuntimeError(f"{OUT_DOMAIN} received nothing before it was taken out")
        out_s = loop.time()
        await fleet.call_operators(operator, "POST", f"/v1/domains/{OUT_DOMAIN}/out")
        await asyncio.sleep(OUT_S)
        last_request_s = await fleet.find_last_received(OUT_DOMAIN)
        await fleet.call_operators(operator, "POST", f"/v1/domains/{OUT_DOMAIN}/back")
        await asyncio.sleep(BACK_S)
        load.cancel()
        await asyncio.gather(*calls)
    share = counts.in_target / counts.callers
    case = f"{counts.callers} callers"
    return [
        Result(
            "domain out: last request",
            "one instance reaches peers only",
            "owner",
            max(0.0, last_request_s - out_s),
            "s",
            LAST_REQUEST_TARGET_S,
            seed,
        ),
        Result(
            "domain out: answered in target",
            case,
            "owner",
            share,
            "share",
            ANSWERED_TARGET,
            seed,
            at_most=False,
        ),
    ]


async def _send_load(
    fleet: FaultyFleet, counts: _CallCounts, calls: set[asyncio.Task[None]]
) -> None:
    number = 0
    while True:
        call = asyncio.create_task(_call(fleet, counts, number))
        calls.add(call)
        call.add_done_callback(calls.discard)
        number += 1
        await asyncio.sleep(CALL_INTERVAL_S)


async def _call(fleet: FaultyFleet, counts: _CallCounts, number: int) -> None:
    instances = fleet.fleet.instances
    instance = instances[number // 2 % len(instances)]
    if number % 2:
        reply = await fleet.send_work(instance, "lookup", f"bench-{number}")
        target_s = LOOKUP_TARGET_S
    else:
        reply = await fleet.send_chat(instance, f"bench-{number % 100}", TOKENS)
        target_s = CHAT_TARGET_S
    counts.callers += 1
    counts.in_target += reply.status == 200 and reply.took_s <= target_s
