"""Tests of once-only, tag and late requests with real processes, faults and killed instances."""

from __future__ import annotations

import asyncio
import signal

from standin.deployment import Deployment
from standin.fleet import TEAM_KEYS, Fleet, load_example, run_fleet

DEPLOYMENT = Deployment(
    "ballenticket", "ch-central", ("luzern-a", "zug-c"), "jayyoke-pool", 0, "ticket-desk", 2, 1
)
TIMEOUT_S = 60.0
TEAM = "yard-luzern"


async def call(fleet: Fleet, index: int, path: str, key: str = "", method: str = "POST"):
    """Return status, headers and body of a call through one instance."""
    headers = {"Authorization": f"Bearer {TEAM_KEYS[0]}"}
    if key:
        headers["Idempotency-Key"] = key
    url = f"{fleet.instances[index].url}/v1/{path}"
    async with fleet.http.request(method, url, data=b"bale", headers=headers) as answer:
        return answer.status, answer.headers, await answer.read()


async def set_faults(fleet: Fleet, processes, **faults) -> None:
    for process in processes:
        async with fleet.http.post(f"{process.url}/fault", json=faults) as answer:
            assert answer.status == 200


async def read_runs(fleet: Fleet) -> dict[str, int]:
    async with fleet.http.get(f"{fleet.plain_upstreams[0].url}/runs") as answer:
        return await answer.json()


async def wait_for_run(fleet: Fleet, key: str) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while key not in await read_runs(fleet):
            await asyncio.sleep(0.05)


async def apply_configuration(fleet: Fleet) -> None:
    configuration = load_example("ballenticket")
    configuration["classes"]["stamp"]["within"] = 30
    await fleet.wait_for_version(0)
    await fleet.wait_for_version(await fleet.apply_configuration(configuration))


class TestOnce:
    def test_request_runs_once_through_two_instances_and_faults(self):
        """Guards against a second run after concurrent repeats, lost answers or a paused holder."""

        async def run() -> None:
            async with run_fleet(DEPLOYMENT, apply_example=False) as fleet:
                await apply_configuration(fleet)
                await check_concurrent_repeats(fleet)
                await check_lost_claim_answer(fleet)
                await check_broken_answers(fleet)
                await check_paused_holder(fleet)

        asyncio.run(run())


async def check_concurrent_repeats(fleet: Fleet) -> None:
    await set_faults(fleet, fleet.plain_upstreams, late_s=0.5)
    first, second = await asyncio.gather(
        *(call(fleet, index, "work/stamp/t", "race") for index in (0, 1))
    )
    await set_faults(fleet, fleet.plain_upstreams, late_s=0)
    assert (first[0], second[0]) == (200, 200)
    assert first[2] == second[2]
    replayed = [answer[1].get("Jayyoke-Replayed") for answer in (first, second)]
    assert sorted(replayed, key=str) == [None, "true"]
    assert (await read_runs(fleet))[f"{TEAM}:stamp:race"] == 1
    conflicting = await call(fleet, 0, "work/stamp/other", "race")
    assert (conflicting[0], conflicting[1]["Jayyoke-Run"]) == (422, "not-run")
    missing = await call(fleet, 0, "work/stamp/t")
    assert missing[0] == 400 and b"idempotency-key-missing" in missing[2]


async def check_lost_claim_answer(fleet: Fleet) -> None:
    await set_faults(fleet, [fleet.table], lose_answers=1)
    first = await call(fleet, 0, "work/stamp/t", "lost")
    second = await call(fleet, 1, "work/stamp/t", "lost")
    assert (first[0], second[0], second[2]) == (200, 200, first[2])
    assert (await read_runs(fleet))[f"{TEAM}:stamp:lost"] == 1


async def check_broken_answers(fleet: Fleet) -> None:
    # With PUT, aiohttp would repeat the call by itself after a dropped connection.
    for fault in ("cross", "truncate", "drop", "fail_after"):
        await call(fleet, 0, "work/stamp/t", f"before-{fault}", "PUT")
        await set_faults(fleet, fleet.plain_upstreams, **{fault: 1})
        answer = await call(fleet, 0, "work/stamp/t", fault, "PUT")
        await set_faults(fleet, fleet.plain_upstreams, **{fault: 0})
        assert (answer[0], b"bale" in answer[2]) == (200, True), fault
        assert (await read_runs(fleet))[f"{TEAM}:stamp:{fault}"] == 1


async def check_paused_holder(fleet: Fleet) -> None:
    await set_faults(fleet, [fleet.table], delay_s=0.5)
    first = asyncio.create_task(call(fleet, 0, "work/stamp/t", "paused"))
    await asyncio.sleep(0.3)  # The claim is in flight; the holder is paused before it sends.
    fleet.instances[0].send_signal(signal.SIGSTOP)
    await set_faults(fleet, [fleet.table], delay_s=0)
    second = asyncio.create_task(call(fleet, 1, "work/stamp/t", "paused"))
    await asyncio.sleep(6.0)  # Longer than the claim's lease.
    fleet.instances[0].send_signal(signal.SIGCONT)
    first, second = await first, await second
    assert (first[0], second[0], second[2]) == (200, 200, first[2])
    assert (await read_runs(fleet))[f"{TEAM}:stamp:paused"] == 1


class TestKilledInstance:
    def test_recorded_work_survives_a_killed_instance(self):
        """Guards against lost tags and replies, and a second run of a killed holder's request."""

        async def run() -> None:
            async with run_fleet(DEPLOYMENT, apply_example=False) as fleet:
                await apply_configuration(fleet)
                await set_faults(fleet, fleet.plain_upstreams, late_s=5)
                late = await call(fleet, 0, "work/depot-reply/r")
                assert late[0] == 202
                once = asyncio.create_task(call(fleet, 0, "work/stamp/t", "killed"))
                await wait_for_run(fleet, f"{TEAM}:stamp:killed")
                await set_faults(fleet, fleet.plain_upstreams, down=True)
                tag = await call(fleet, 0, "work/consignment-tag/c", "tagged")
                assert tag[0] == 202
                assert f"{TEAM}:consignment-tag:tagged" not in await read_runs(fleet)
                fleet.instances[0].send_signal(signal.SIGKILL)
                await asyncio.gather(once, return_exceptions=True)
                await set_faults(fleet, fleet.plain_upstreams, down=False, late_s=0)
                repeat = await call(fleet, 1, "work/stamp/t", "killed")
                assert (repeat[0], repeat[1]["Jayyoke-Replayed"]) == (200, "true")
                assert (await read_runs(fleet))[f"{TEAM}:stamp:killed"] == 1
                await wait_for_run(fleet, f"{TEAM}:consignment-tag:tagged")
                await check_late_reply(fleet, late[1]["Location"].removeprefix("/v1/"))

        asyncio.run(run())


async def check_late_reply(fleet: Fleet, path: str) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while (answer := await call(fleet, 1, path, method="GET"))[0] == 202:
            await asyncio.sleep(0.1)
    assert (answer[0], b"bale" in answer[2]) == (200, True)
    assert (await call(fleet, 1, "replies/none", method="GET"))[0] == 404
