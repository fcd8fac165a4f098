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
# A change that takes longer counts as this long.
LIMIT_S = 15.0
ROUNDS = 2
POLL_INTERVAL_S = 0.05
# TCP hides lost packets, so each chunk breaks its connection with this probability.
LOSS = Rules(break_share=0.2, jitter_s=0.02)


def measure(seed: int) -> list[Result]:
    """Return the slowest instance's time under message loss, with and without the platform."""
    return asyncio.run(_measure(seed))


async def _measure(seed: int) -> list[Result]:
    lossy_s, cut_off_s = [], []
    async with run_faulty_fleet(DEPLOYMENT, seed) as fleet:
        for change_number in range(ROUNDS):
            await fleet.set_rules(LOSS, "peer.")
            await fleet.set_rules(LOSS, "platform.")
            lossy_s.append(await _time_change(fleet, 2 * change_number, False))
            await fleet.set_rules(Rules(), "platform.")
            cut_off_s.append(await _time_change(fleet, 2 * change_number + 1, True))
            await fleet.clear()
            await fleet.wait_until_converged()
    cases = (("message loss", lossy_s), ("message loss, platform cut", cut_off_s))
    return [
        Result("configuration in force", case, "owner", max(times_s), "s", TARGET_S, seed)
        for case, times_s in cases
    ]


async def _time_change(fleet: FaultyFleet, change_number: int, cut_off: bool) -> float:
    """Return the seconds from acceptance until the change is in force at every instance."""
    loop = asyncio.get_running_loop()
    document = load_example(DEPLOYMENT.name)
    document["classes"]["weight-check"]["stale_for"] = f"{change_number + 1}m"
    accepting = fleet.fleet.instances[change_number % len(fleet.fleet.instances)]
    deadline_s = loop.time() + LIMIT_S
    while True:
        reply = await fleet.call_operators(accepting, "PUT", "/v1/configuration", document)
        if reply.status == 200 or loop.time() > deadline_s:
            break
    if reply.status != 200:
        return LIMIT_S
    accepted_s = loop.time()
    if cut_off:
        await fleet.partition_platform()
    while loop.time() - accepted_s < LIMIT_S:
        versions = await fleet.read_versions()
        all_answered = len(versions) == len(fleet.fleet.instances)
        if all_answered and min(versions.values()) >= reply.body["version"]:
            break
        await asyncio.sleep(POLL_INTERVAL_S)
    return loop.time() - accepted_s
