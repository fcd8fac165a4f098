"""Tests that kill or replace instances and upstreams, as real processes, under mixed load."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections import Counter
from collections.abc import AsyncIterator

from standin.calls import Call, Callers, find_team
from standin.deployment import DEPLOYMENTS
from standin.fleet import Fleet, Process, load_example, run_fleet
from standin.observe import read_arrivals, read_json

SEED = 1
CALLERS = 6
TIMEOUT_S = 120.0
CALLS_PER_PHASE = 120


class MixedLoad:
    """Sends requests of every class continuously and keeps the answers."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.callers = Callers(fleet, SEED)
        self.team = find_team(load_example(fleet.deployment.name))
        self.keys: dict[str, list[Call]] = {}

    @property
    def calls(self) -> list[Call]:
        return self.callers.calls

    async def send_continuously(self, number: int) -> None:
        classes = self.callers.classes
        turn = number
        while not self.callers.stopping:
            turn += 1
            match turn % 3:
                case 0:
                    await self.callers.send_work("lookup", classes.lookup)
                case 1:
                    await self._send_with_key("tag", classes.tag, 1)
                case 2:
                    await self._send_with_key("once", classes.once[turn % len(classes.once)], 2)
            await asyncio.sleep(0.01)

    async def _send_with_key(self, kind: str, name: str, count: int) -> None:
        key = self.callers.new_id(kind)
        body = key.encode()
        sends = [self.callers.send_work(kind, name, key, body=body) for _ in range(count)]
        self.keys[f"{self.team}:{name}:{key}"] = await asyncio.gather(*sends)

    async def wait_for_more_calls(self, count: int = CALLS_PER_PHASE) -> None:
        target = len(self.calls) + count
        async with asyncio.timeout(TIMEOUT_S):
            while len(self.calls) < target:
                await asyncio.sleep(0.02)

    async def check(self) -> Counter[str]:
        """Check the answers against what ran, and return the number of each outcome."""
        tags = [key for key, calls in self.keys.items() if _is_acknowledged_tag(calls)]
        runs = await self._read_runs()
        async with asyncio.timeout(TIMEOUT_S):
            while any(key not in runs for key in tags):
                await asyncio.sleep(0.1)
                runs = await self._read_runs()
        once = [key for key, calls in self.keys.items() if calls[0].kind == "once"]
        assert [key for key in once if runs.get(key, 0) > 1] == []
        for key in once:
            answers = {call.body for call in self.keys[key] if call.status == 200}
            assert len(answers) <= 1, key
            assert not answers or runs.get(key) == 1, key
        counts: Counter[str] = Counter(tags=len(tags), once=len(once))
        received_ids = await self._read_received_ids()
        for call in self.calls:
            counts[self._classify(call, received_ids)] += 1
        return counts

    def _classify(self, call: Call, received_ids: set[str]) -> str:
        if call.connection_error:
            return "broken"
        if call.status in (200, 202):
            assert call.complete, call
            return "whole"
        assert call.refused, call
        if call.run_state == "not-run":
            assert call.request_id not in received_ids, call
        return call.run_state

    async def _read_runs(self) -> dict[str, int]:
        return await read_json(self.fleet, f"{self.fleet.plain_upstreams[0].url}/runs")

    async def _read_received_ids(self) -> set[str]:
        received_ids = set()
        for upstream in self.fleet.engines + self.fleet.plain_upstreams:
            if upstream.child is None or upstream.child.poll() is not None:
                continue
            received_ids |= {item.request_id for item in await read_arrivals(self.fleet, upstream)}
        return received_ids


def _is_acknowledged_tag(calls: list[Call]) -> bool:
    return calls[0].kind == "tag" and calls[0].status == 202


@contextlib.asynccontextmanager
async def run_mixed_load(name: str) -> AsyncIterator[MixedLoad]:
    async with run_fleet(DEPLOYMENTS[name]) as fleet:
        load = MixedLoad(fleet)
        follower = asyncio.create_task(load.callers.follow_readiness())
        tasks = [asyncio.create_task(load.send_continuously(number)) for number in range(CALLERS)]
        tasks += [asyncio.create_task(load.callers.run_chats(0)) for _ in range(CALLERS)]
        try:
            await load.wait_for_more_calls()
            yield load
            load.callers.stopping = True
            async with asyncio.timeout(TIMEOUT_S):
                await asyncio.gather(*tasks)
            counts = await load.check()
            print(f"seed {SEED}, {name}: {dict(sorted(counts.items()))}")
        finally:
            for task in [follower, *tasks]:
                task.cancel()
            await asyncio.gather(follower, *tasks, return_exceptions=True)


async def kill(process: Process) -> None:
    process.send_signal(signal.SIGKILL)
    assert await process.wait(TIMEOUT_S) == -signal.SIGKILL


async def wait_until_ready(load: MixedLoad, instance: Process) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not await load.callers.is_ready(instance):
            await asyncio.sleep(0.05)


class TestKill:
    def test_killed_instances_lose_no_tag_and_repeat_no_stamp(self):
        """Guards against recorded work lost with its instance, and false answers about it."""

        async def run() -> None:
            async with run_mixed_load("ballenticket") as load:
                # Kill instances of two domains while the others take over their work.
                for index in (0, 3):
                    await kill(load.fleet.instances[index])
                    await load.wait_for_more_calls()
            killed = {load.fleet.instances[index].name for index in (0, 3)}
            disconnected = [call for call in load.calls if call.connection_error]
            assert {call.instance for call in disconnected} <= killed

        asyncio.run(run())

    def test_killed_upstreams_cut_no_chat_and_repeat_no_deposit(self):
        """Guards against answers cut off with their engine, and repeats at another worker."""

        async def run() -> None:
            async with run_mixed_load("tapir-ridge") as load:
                await kill(load.fleet.engines[0])
                # The first plain worker keeps the record of runs.
                await kill(load.fleet.plain_upstreams[1])
                await load.wait_for_more_calls(2 * CALLS_PER_PHASE)
            assert [call for call in load.calls if call.connection_error] == []

        asyncio.run(run())


class TestReplace:
    def test_instances_replaced_one_by_one_cut_no_call(self):
        """Guards against a shutdown that cuts off calls or answers, or loses recorded work."""

        async def run() -> None:
            async with run_mixed_load("ballenticket") as load:
                for instance in load.fleet.instances:
                    instance.send_signal(signal.SIGTERM)
                    assert await instance.wait(TIMEOUT_S) == 0
                    instance.start()
                    await wait_until_ready(load, instance)
            assert [call for call in load.calls if call.connection_error] == []

        asyncio.run(run())
