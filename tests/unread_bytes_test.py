"""Tests how much the system keeps of what a process has not read."""

from __future__ import annotations

import asyncio
import signal

import pytest

from jayyoke.inputlimits.memoryplan import RECEIVE_BYTES
from standin.abusiveclients import Crowd, Form
from standin.crowdcases import CASES
from standin.crowdmachine import PORTS, run_machine
from standin.fleet import run_fleet
from standin.processmemory import count_unread_bytes
from tests.abusive_clients_test import FLEET, hold_machine

pytestmark = pytest.mark.crowd

MACHINE_MB = 200
DESCRIPTORS = 1100
CLIENTS = 100
CROWD_LIMIT_S = 2.0
# Connections between instances of jayyoked carry larger messages.
PEER_BYTES = 32 << 10
BYTES_EACH = 1_000_000


class TestPausedProcess:
    """Tests a process that stands still while clients send."""

    @pytest.mark.parametrize("port", PORTS)
    def test_system_keeps_what_the_plan_counts(self, port, tmp_path):
        """Guards against bytes that fill the memory of a machine before they can be counted."""
        case = CASES["bodies-that-no-upstream-reads"]

        async def main() -> None:
            upstream = case.build_upstream("u2")
            async with run_machine(
                tmp_path, MACHINE_MB, DESCRIPTORS, upstream, case.kind
            ) as machine:
                machine.process.send_signal(signal.SIGSTOP)
                crowd = Crowd(machine.ports[port], case.form, CLIENTS, case.bytes_each)
                try:
                    await crowd.send(CROWD_LIMIT_S)
                    unread_bytes = count_unread_bytes(machine.process.pid)
                finally:
                    await crowd.close()
                    machine.process.send_signal(signal.SIGCONT)
                print(f"{unread_bytes} bytes unread")
                assert 0 < unread_bytes <= CLIENTS * RECEIVE_BYTES
                assert await machine.call() == 200

        with hold_machine():
            asyncio.run(main())


class TestPausedDaemon:
    """Tests `jayyoked` while it stands still and clients send."""

    @pytest.mark.parametrize("port", ["caller_address", "operator_address", "peer_address"])
    def test_system_keeps_little(self, port):
        """Guards against bytes that fill the memory of a machine before they can be counted."""
        allowed_bytes = PEER_BYTES if port == "peer_address" else RECEIVE_BYTES

        async def main() -> None:
            async with run_fleet(FLEET) as fleet:
                instance = fleet.instances[0]
                address = instance.address if port == "caller_address" else getattr(instance, port)
                instance.send_signal(signal.SIGSTOP)
                number = int(address.rpartition(":")[2])
                crowd = Crowd(number, Form(b"", b"b" * 16_384), CLIENTS, BYTES_EACH)
                try:
                    await crowd.send(CROWD_LIMIT_S)
                    unread_bytes = count_unread_bytes(instance.child.pid)
                finally:
                    await crowd.close()
                    instance.send_signal(signal.SIGCONT)
                print(f"{unread_bytes} bytes unread")
                assert 0 < unread_bytes <= CLIENTS * allowed_bytes

        with hold_machine():
            asyncio.run(main())
