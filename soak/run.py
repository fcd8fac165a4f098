"""Runs one seed: faults for a while, then time to recover, then a clean phase."""

from __future__ import annotations

import asyncio
import json
import time
from dataclasses import asdict
from pathlib import Path

from jayyoke.utils.task import cancel_tasks
from soak.fleet import SoakFleet
from soak.plan import FAULTS_S, Size, Step, draw_plan
from soak.promise import Finding, check_run, list_unserved
from soak.record import Disturbance, Record

# Half of what the users allow for a deployment to recover (`recoveryS`, 15 s), and the checks'
# own time: a held up instance needs the rest.
RECOVERY_S = 10.0
CLEAN_S = 2.0
# On a busy machine it takes longer until each kind was called at each instance.
CLEAN_LIMIT_S = 20.0
LOOK_S = 0.2
WATCH_S = 0.05
# A request passes the runner four times, so that this much adds up to half of its deadline.
HELD_UP_S = 0.15


async def run_seed(
    seed: int, folder: Path, size: Size, faults_s: float = FAULTS_S, *, timed: bool = True
) -> list[Finding]:
    """Run a seed and return its findings; what was seen stays in the folder, which exists."""
    steps = draw_plan(seed, size, faults_s)
    record = Record()
    fleet = SoakFleet(size, record, folder, seed)
    watch = asyncio.create_task(_watch_runner(record))
    try:
        await fleet.start()
        fleet.start_callers()
        await _run_steps(fleet, steps)
        fleet.heal()
        await asyncio.sleep(RECOVERY_S)
        record.clean_from_s = time.monotonic()
        await asyncio.sleep(CLEAN_S)
        while list_unserved(record) and time.monotonic() < record.clean_from_s + CLEAN_LIMIT_S:
            await asyncio.sleep(LOOK_S)
        await fleet.stop_callers()
    finally:
        await cancel_tasks([watch])
        await fleet.close()
    findings = check_run(record, timed=timed)
    _write(folder, steps, record, findings)
    return findings


async def _watch_runner(record: Record) -> None:
    """Record when the runner itself, with store, upstreams and callers, is held up."""
    while True:
        began_s = time.monotonic()
        await asyncio.sleep(WATCH_S)
        ended_s = time.monotonic()
        if ended_s - began_s - WATCH_S > HELD_UP_S:
            record.disturbances.append(Disturbance(None, began_s, ended_s, "runner held up"))


async def _run_steps(fleet: SoakFleet, steps: list[Step]) -> None:
    began_s = time.monotonic()
    applied: list[asyncio.Task[None]] = []
    try:
        for step in steps:
            while (left_s := began_s + step.at_s - time.monotonic()) > 0:
                await asyncio.sleep(min(left_s, LOOK_S))
                fleet.note_deaths()
            applied.append(asyncio.create_task(fleet.apply(step.fault)))
        await asyncio.gather(*applied)
    finally:
        await cancel_tasks(applied)


def _write(folder: Path, steps: list[Step], record: Record, findings: list[Finding]) -> None:
    """Keep the plan, all records and the findings as one JSON object a line."""
    with (folder / "seen.jsonl").open("w", encoding="utf-8") as out:
        for step in steps:
            out.write(json.dumps({"step": str(step)}) + "\n")
        for name in ("disturbances", "key_changes", "leavings", "stops", "runs", "sent"):
            for item in getattr(record, name):
                out.write(json.dumps({name: asdict(item)}, default=_decode) + "\n")
        for finding in findings:
            out.write(json.dumps({"finding": asdict(finding)}) + "\n")


def _decode(value: object) -> str:
    return value.decode("latin-1") if isinstance(value, bytes) else str(value)
