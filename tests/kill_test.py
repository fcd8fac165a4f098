"""Instances and upstreams killed or replaced with real processes while mixed calls run."""

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
ENOUGH_CALLS = 120


class Mixed:
    """Calls every class continuously and keeps what the callers were told."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.callers = Callers(fleet, SEED)
        self.team = find_team(load_example(fleet.deployment.name))
        self.keys: dict[str, list[Call]] = {}

    @property
    def calls(self) -> list[Call]:
        return self.callers.calls

    async def call_on(self, number: int) -> None:
        classes = self.callers.classes
        turn = number
        while not self.callers.stopping:
            turn += 1
            match turn % 3:
                case 0:
                    await self.callers.send_work("lookup", classes.lookup)
                case 1:
                    await self._send_key("tag", classes.tag, 1)
                case 2:
                    await self._send_key("once", classes.once[turn % len(classes.once)], 2)
            await asyncio.sleep(0.01)

    async def _send_key(self, kind: str, name: str, count: int) -> None:
        key = self.callers.new_id(kind)
        body = key.encode()
        sends = [self.callers.send_work(kind, name, key, body=body) for _ in range(count)]
        self.keys[f"{self.team}:{name}:{key}"] = await asyncio.gather(*sends)

    async def wait_for_more(self, count: int = ENOUGH_CALLS) -> None:
        wanted = len(self.calls) + count
        async with asyncio.timeout(TIMEOUT_S):
            while len(self.calls) < wanted:
                await asyncio.sleep(0.02)

    async def check(self) -> Counter[str]:
        """Check every promise to callers and return the counts."""
        tags = [key for key, calls in self.keys.items() if _is_kept_tag(calls)]
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
        reached = await self._read_reached()
        for call in self.calls:
            counts[self._judge(call, reached)] += 1
        return counts

    def _judge(self, call: Call, reached: set[str]) -> str:
        if call.broken:
            return "broken"
        if call.status in (200, 202):
            assert call.whole, call
            return "whole"
        assert call.refused, call
        if call.run == "not-run":
            assert call.request_id not in reached, call
        return call.run

    async def _read_runs(self) -> dict[str, int]:
        return await read_json(self.fleet, f"{self.fleet.plains[0].url}/runs")

    async def _read_reached(self) -> set[str]:
        reached = set()
        for upstream in self.fleet.engines + self.fleet.plains:
            if upstream.child is None or upstream.child.poll() is not None:
                continue
            reached |= {item.request_id for item in await read_arrivals(self.fleet, upstream)}
        return reached


def _is_kept_tag(calls: list[Call]) -> bool:
    return calls[0].kind == "tag" and calls[0].status == 202


@contextlib.asynccontextmanager
async def run_mixed(name: str) -> AsyncIterator[Mixed]:
    async with run_fleet(DEPLOYMENTS[name]) as fleet:
        mixed = Mixed(fleet)
        follower = asyncio.create_task(mixed.callers.follow_readiness())
        tasks = [asyncio.create_task(mixed.call_on(number)) for number in range(CALLERS)]
        tasks += [asyncio.create_task(mixed.callers.return_chats(0)) for _ in range(CALLERS)]
        try:
            await mixed.wait_for_more()
            yield mixed
            mixed.callers.stopping = True
            async with asyncio.timeout(TIMEOUT_S):
                await asyncio.gather(*tasks)
            counts = await mixed.check()
            print(f"seed {SEED}, {name}: {dict(sorted(counts.items()))}")
        finally:
            for task in [follower, *tasks]:
                task.cancel()
            await asyncio.gather(follower, *tasks, return_exceptions=True)


async def kill(process: Process) -> None:
    process.send(signal.SIGKILL)
    assert await process.wait(TIMEOUT_S) == -signal.SIGKILL


async def wait_until_ready(mixed: Mixed, instance: Process) -> None:
    async with asyncio.timeout(TIMEOUT_S):
        while not await mixed.callers.is_ready(instance):
            await asyncio.sleep(0.05)


class TestKill:
    def test_killed_instances_lose_no_tag_and_repeat_no_stamp(self):
        """Guards against work that dies with its instance, and false answers about it."""

        async def run() -> None:
            async with run_mixed("ballenticket") as mixed:
                # Kills instances of two domains while the others take over their work.
                for index in (0, 3):
                    await kill(mixed.fleet.instances[index])
                    await mixed.wait_for_more()
            killed = {mixed.fleet.instances[index].name for index in (0, 3)}
            broken = [call for call in mixed.calls if call.broken]
            assert {call.instance for call in broken} <= killed

        asyncio.run(run())

    def test_killed_upstreams_cut_no_chat_and_repeat_no_deposit(self):
        """Guards against answers that end with their engine, and repeats at another worker."""

        async def run() -> None:
            async with run_mixed("tapir-ridge") as mixed:
                await kill(mixed.fleet.engines[0])
                # The first plain worker keeps the record of runs.
                await kill(mixed.fleet.plains[1])
                await mixed.wait_for_more(2 * ENOUGH_CALLS)
            assert [call for call in mixed.calls if call.broken] == []

        asyncio.run(run())


class TestReplace:
    def test_instances_replaced_one_by_one_cut_no_call(self):
        """Guards against a shutdown that cuts calls or answers, or loses recorded work."""

        async def run() -> None:
            async with run_mixed("ballenticket") as mixed:
                for instance in mixed.fleet.instances:
                    instance.send(signal.SIGTERM)
                    assert await instance.wait(TIMEOUT_S) == 0
                    instance.start()
                    await wait_until_ready(mixed, instance)
            assert [call for call in mixed.calls if call.broken] == []

        asyncio.run(run())
