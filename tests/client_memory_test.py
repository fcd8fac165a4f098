"""Tests the memory of an entry instance's process on a small machine before crowds of clients.

Requests of these crowds are inside the limits one by one. The bound is the memory of the machine
that the settings name, with the bytes that the system has received and the process has not read.
"""

from __future__ import annotations

import asyncio
import signal

import pytest

from jayyoke.inputlimits.memoryplan import CONNECTION_BYTES, REQUEST_BYTES, plan_memory
from standin.abusiveclients import Crowd, Form
from standin.crowdcases import CASES, POST
from standin.crowdmachine import Machine, build_machine_config, run_machine
from standin.entryupstream import EntryUpstream, answer_whole
from standin.processmemory import MemoryWatch, read_peak_bytes, watch_memory
from tests.abusive_clients_test import hold_machine

pytestmark = pytest.mark.crowd

MACHINE_MB = 90
DESCRIPTORS = 1100
CLIENTS = 300
CROWD_LIMIT_S = 5.0
# As many as fit leave less than an ordinary body.
SMALL_BYTES = 99_900
# All at once would exceed the limit on input.
PARTS = 9
PART_PAUSE_S = 0.05
SLOW_S = 2.0
# The grace of the settings, and time for the system to end the process.
STOP_TIMEOUT_S = 20.0


def check_memory(watch: MemoryWatch) -> None:
    """Check the peak against the memory of the machine."""
    print(watch)
    assert watch.peak_bytes < MACHINE_MB * 1_000_000


class TestSmallMachine:
    """Tests requests that fill the memory only together."""

    @pytest.mark.parametrize("name", CASES)
    def test_process_stays_within_its_memory(self, name, tmp_path):
        """Guards against copies and buffers that no limit counts."""
        case = CASES[name]

        async def main() -> None:
            upstream = case.build_upstream("u2")
            async with (
                run_machine(tmp_path, MACHINE_MB, DESCRIPTORS, upstream, case.kind) as machine,
                watch_memory(machine.process.pid) as watch,
            ):
                crowd = Crowd(machine.ports["callers"], case.form, CLIENTS, case.bytes_each)
                try:
                    await crowd.send(case.limit_s)
                    assert await machine.call() == 200
                finally:
                    await crowd.close()
                assert machine.process.returncode is None
                check_memory(watch)

        with hold_machine():
            asyncio.run(main())


class TestUnreadAnswers:
    """Tests what a process keeps for clients that do not read."""

    @pytest.mark.parametrize("name", ["answers-that-nobody-reads", "streams-that-nobody-reads"])
    def test_growth_stays_within_the_plan(self, name, tmp_path):
        """Guards against answers that the limit on input does not count."""
        case = CASES[name]
        plan = plan_memory(MACHINE_MB * 1_000_000)
        allowed_bytes = plan.input_bytes + 2 * plan.answer_bytes
        allowed_bytes += plan.connections * CONNECTION_BYTES + plan.requests * REQUEST_BYTES

        async def main() -> None:
            upstream = case.build_upstream("u2")
            async with run_machine(
                tmp_path, MACHINE_MB, DESCRIPTORS, upstream, case.kind
            ) as machine:
                before_bytes = read_peak_bytes(machine.process.pid)
                crowd = Crowd(machine.ports["callers"], case.form, CLIENTS, case.bytes_each)
                try:
                    await crowd.send(case.limit_s)
                    grown_bytes = read_peak_bytes(machine.process.pid) - before_bytes
                finally:
                    await crowd.close()
                print(
                    f"peak {grown_bytes / 1e6:.1f} MB above, {allowed_bytes / 1e6:.1f} MB allowed"
                )
                assert grown_bytes <= allowed_bytes

        with hold_machine():
            asyncio.run(main())


class TestSlowBodies:
    """Tests small bodies that do not end and take all the memory for bodies."""

    def test_ordinary_request_is_served(self, tmp_path):
        """Guards against callers who are refused until the time of other bodies is over."""
        plan = plan_memory(MACHINE_MB * 1_000_000)
        clients = (plan.body_bytes + plan.small_body_bytes) // SMALL_BYTES
        opening = POST + b"Content-Length: %d\r\n\r\n" % (SMALL_BYTES + 1)
        form = Form(opening, b"b" * (SMALL_BYTES // PARTS), PART_PAUSE_S)

        async def main() -> None:
            upstream = EntryUpstream("u2", answer_whole)
            async with run_machine(
                tmp_path, MACHINE_MB, DESCRIPTORS, upstream, "unsafe"
            ) as machine:
                crowd = Crowd(machine.ports["callers"], form, clients, SMALL_BYTES)
                try:
                    await crowd.send(CROWD_LIMIT_S)
                    await asyncio.sleep(SLOW_S)
                    assert await machine.call() == 200
                finally:
                    await crowd.close()
                assert machine.process.returncode is None

        with hold_machine():
            asyncio.run(main())


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
        case = CASES["bodies-that-no-upstream-reads"]

        async def main() -> None:
            upstream = case.build_upstream("u2")
            async with (
                run_machine(tmp_path, MACHINE_MB, DESCRIPTORS, upstream, case.kind) as machine,
                watch_memory(machine.process.pid) as watch,
            ):
                port = machine.ports["callers"]
                crowds = [Crowd(port, case.form, CLIENTS // 2, case.bytes_each) for _ in range(2)]
                try:
                    async with asyncio.TaskGroup() as group:
                        group.create_task(crowds[0].send(CROWD_LIMIT_S))
                        await asyncio.sleep(0.5)
                        await change(machine)
                        group.create_task(crowds[1].send(CROWD_LIMIT_S))
                    assert await machine.call() == 200
                finally:
                    for crowd in crowds:
                        await crowd.close()
                assert machine.process.returncode is None
                check_memory(watch)

        with hold_machine():
            asyncio.run(main())

    def test_stop_ends_in_time(self, tmp_path):
        """Guards against a process that clients keep from ending."""
        case = CASES["bodies-that-no-upstream-reads"]

        async def main() -> None:
            upstream = case.build_upstream("u2")
            async with (
                run_machine(tmp_path, MACHINE_MB, DESCRIPTORS, upstream, case.kind) as machine,
                watch_memory(machine.process.pid) as watch,
            ):
                crowd = Crowd(machine.ports["callers"], case.form, CLIENTS, case.bytes_each)
                sending = asyncio.create_task(crowd.send(CROWD_LIMIT_S))
                try:
                    await asyncio.sleep(1.0)
                    machine.process.send_signal(signal.SIGTERM)
                    await asyncio.sleep(0.5)
                    machine.process.send_signal(signal.SIGHUP)
                    async with asyncio.timeout(STOP_TIMEOUT_S):
                        code = await machine.process.wait()
                    await sending
                finally:
                    await crowd.close()
                assert code == 0
                assert watch.sampled_bytes < MACHINE_MB * 1_000_000

        with hold_machine():
            asyncio.run(main())
