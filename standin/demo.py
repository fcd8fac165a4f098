"""Demonstration: one deployment on loopback, real calls of every class, a table of promises."""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import shutil
import signal
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from dataclasses import replace
from pathlib import Path

from jayyoke.utils.task import cancel_tasks
from standin.calls import Callers
from standin.checks import check_all, format_rows
from standin.deployment import DEPLOYMENTS
from standin.fleet import load_example, run_fleet
from standin.observe import watch_versions
from standin.steps import (
    SURGE,
    TOKEN_S,
    WARM_UP_S,
    Demo,
    Seen,
    move_to_bad,
    move_to_good,
    replace_parts,
    run_steady,
    take_domain_out,
)

BASE_CALLERS = 20
STEPS = (run_steady, take_domain_out, move_to_good, move_to_bad, replace_parts)


async def run_demo(name: str, seed: int, folder: Path) -> bool:
    """Run the demo of one deployment and tell whether every promise held."""
    began_s = time.monotonic()

    def say(text: str) -> None:
        print(f"{time.monotonic() - began_s:5.1f} s  {text}", flush=True)

    deployment = DEPLOYMENTS[name]
    arguments = ("--warm-up-s", f"{WARM_UP_S:g}", "--token-s", f"{TOKEN_S:g}")
    deployment = replace(deployment, engine_arguments=deployment.engine_arguments + arguments)
    configuration = load_example(name)
    workers = configuration["services"][deployment.engine_service]["workers"]
    say(f"{name}, seed {seed}; warm-up {WARM_UP_S:g} s here, {workers['warm_up']} in the example")
    workers["warm_up"] = f"{WARM_UP_S:g}s"
    async with run_fleet(deployment, configuration=configuration, folder=folder) as fleet:
        say(f"{len(fleet.instances)} instances are ready, {len(fleet.processes)} processes run")
        demo = Demo(fleet, configuration, Callers(fleet, seed), Seen(), say)
        async with run_callers(demo):
            for step in STEPS:
                await step(demo)
        rows = await check_all(demo)
        say("all steps are over; the processes are ended")
    print(format_rows(rows))
    print(f"ended after {time.monotonic() - began_s:.1f} s")
    return all(row.held is not False for row in rows)


@contextlib.asynccontextmanager
async def run_callers(demo: Demo) -> AsyncIterator[None]:
    """Keep callers calling; at the end, wait for the calls in progress."""
    callers = demo.callers
    followers = [
        asyncio.create_task(callers.follow_readiness()),
        asyncio.create_task(watch_versions(demo.fleet, demo.seen.reverts)),
    ]
    chats = [asyncio.create_task(callers.return_chats(0)) for _ in range(BASE_CALLERS)]
    for rank in range(1, SURGE + 1):
        chats.append(asyncio.create_task(callers.return_chats(1, rank)))
    try:
        yield
        callers.stopping = True
        await asyncio.gather(*chats)
    finally:
        await cancel_tasks([*followers, *chats])


async def _run_until_signal(name: str, seed: int, folder: Path) -> bool:
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await run_demo(name, seed, folder)


def main() -> None:
    """Run the demo and exit non-zero if a promise broke."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--deployment", choices=sorted(DEPLOYMENTS), default="ballenticket")
    parser.add_argument("--seed", type=int, default=1)
    options = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix="jayyoke-demo-"))
    held = False
    try:
        held = asyncio.run(_run_until_signal(options.deployment, options.seed, folder))
    except (KeyboardInterrupt, asyncio.CancelledError):
        print("interrupted; the processes were ended", file=sys.stderr)
        sys.exit(130)
    finally:
        if held:
            shutil.rmtree(folder)
        else:
            print(f"logs: {folder}", file=sys.stderr)
    sys.exit(0 if held else 1)


if __name__ == "__main__":
    main()
