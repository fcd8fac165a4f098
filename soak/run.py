"""Runs one seed: a phase with faults, time to recover, then a clean phase without faults."""

from __future__ import annotations

import asyncio
import json
import random
import time
from dataclasses import asdict
from pathlib import Path

from jayyoke.utils.task import cancel_tasks
from soak.calmstop import stop_in_calm
from soak.check import Finding, check_record, list_unserved
from soak.fleet import SoakFleet
from soak.plan import DEFAULT_FAULTS_S, Size, Step, StoreReturns, draw_plan
from soak.record import Disturbance, Record

# Half of the recovery time that users allow (`recoveryS`, 15 s), plus time for the checks; the rest
# is left for an instance that is held up.
RECOVERY_S = 10.0
MIN_CLEAN_S = 2.0
# On a busy machine it takes longer until each instance got each kind of request.
MAX_CLEAN_S = 20.0
POLL_INTERVAL_S = 0.2
RUNNER_CHECK_INTERVAL_S = 0.05
# A request passes the runner four times, so hold-ups of this length add up to half of its deadline.
HELD_UP_THRESHOLD_S = 0.15


async def run_seed(
    seed: int, folder: Path, size: Size, faults_s: float = DEFAULT_FAULTS_S, *, timed: bool = True
) -> list[Finding]:
    """Run a seed and return its findings; write the record to `folder`, which must exist.

    Without `timed` nothing is stopped in calm, since what may be cut then depends on time.
    """
    steps = draw_plan(seed, size, faults_s)
    record = Record()
    names_era = any(isinstance(step.fault, StoreReturns) for step in steps)
    fleet = SoakFleet(size, record, folder, seed, names_era=names_era)
    watch = asyncio.create_task(_watch_runner(record))
    try:
        await fleet.start()
        fleet.start_callers()
        await _run_steps(fleet, steps)
        fleet.end_faults()
        await asyncio.sleep(RECOVERY_S)
        record.clean_from_s = time.monotonic()
        await asyncio.sleep(MIN_CLEAN_S)
        while list_unserved(record) and time.monotonic() < record.clean_from_s + MAX_CLEAN_S:
            await asyncio.sleep(POLL_INTERVAL_S)
        record.clean_until_s = time.monotonic()
        if timed:
            await stop_in_calm(fleet, record, random.Random(f"{seed} stops"))
        await fleet.stop_callers()
    finally:
        await cancel_tasks([watch])
        await fleet.close()
    findings = check_record(record, timed=timed)
    _write_record(folder, steps, record, findings)
    return findings


async def _watch_runner(record: Record) -> None:
    """Record when the runner is held up, and with it the store, upstreams and callers."""
    while True:
        began_s = time.monotonic()
        await asyncio.sleep(RUNNER_CHECK_INTERVAL_S)
        ended_s = time.monotonic()
        if ended_s - began_s - RUNNER_CHECK_INTERVAL_S > HELD_UP_THRESHOLD_S:
            record.disturbances.append(Disturbance(None, began_s, ended_s, "runner held up"))


async def _run_steps(fleet: SoakFleet, steps: list[Step]) -> None:
    began_s = time.monotonic()
    fault_tasks: list[asyncio.Task[None]] = []
    try:
        for step in steps:
            while (remaining_s := began_s + step.at_s - time.monotonic()) > 0:
                await asyncio.sleep(min(remaining_s, POLL_INTERVAL_S))
                fleet.record_deaths()
            fault_tasks.append(asyncio.create_task(fleet.apply(step.fault)))
        await asyncio.gather(*fault_tasks)
    finally:
        await cancel_tasks(fault_tasks)


def _write_record(folder: Path, steps: list[Step], record: Record, findings: list[Finding]) -> None:
    """Write the plan, all records and the findings, one JSON object per line."""
    with (folder / "seen.jsonl").open("w", encoding="utf-8") as out:
        for step in steps:
            out.write(json.dumps({"step": str(step)}) + "\n")
        for name in ("disturbances", "key_changes", "leavings", "stops", "runs", "sent"):
            for item in getattr(record, name):
                out.write(json.dumps({name: asdict(item)}, default=_encode_value) + "\n")
        for at_s in record.ends_s:
            out.write(json.dumps({"ends_s": at_s}) + "\n")
        for finding in findings:
            out.write(json.dumps({"finding": asdict(finding)}) + "\n")


def _encode_value(value: object) -> str:
    return value.decode("latin-1") if isinstance(value, bytes) else str(value)
