"""Commits at the table service per group of puts, by load and number of instances.

Assumes 7,100 requests/s over 14 domains: 6% once-only, 2% tags, 2% late replies. Each of these
takes two groups of puts (a claim and its answer, or a row and its removal), and each instance
renews its outbox lease. One domain runs in virtual time; the fleet's rate is 14 times its rate.
"""

from __future__ import annotations

import asyncio
import random

from bench.memory import MemoryTable, VirtualLoop
from bench.result import Result
from jayyoke.core.member import Member
from jayyoke.ops.batch import BatchWriter
from jayyoke.ops.outbox import RENEW_INTERVAL_S
from jayyoke.platform.table import Put
from jayyoke.wire.local import LocalHub

DOMAINS = 14
REQUESTS_PER_S = 7100.0
GROUPS_PER_REQUEST = 2
TABLE_COMMITS_PER_S = 400.0  # Several hundred are allowed; the stand-in refuses more.
DURATION_S = 20.0
CASES = ((0.1, 2), (0.1, 6), (0.1, 30), (0.3, 30), (0.01, 30))


async def run_domain(
    rng: random.Random, instances: int, groups_per_s: float
) -> tuple[int, int, float]:
    """Return the committed groups, the commits that they took and the seconds."""
    hub = LocalHub()
    table = MemoryTable(rng)
    peers = [hub.join(Member(f"i{index}", "d", 1, "")) for index in range(instances)]
    writers = [BatchWriter(table, peer) for peer in peers]
    tasks = []
    loop = asyncio.get_running_loop()
    end_s = loop.time() + DURATION_S
    while loop.time() < end_s:
        puts = [Put(f"k{len(tasks)}", b"value", 0)]
        tasks.append(asyncio.ensure_future(rng.choice(writers).commit(puts)))
        await asyncio.sleep(rng.expovariate(groups_per_s))
    await asyncio.gather(*tasks)
    return len(tasks), table.commits, DURATION_S


def measure(seed: int) -> list[Result]:
    """Return the commits per group and the fleet's commit rate of each case."""
    results = []
    for share, instances in CASES:
        requests_per_s = REQUESTS_PER_S * share / DOMAINS
        groups_per_s = requests_per_s * GROUPS_PER_REQUEST + instances / RENEW_INTERVAL_S
        loop = VirtualLoop()
        try:
            work = run_domain(random.Random(seed), instances, groups_per_s)
            groups, commits, _ = loop.run_until_complete(work)
        finally:
            loop.close()
        case = f"{share:.0%} recorded, {instances} instances"
        batched_rate = commits / DURATION_S * DOMAINS
        results.append(
            Result("commits per group", case, "batch", commits / groups, "ratio", None, seed)
        )
        results.append(
            Result(
                "commits of the fleet",
                case,
                "batch",
                batched_rate,
                "1/s",
                TABLE_COMMITS_PER_S,
                seed,
            )
        )
        unbatched_rate = groups / DURATION_S * DOMAINS
        results.append(
            Result("commits of the fleet", case, "direct", unbatched_rate, "1/s", None, seed)
        )
    return results
