"""Tests of outages of the platform, alone and with other failures, between real processes."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Iterator
from dataclasses import replace

import pytest

from standin.deployment import DEPLOYMENTS
from standin.faultyfleet import PARTITIONED, FaultyFleet, FleetSession, wait_until
from standin.fleet import Process

DEPLOYMENT = replace(DEPLOYMENTS["ballenticket"], engine_count=3, instances_per_domain=1)
LEFT_WITHIN_S = 3.0


@pytest.fixture(scope="module")
def session() -> Iterator[FleetSession]:
    with FleetSession(DEPLOYMENT, seed=2) as session:
        yield session


async def check_serves(fleet: FaultyFleet, instance: Process, tag: str) -> None:
    """Check that an instance answers chats and lookups."""
    chats = await asyncio.gather(*(fleet.send_chat(instance, f"{tag}-{n}") for n in range(3)))
    assert [reply.status for reply in chats] == [200] * 3, chats
    assert (await fleet.send_work(instance, "lookup", tag)).status == 200


def build_state_change(process: Process, state: str) -> dict[str, str]:
    """Return the change that gives a process's entry in the list a state."""
    return {"name": process.name, "state": state}


class TestStart:
    def test_instance_that_starts_without_list_and_table_serves(self, session):
        """Guards against a restarted instance that serves nothing until the outage ends."""

        async def test(fleet: FaultyFleet) -> None:
            platform = (fleet.fleet.table, fleet.fleet.listing)
            for service in platform:
                await fleet.set_faults(service, down=True)
            instance = fleet.fleet.instances[1]
            await fleet.restart(instance)

            async def is_ready() -> bool:
                return (await fleet.read_versions()).get(instance.name, -1) > 0

            await wait_until(is_ready)
            await check_serves(fleet, instance, "started")
            for service in platform:
                await fleet.set_faults(service, down=False)

        session.run(test)


class TestLeaving:
    @pytest.mark.parametrize("lag_s", [0.0, 0.5])
    def test_leaving_upstreams_receive_no_request_after_3_s(self, session, lag_s):
        """Guards against requests to a leaving upstream when the list is cut off or late (P8)."""

        async def test(fleet: FaultyFleet) -> None:
            cut_off = fleet.fleet.instances[0]
            plain, engine = fleet.fleet.plain_upstreams[1], fleet.fleet.engines[1]
            for instance in fleet.fleet.instances:
                calls = (fleet.send_work(instance, "lookup", f"stay-{n}") for n in range(6))
                await asyncio.gather(*calls)
            assert await fleet.count_received(plain.domain, [plain]) > 0
            await fleet.set_rules(PARTITIONED, "platform.list", fleet.find_source(cut_off))
            await fleet.set_faults(fleet.fleet.listing, delay_s=lag_s)
            await fleet.update_entries(
                build_state_change(plain, "leaving"), build_state_change(engine, "leaving")
            )
            await asyncio.sleep(LEFT_WITHIN_S)
            # Both are the second process of their kind, so they are in one domain.
            received = await fleet.count_received(engine.domain)
            for instance in fleet.fleet.instances:
                calls = (fleet.send_work(instance, "lookup", f"leave-{n}") for n in range(6))
                assert {reply.status for reply in await asyncio.gather(*calls)} == {200}
                await asyncio.gather(*(fleet.send_chat(instance, f"leave-{n}") for n in range(4)))
            assert await fleet.count_received(engine.domain) == received
            await fleet.set_faults(fleet.fleet.listing, delay_s=0.0)
            await fleet.update_entries(
                build_state_change(plain, "live"), build_state_change(engine, "live")
            )

        session.run(test)


class TestTable:
    def test_answers_lost_after_the_write_cause_no_second_run(self, session):
        """Guards against a once-only request run twice because its claim seemed unwritten (P7)."""

        async def test(fleet: FaultyFleet) -> None:
            await fleet.set_faults(fleet.fleet.table, lose_answers=2)
            keys = [f"lost-{n}" for n in range(6)]
            instances = fleet.fleet.instances
            for key in keys:
                await asyncio.gather(*(fleet.send_work(i, "once", key, key) for i in instances))
            await fleet.set_faults(fleet.fleet.table, lose_answers=0)
            runs = await fleet.count_runs()
            assert all(runs.get(key, 0) <= 1 for key in keys)

        session.run(test)

    def test_chats_and_lookups_are_served_without_the_table_and_an_instance(self, session):
        """Guards against chats and lookups that need the table, and false not-run answers (P6)."""

        async def test(fleet: FaultyFleet) -> None:
            killed, *others = fleet.fleet.instances
            await fleet.set_faults(fleet.fleet.table, down=True)
            killed.send_signal(signal.SIGKILL)
            await killed.wait()
            for instance in others:
                await check_serves(fleet, instance, f"killed-{instance.name}")
                reply = await fleet.send_work(instance, "once", "down", f"down-{instance.name}")
                assert (reply.status, reply.run_state) == (503, "not-run")
            runs = await fleet.count_runs()
            assert [key for key in runs if key.startswith("down-")] == []
            await fleet.set_faults(fleet.fleet.table, down=False)
            killed.start()

        session.run(test)

    def test_slow_platform_does_not_stop_chats_and_lookups(self, session):
        """Guards against chats and lookups that wait for a slow table, object store or list."""

        async def test(fleet: FaultyFleet) -> None:
            platform = (fleet.fleet.table, fleet.fleet.objects, fleet.fleet.listing)
            for service in platform:
                await fleet.set_faults(service, delay_s=0.8)
            for instance in fleet.fleet.instances:
                await check_serves(fleet, instance, f"slow-{instance.name}")
            reply = await fleet.send_work(fleet.fleet.instances[0], "once", "slow", "slow-once")
            runs = await fleet.count_runs()
            assert reply.status == 200 or reply.run_state != "not-run" or "slow-once" not in runs
            assert runs.get("slow-once", 0) <= 1
            for service in platform:
                await fleet.set_faults(service, delay_s=0.0)

        session.run(test)
