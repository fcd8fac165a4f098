"""Prints how long real processes take to recover; run by hand for docs/partitions.md."""

from __future__ import annotations

import argparse
import asyncio
from dataclasses import replace

from standin.deployment import DEPLOYMENTS
from standin.faultyfleet import FaultyFleet, run_faulty_fleet, wait_until
from standin.proxy import Rules

DEPLOYMENT = replace(DEPLOYMENTS["ballenticket"], engine_count=3, instances_per_domain=1)
SILENT = Rules(silence_old_only=True)
TOKENS = 150
MAX_CHAT_S = 1.0


async def time_stream(fleet: FaultyFleet) -> float:
    """Return the seconds that a silent engine connection adds to a chat."""
    instance = fleet.fleet.instances[0]
    undisturbed = await fleet.send_chat(instance, "whole", TOKENS)
    call = asyncio.create_task(fleet.send_chat(instance, "silent", TOKENS))
    await asyncio.sleep(0.5)
    await fleet.set_rules(SILENT, "engine.")
    return (await call).took_s - undisturbed.took_s


async def time_table(fleet: FaultyFleet) -> float:
    """Return the seconds until once-only work is answered after the table went silent."""
    await fleet.set_rules(SILENT, "platform.table")
    return await _wait_for_once_only_work(fleet, "table")


async def time_links(fleet: FaultyFleet) -> float:
    """Return the seconds until all instances are connected after all links went silent."""
    await fleet.set_rules(SILENT, "peer.")
    return await fleet.wait_until_converged()


async def time_isolation(fleet: FaultyFleet) -> float:
    """Return the seconds until an instance cut off from all others answers chats quickly."""
    first, *others = DEPLOYMENT.domains
    await fleet.partition_domain(first, others)
    await fleet.partition_platform(fleet.find_source_prefix(first))
    round_number = 0

    async def is_quick() -> bool:
        nonlocal round_number
        round_number += 1
        chats = (
            fleet.send_chat(fleet.fleet.instances[0], f"cut-{round_number}-{n}") for n in range(3)
        )
        replies = await asyncio.gather(*chats)
        return all(reply.status == 200 and reply.took_s < MAX_CHAT_S for reply in replies)

    return await wait_until(is_quick)


async def time_rejoining(fleet: FaultyFleet) -> float:
    """Return the seconds from the end of a domain's isolation until the fleet has converged."""
    first, *others = DEPLOYMENT.domains
    await fleet.partition_domain(first, others)
    await fleet.partition_platform(fleet.find_source_prefix(first))
    await asyncio.sleep(8.0)
    await fleet.clear()
    return await fleet.wait_until_converged()


async def time_start(fleet: FaultyFleet) -> float:
    """Return the seconds from a start during an outage until the instance is ready."""
    await fleet.partition_platform()
    instance = fleet.fleet.instances[1]
    await fleet.restart(instance)

    async def is_ready() -> bool:
        return (await fleet.read_versions()).get(instance.name, -1) > 0

    return await wait_until(is_ready)


async def _wait_for_once_only_work(fleet: FaultyFleet, key: str) -> float:
    async def is_answered() -> bool:
        return (await fleet.send_work(fleet.fleet.instances[0], "once", key, key)).status == 200

    return await wait_until(is_answered)


async def _run(seed: int) -> None:
    steps = (time_stream, time_table, time_links, time_isolation, time_rejoining, time_start)
    async with run_faulty_fleet(DEPLOYMENT, seed) as fleet:
        for step in steps:
            print(f"{step.__name__:16} {await step(fleet):6.2f} s", flush=True)
            await fleet.clear()
            await fleet.wait_until_converged()


def main() -> None:
    """Print the seconds of each kind of recovery."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, default=1)
    asyncio.run(_run(parser.parse_args().seed))


if __name__ == "__main__":
    main()
