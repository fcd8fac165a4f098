"""Tests the memory of an entry instance's process on a small machine before crowds of clients.

Requests of these crowds are inside the limits one by one. The bound is the memory of the machine
that the settings name, with the bytes that the system has received and the process has not read.
"""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Awaitable, Callable
from contextlib import asynccontextmanager
from pathlib import Path

import pytest

from jayyoke.inputlimits.memoryplan import CONNECTION_BYTES, REQUEST_BYTES, plan_memory
from standin.abusiveclients import Crowd, Form
from standin.crowdcases import CASES, POST, Case
from standin.crowdmachine import Machine, build_machine_config, run_machine
from standin.entryupstream import EntryUpstream, answer_whole
from standin.processmemory import MemoryWatch, read_peak_bytes, watch_memory
from tests.abusive_clients_test import hold_machine

pytestmark = pytest.mark.crowd

MACHINE_BYTES = 90_000_000
PLAN = plan_memory(MACHINE_BYTES)
DESCRIPTORS = 1100
CLIENTS = 300
CROWD_LIMIT_S = 5.0
LONG_BODIES = CASES["bodies-that-no-upstream-reads"]
# As many as fit leave less than an ordinary body.
SMALL_BYTES = 99_900
# All at once would exceed the limit on input.
PARTS = 9
PART_PAUSE_S = 0.05
SLOW_S = 2.0
# The grace of the settings, and time for the system to end the process.
STOP_TIMEOUT_S = 20.0

Play = Callable[[Machine, MemoryWatch, Crowd], Awaitable[None]]


def play(folder: Path, case: Case, test: Play, clients: int = CLIENTS) -> None:
    """Run a test with a machine and a crowd that has not begun to send."""

    async def main() -> None:
        upstream = case.build_upstream("u2")
        megabytes = MACHINE_BYTES // 1_000_000
        async with (
            run_machine(folder, megabytes, DESCRIPTORS, upstream, case.kind) as machine,
            watch_memory(machine.process.pid) as watch,
            open_crowd(machine, case, clients) as crowd,
        ):
            await test(machine, watch, crowd)

    with hold_machine():
        asyncio.run(main())


@asynccontextmanager
async def open_crowd(machine: Machine, case: Case, clients: int):
    """Yield a crowd on the callers' port, and close its connections at the end."""
    crowd = Crowd(machine.ports["callers"], case.form, clients, case.bytes_each)
    try:
        yield crowd
    finally:
        await crowd.close()


async def check(machine: Machine, watch: MemoryWatch) -> None:
    """Check the process, its peak memory and an ordinary request."""
    assert await machine.call() == 200
    assert machine.process.returncode is None
    print(watch)
    assert watch.peak_bytes < MACHINE_BYTES


class TestSmallMachine:
    """Tests requests that fill the memory only together."""

    @pytest.mark.parametrize("name", CASES)
    def test_process_stays_within_its_memory(self, name, tmp_path):
        """Guards against copies and buffers that no limit counts."""

        async def test(machine: Machine, watch: MemoryWatch, crowd: Crowd) -> None:
            await crowd.send(CASES[name].limit_s)
            await check(machine, watch)

        play(tmp_path, CASES[name], test)


class TestUnreadAnswers:
    """Tests what a process keeps for clients that do not read."""

    @pytest.mark.parametrize("name", ["answers-that-nobody-reads", "streams-that-nobody-reads"])
    def test_growth_stays_within_the_plan(self, name, tmp_path):
        """Guards against answers that the limit on input does not count."""
        allowed_bytes = PLAN.input_bytes + 2 * PLAN.answer_bytes
        allowed_bytes += PLAN.connections * CONNECTION_BYTES + PLAN.requests * REQUEST_BYTES

        async def test(machine: Machine, watch: MemoryWatch, crowd: Crowd) -> None:
            before_bytes = read_peak_bytes(machine.process.pid)
            await crowd.send(CASES[name].limit_s)
            grown_bytes = read_peak_bytes(machine.process.pid) - before_bytes
            print(f"peak {grown_bytes / 1e6:.1f} MB above, {allowed_bytes / 1e6:.1f} MB allowed")
            assert grown_bytes <= allowed_bytes

        play(tmp_path, CASES[name], test)


class TestSlowBodies:
    """Tests small bodies that do not end and take all the memory for bodies."""

    def test_ordinary_request_is_served(self, tmp_path):
        """Guards against callers who are refused until the time of other bodies is over."""
        clients = (PLAN.body_bytes + PLAN.small_body_bytes) // SMALL_BYTES
        opening = POST + b"Content-Length: %d\r\n\r\n" % (SMALL_BYTES + 1)
        form = Form(opening, b"b" * (SMALL_BYTES // PARTS), PART_PAUSE_S)
        case = Case(lambda name: EntryUpstream(name, answer_whole), form, SMALL_BYTES)

        async def test(machine: Machine, watch: MemoryWatch, crowd: Crowd) -> None:
            await crowd.send(CROWD_LIMIT_S)
            await asyncio.sleep(SLOW_S)
            await check(machine, watch)

        play(tmp_path, case, test, clients)


async def change_limits(machine: Machine) -> None:
    """Lower the limit of bodies, and raise it again."""
    for version, body_bytes in ((2, 1 << 20), (3, 4 << 20)):
        config = build_machine_config("unsafe", version, maxBodyBytes=body_bytes)
        machine.store.put("op", "config", config)
        await asyncio.sleep(1.0)


async def lose_store(machine: Machine) -> None:
    """End the store."""
    await machine.store.close()
    await asyncio.sleep(1.0)


async def reload(machine: Machine) -> None:
    """Ask for the settings to be read again, several times."""
    for _ in range(5):
        machine.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)


class TestOverlap:
    """Tests changes while a crowd sends long bodies."""

    @pytest.mark.parametrize("change", [change_limits, lose_store, reload])
    def test_process_stays_within_its_memory(self, change, tmp_path):
        """Guards against state that a change leaves behind, or memory that it counts anew."""

        async def test(machine: Machine, watch: MemoryWatch, crowd: Crowd) -> None:
            async with open_crowd(machine, LONG_BODIES, CLIENTS // 2) as later:
                sending = asyncio.create_task(crowd.send(CROWD_LIMIT_S))
                await asyncio.sleep(0.5)
                await change(machine)
                await later.send(CROWD_LIMIT_S)
                await sending
                await check(machine, watch)

        play(tmp_path, LONG_BODIES, test, CLIENTS // 2)

    def test_stop_ends_in_time(self, tmp_path):
        """Guards against a process that clients keep from ending."""

        async def test(machine: Machine, watch: MemoryWatch, crowd: Crowd) -> None:
            sending = asyncio.create_task(crowd.send(CROWD_LIMIT_S))
            await asyncio.sleep(1.0)
            machine.process.send_signal(signal.SIGTERM)
            await asyncio.sleep(0.5)
            machine.process.send_signal(signal.SIGHUP)
            async with asyncio.timeout(STOP_TIMEOUT_S):
                assert await machine.process.wait() == 0
            await sending
            assert watch.sampled_bytes < MACHINE_BYTES

        play(tmp_path, LONG_BODIES, test)
