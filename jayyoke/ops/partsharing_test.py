"""Tests of how instances of `jayyoked` share what they know of parts of prompts."""

from __future__ import annotations

import asyncio

from jayyoke.core.member import Member
from jayyoke.ops.partrecord import EngineEnd
from jayyoke.ops.partsharing import PartSharing
from jayyoke.ops.quarantine import Quarantine
from jayyoke.utils.boottime import read_boot_time_s
from jayyoke.utils.task import cancel_tasks
from jayyoke.wire.local import LocalHub


class Clock:
    """The steady clock as the product's interface has it."""

    def now_s(self) -> float:
        return read_boot_time_s()


class Fleet:
    """Holds instances of several domains on one hub."""

    def __init__(self) -> None:
        self.hub = LocalHub(by_domain=True)
        self.quarantines: dict[str, Quarantine] = {}
        self.tasks: list[asyncio.Task[None]] = []

    def start(self, name: str, domain: str) -> None:
        """Start an instance."""
        peers = self.hub.join(Member(name, domain, 1, "127.0.0.1:1"))
        quarantine = self.quarantines[name] = Quarantine(read_boot_time_s, name)
        sharing = PartSharing(quarantine, peers, Clock())
        self.tasks.append(asyncio.create_task(sharing.run()))

    def end_engines(self, name: str) -> None:
        """Let an instance see two engines end under a part."""
        now_s = read_boot_time_s()
        for engine, at_s in (("e1", now_s - 1.0), ("e2", now_s)):
            self.quarantines[name].record_end(["p"], EngineEnd(engine, at_s))

    async def wait_for_quarantined(self, count: int) -> None:
        """Wait until so many instances keep the part from engines."""
        async with asyncio.timeout(10):
            while sum(bool(q.list_quarantined()) for q in self.quarantines.values()) != count:
                await asyncio.sleep(0.02)


def run_fleet(test) -> None:
    """Run a test with three instances in two domains."""

    async def main() -> None:
        fleet = Fleet()
        for name, domain in (("a1", "a"), ("a2", "a"), ("b1", "b")):
            fleet.start(name, domain)
        await test(fleet)
        await cancel_tasks(fleet.tasks)

    asyncio.run(main())


class TestSharing:
    """Tests who learns of a part."""

    def test_all_domains_learn(self):
        """Guards against a caller that ends the engines of one domain after the other."""

        async def test(fleet: Fleet) -> None:
            fleet.end_engines("a1")
            await fleet.wait_for_quarantined(3)

        run_fleet(test)

    def test_new_instance_learns(self):
        """Guards against an instance that ends engines since it has just started."""

        async def test(fleet: Fleet) -> None:
            fleet.end_engines("a1")
            await fleet.wait_for_quarantined(3)
            fleet.start("b2", "b")
            await fleet.wait_for_quarantined(4)

        run_fleet(test)

    def test_instance_behind_a_partition_learns_when_it_heals(self):
        """Guards against an instance that missed the news for good."""

        async def test(fleet: Fleet) -> None:
            for other in ("a1", "a2"):
                fleet.hub.partition("b1", other)
            await asyncio.sleep(1.2)
            fleet.end_engines("a1")
            await fleet.wait_for_quarantined(2)
            for other in ("a1", "a2"):
                fleet.hub.heal("b1", other)
            await fleet.wait_for_quarantined(3)

        run_fleet(test)

    def test_answer_on_the_part_clears_it_at_all(self):
        """Guards against a part that stays refused after it was mended."""

        async def test(fleet: Fleet) -> None:
            fleet.end_engines("a1")
            await fleet.wait_for_quarantined(3)
            fleet.quarantines["b1"].record_good(["p"])
            await fleet.wait_for_quarantined(0)

        run_fleet(test)
