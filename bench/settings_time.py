"""Seconds until an accepted configuration is in force at the slowest of real instances."""

from __future__ import annotations

import asyncio

from bench.result import Result
from standin.deployment import DEPLOYMENTS
from standin.faultyfleet import FaultyFleet, run_faulty_fleet
from standin.fleet import load_example
from standin.proxy import Rules

DEPLOYMENT = DEPLOYMENTS["ballenticket"]
TARGET_S = 9.0
# A change that takes longer than this counts with this time.
LIMIT_S = 15.0
ROUNDS = 2
POLL_S = 0.05
# Each chunk breaks its connection with this probability; TCP hides a lost packet otherwise.
LOSS = Rules(break_share=0.2, jitter_s=0.02)


def measure(seed: int) -> list[Result]:
    """Return the slowest instance's time, under message loss and with the platform cut."""
    return asyncio.run(_measure(seed))


async def _measure(seed: int) -> list[Result]:
    lossy, cut = [], []
    async with run_faulty_fleet(DEPLOYMENT, seed) as fleet:
        for number in range(ROUNDS):
            await fleet.set_rules(LOSS, "peer.")
            await fleet.set_rules(LOSS, "platform.")
            lossy.append(await _time_change(fleet, 2 * number, False))
            await fleet.set_rules(Rules(), "platform.")
            cut.append(await _time_change(fleet, 2 * number + 1, True))
            await fleet.clear()
            await fleet.wait_whole()
    cases = (("message loss", lossy), ("message loss, platform cut", cut))
    return [
        Result("configuration in force", case, "owner", max(times), "s", TARGET_S, seed)
        for case, times in cases
    ]


async def _time_change(fleet: FaultyFleet, number: int, cut: bool) -> float:
    """Return the seconds from the accept until every instance has the change."""
    loop = asyncio.get_running_loop()
    document = load_example(DEPLOYMENT.name)
    document["classes"]["weight-check"]["stale_for"] = f"{number + 1}m"
    accepting = fleet.fleet.instances[number % len(fleet.fleet.instances)]
    deadline_s = loop.time() + LIMIT_S
    while True:
        reply = await fleet.operate(accepting, "PUT", "/v1/configuration", document)
        if reply.status == 200 or loop.time() > deadline_s:
            break
    if reply.status != 200:
        return LIMIT_S
    accepted_s = loop.time()
    if cut:
        await fleet.cut_platform()
    while loop.time() - accepted_s < LIMIT_S:
        versions = await fleet.versions()
        whole = len(versions) == len(fleet.fleet.instances)
        if whole and min(versions.values()) >= reply.body["version"]:
            break
        await asyncio.sleep(POLL_S)
    return loop.time() - accepted_s
