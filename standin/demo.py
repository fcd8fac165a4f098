"""Demo: runs a deployment on loopback, calls every class and prints a table of promises."""

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
    SURGE_CALLERS,
    TOKEN_S,
    WARM_UP_S,
    Demo,
    Observations,
    move_to_bad_version,
    move_to_good_version,
    remove_processes,
    run_surge,
    take_domain_out,
)

BASE_CALLERS = 20
STEPS = (run_surge, take_domain_out, move_to_good_version, move_to_bad_version, remove_processes)


async def run_demo(name: str, seed: int, folder: Path) -> bool:
    """Run the demo of one deployment and tell whether every promise held."""
    began_s = time.monotonic()

    def print_progress(text: str) -> None:
        print(f"{time.monotonic() - began_s:5.1f} s  {text}", flush=True)

    deployment = DEPLOYMENTS[name]
    arguments = ("--warm-up-s", f"{WARM_UP_S:g}", "--token-s", f"{TOKEN_S:g}")
    deployment = replace(deployment, engine_arguments=deployment.engine_arguments + arguments)
    configuration = load_example(name)
    workers = configuration["services"][deployment.engine_service]["workers"]
    print_progress(
        f"{name}, seed {seed}; warm-up {WARM_UP_S:g} s here, {workers['warm_up']} in the example"
    )
    workers["warm_up"] = f"{WARM_UP_S:g}s"
    async with run_fleet(deployment, configuration=configuration, folder=folder) as fleet:
        print_progress(
            f"{len(fleet.instances)} instances are ready, {len(fleet.processes)} processes run"
        )
        demo = Demo(fleet, configuration, Callers(fleet, seed), Observations(), print_progress)
        async with run_callers(demo):
            for step in STEPS:
                await step(demo)
        rows = await check_all(demo)
        print_progress("all steps are over; the processes are ended")
    print(format_rows(rows))
    print(f"ended after {time.monotonic() - began_s:.1f} s")
    return all(row.held is not False for row in rows)


@contextlib.asynccontextmanager
async def run_callers(demo: Demo) -> AsyncIterator[None]:
    """Run callers in the background; at the end, wait for their calls in progress."""
    callers = demo.callers
    watchers = [
        asyncio.create_task(callers.follow_readiness()),
        asyncio.create_task(watch_versions(demo.fleet, demo.observed.reverts)),
    ]
    chats = [asyncio.create_task(callers.run_chats(0)) for _ in range(BASE_CALLERS)]
    for rank in range(1, SURGE_CALLERS + 1):
        chats.append(asyncio.create_task(callers.run_chats(1, rank)))
    try:
        yield
        callers.stopping = True
        await asyncio.gather(*chats)
    finally:
        await cancel_tasks([*watchers, *chats])


async def _run_until_signal(name: str, seed: int, folder: Path) -> bool:
    task = asyncio.current_task()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
    return await run_demo(name, seed, folder)


def main() -> None:
    """Run the demo; exit with 1 if a promise did not hold and 130 if interrupted."""
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
