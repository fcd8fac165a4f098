"""A failure domain taken out and brought back under load: last new request, answers in target.

Real processes; one instance of another domain reaches its peers but not the platform.
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
INTERVAL_S = 0.01
TOKENS = 8
# The class asks for the first token within 1 s and 36 ms between tokens.
CHAT_TARGET_S = 1.0 + TOKENS * 0.036
LOOKUP_TARGET_S = 1.0
LAST_REQUEST_TARGET_S = 3.0
ANSWERED_TARGET = 0.999


@dataclass(slots=True)
class _Seen:
    callers: int = 0
    in_target: int = 0


def measure(seed: int) -> list[Result]:
    """Return the seconds to the last new request and the share answered in target."""
    return asyncio.run(_measure(seed))


async def _measure(seed: int) -> list[Result]:
    loop = asyncio.get_running_loop()
    seen = _Seen()
    async with run_faulty_fleet(DEPLOYMENT, seed) as fleet:
        first, operator = fleet.fleet.instances[0], fleet.fleet.instances[2]
        await fleet.cut_platform(fleet.host(first))
        calls: set[asyncio.Task[None]] = set()
        load = asyncio.create_task(_load(fleet, seen, calls))
        await asyncio.sleep(BEFORE_S)
        for upstreams in (fleet.fleet.engines, fleet.fleet.plains):
            if not await fleet.count_received(OUT_DOMAIN, upstreams):
                raise RuntimeError(f"{OUT_DOMAIN} received nothing before it was taken out")
        out_s = loop.time()
        await fleet.operate(operator, "POST", f"/v1/domains/{OUT_DOMAIN}/out")
        await asyncio.sleep(OUT_S)
        last_s = await fleet.find_last_received(OUT_DOMAIN)
        await fleet.operate(operator, "POST", f"/v1/domains/{OUT_DOMAIN}/back")
        await asyncio.sleep(BACK_S)
        load.cancel()
        await asyncio.gather(*calls)
    share = seen.in_target / seen.callers
    case = f"{seen.callers} callers"
    return [
        Result(
            "domain out: last request",
            "one instance reaches peers only",
            "owner",
            max(0.0, last_s - out_s),
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


async def _load(fleet: FaultyFleet, seen: _Seen, calls: set[asyncio.Task[None]]) -> None:
    number = 0
    while True:
        call = asyncio.create_task(_call(fleet, seen, number))
        calls.add(call)
        call.add_done_callback(calls.discard)
        number += 1
        await asyncio.sleep(INTERVAL_S)


async def _call(fleet: FaultyFleet, seen: _Seen, number: int) -> None:
    instances = fleet.fleet.instances
    instance = instances[number // 2 % len(instances)]
    if number % 2:
        reply = await fleet.work(instance, "lookup", f"bench-{number}")
        target_s = LOOKUP_TARGET_S
    else:
        reply = await fleet.chat(instance, f"bench-{number % 100}", TOKENS)
        target_s = CHAT_TARGET_S
    seen.callers += 1
    seen.in_target += reply.status == 200 and reply.seconds <= target_s
