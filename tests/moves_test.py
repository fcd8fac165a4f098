"""Tests of version moves by several instances over HTTP stand-ins of the table and engines."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncIterator, Callable
from dataclasses import dataclass, field

import aiohttp
from aiohttp.test_utils import TestServer

from jayyoke.core.clock import SystemClock
from jayyoke.core.error import StoreUnavailable
from jayyoke.core.member import Member
from jayyoke.core.move import MoveActive, MovePhase, OutcomeCounts
from jayyoke.core.upstream import Upstream
from jayyoke.ops import moves as moves_module
from jayyoke.ops.moverow import LEASE_S, LeaseWatch, MoveRow, take_lease, write_move
from jayyoke.ops.moves import Moves
from jayyoke.platform.table import Table
from jayyoke.wire.local import LocalHub
from standin.engine import EngineServer
from standin.table import TableServer

TIMEOUT_S = 30.0
VERSIONS = {"new": "v2"}
GOOD = {"v1": OutcomeCounts(50, 0, 0), "v2": OutcomeCounts(20, 0, 0)}
FAILING = {"v1": OutcomeCounts(50, 0, 0), "v2": OutcomeCounts(5, 5, 0)}


class SharedHalts:
    """Keeps the halts of all instances in one place, instead of exchanging them between peers."""

    def __init__(self) -> None:
        self.halted: dict[tuple[str, str], str] = {}

    def halt(self, move: str, version: str, reason: str) -> None:
        self.halted[(move, version)] = reason

    def is_halted(self, move: str, version: str) -> bool:
        return (move, version) in self.halted


@dataclass(slots=True)
class MoveFleet:
    """Holds a service of three engines and three instances in three domains."""

    table_server: TableServer
    table: Table
    hub: LocalHub
    instances: list[Moves]
    engines: list[EngineServer]
    upstreams: list[Upstream]
    halts: SharedHalts
    tasks: list[asyncio.Task[None]] = field(default_factory=list)

    def start(self) -> None:
        self.tasks = [asyncio.create_task(instance.run()) for instance in self.instances]

    async def wait_for(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.05)

    def observe(self, counts: dict[str, OutcomeCounts]) -> None:
        for instance in self.instances:
            for version, value in counts.items():
                instance.observe(self.upstreams[0], version, "draft", value)

    def read_phase(self) -> MovePhase:
        return self.instances[0].moves[0].phase


@contextlib.asynccontextmanager
async def run_move_fleet(checks_fencing: bool = True) -> AsyncIterator[MoveFleet]:
    async with contextlib.AsyncExitStack() as stack:
        http = await stack.enter_async_context(aiohttp.ClientSession())
        table_server = TableServer()
        table_test_server = await stack.enter_async_context(TestServer(table_server.build()))
        table = Table(http, str(table_test_server.make_url("")).rstrip("/"))
        engines, upstreams = [], []
        for index in range(3):
            engine = EngineServer(f"e{index}", load_s=0.05, checks_fencing=checks_fencing)
            server = await stack.enter_async_context(TestServer(engine.build()))
            address = f"{server.host}:{server.port}"
            upstreams.append(Upstream(engine.name, "pool", f"d{index}", address, version="v1"))
            engines.append(engine)
        hub, halts, instances = LocalHub(), SharedHalts(), []
        for index in range(3):
            peers = hub.join(Member(f"i{index}", f"d{index}", index + 1, ""))
            instances.append(
                Moves(
                    peers,
                    table,
                    http,
                    SystemClock(),
                    halts,
                    list_engines=lambda service: upstreams,
                    find_version=lambda name: VERSIONS.get(name, "v1"),
                    checks_fencing=lambda service: checks_fencing,
                )
            )
        fleet = MoveFleet(table_server, table, hub, instances, engines, upstreams, halts)
        try:
            yield fleet
        finally:
            for task in fleet.tasks:
                task.cancel()
            await asyncio.gather(*fleet.tasks, return_exceptions=True)


def run_with_fleet(test, **options) -> None:
    async def run_test() -> None:
        async with run_move_fleet(**options) as fleet:
            await test(fleet)

    asyncio.run(run_test())


class TestMove:
    def test_good_version_reaches_every_engine(self):
        """Guards against a move to a good version that does not finish."""

        async def test(fleet: MoveFleet) -> None:
            fleet.start()
            await fleet.instances[0].start("pool", "v2", 8.0)
            await fleet.wait_for(lambda: bool(fleet.instances[2].moves))
            fleet.observe(GOOD)
            await fleet.wait_for(lambda: fleet.read_phase() is MovePhase.DONE)
            assert [engine.version for engine in fleet.engines] == ["v2"] * 3

        run_with_fleet(test)

    def test_engines_that_ignore_fencing_end_on_the_new_version_too(self):
        """Guards against a move that sends no order to engines which ignore fencing tokens."""

        async def test(fleet: MoveFleet) -> None:
            fleet.start()
            await fleet.instances[0].start("pool", "v2", 8.0)
            await fleet.wait_for(lambda: bool(fleet.instances[2].moves))
            fleet.observe(GOOD)
            await fleet.wait_for(lambda: fleet.read_phase() is MovePhase.DONE)

        run_with_fleet(test, checks_fencing=False)

    def test_bad_version_is_rolled_back_on_pooled_evidence(self):
        """Guards against instances that each see too few failures to act."""

        async def test(fleet: MoveFleet) -> None:
            fleet.start()
            await fleet.instances[0].start("pool", "v2", 60.0)
            await fleet.wait_for(lambda: "v2" in [engine.version for engine in fleet.engines])
            await fleet.wait_for(lambda: bool(fleet.instances[2].moves))
            # One failure at each instance proves nothing by itself.
            fleet.observe({"v1": OutcomeCounts(50, 0, 0), "v2": OutcomeCounts(1, 1, 0)})
            await fleet.wait_for(lambda: fleet.read_phase() is MovePhase.ROLLED_BACK)
            assert [engine.version for engine in fleet.engines] == ["v1"] * 3
            assert "failed" in fleet.instances[0].moves[0].reason

        run_with_fleet(test)

    def test_engine_with_an_order_counts_as_the_new_version_at_every_instance(self):
        """Guards against requests to a new version that an engine loaded between two probes."""

        async def test(fleet: MoveFleet) -> None:
            fleet.start()
            await fleet.instances[0].start("pool", "v2", 60.0)
            await fleet.wait_for(lambda: "v2" in [engine.version for engine in fleet.engines])
            for instance in fleet.instances:
                # No probe has reported to these instances the version that e0 runs now.
                assert instance.select("pool", "any chat", ["e0", "e1"]) == ["e1"]

        run_with_fleet(test)

    def test_halt_works_without_the_table(self):
        """Guards against a bad version that stays in use while the platform is down."""

        async def test(fleet: MoveFleet) -> None:
            fleet.start()
            await fleet.instances[0].start("pool", "v2", 60.0)
            await fleet.wait_for(lambda: all(instance.moves for instance in fleet.instances))
            fleet.table_server.faults.down = True
            fleet.observe(FAILING)
            await fleet.wait_for(lambda: bool(fleet.halts.halted))
            for instance in fleet.instances:
                assert instance.select("pool", "any chat", ["new"]) == []

        run_with_fleet(test)


class TestRace:
    def test_operators_that_race_start_one_move(self):
        """Guards against two moves of one service at once."""

        async def test(fleet: MoveFleet) -> None:
            starts = [
                instance.start("pool", version, 60.0)
                for instance, version in zip(fleet.instances, ("v2", "v2", "v3"), strict=True)
            ]
            results = await asyncio.gather(*starts, return_exceptions=True)
            started = {result.id for result in results if not isinstance(result, Exception)}
            assert len(started) == 1
            assert all(
                isinstance(result, MoveActive)
                for result in results
                if isinstance(result, Exception)
            )

        run_with_fleet(test)

    def test_one_instance_holds_the_lease_and_its_successor_has_a_higher_fencing_token(self):
        """Guards against two holders with equal fencing tokens."""

        async def test(fleet: MoveFleet) -> None:
            move = await fleet.instances[0].start("pool", "v2", 60.0)
            row = await fleet.table.get("move/pool")
            first = MoveRow(move, row.version)
            lease_rows = [await take_lease(fleet.table, first, name) for name in ("a", "b")]
            assert lease_rows[1] is None
            second = await take_lease(fleet.table, lease_rows[0], "b")
            assert second.move.fence > lease_rows[0].move.fence

        run_with_fleet(test)

    def test_paused_holder_cannot_write_after_its_successor(self):
        """Guards against a paused holder that resumes and overwrites its successor's row."""

        async def test(fleet: MoveFleet) -> None:
            move = await fleet.instances[0].start("pool", "v2", 60.0)
            row = await fleet.table.get("move/pool")
            old = await take_lease(fleet.table, MoveRow(move, row.version), "a")
            await take_lease(fleet.table, old, "b")
            try:
                await write_move(fleet.table, old.move, old.version)
            except moves_module.Conflict:
                return
            raise AssertionError("the paused holder's write took effect")

        run_with_fleet(test)


class TestLostAnswer:
    def test_write_whose_answer_is_lost_counts_as_written(self):
        """Guards against a second move, or a lost lease, after a lost answer."""

        async def test(fleet: MoveFleet) -> None:
            fleet.table_server.faults.lose_answers = 1
            move = await fleet.instances[0].start("pool", "v2", 60.0)
            assert fleet.instances[0].moves == (move,)

        run_with_fleet(test)

    def test_start_without_the_table_is_refused(self):
        """Guards against a move that only one instance knows of."""

        async def test(fleet: MoveFleet) -> None:
            fleet.table_server.faults.down = True
            try:
                await fleet.instances[0].start("pool", "v2", 60.0)
            except StoreUnavailable:
                assert fleet.instances[0].moves == ()
                return
            raise AssertionError("the move was started without the table")

        run_with_fleet(test)


class TestLeaseWatch:
    def test_lease_expires_only_without_a_change_for_its_whole_term(self):
        """Guards against a lease taken from a live holder."""
        watch = LeaseWatch()
        row = MoveRow(move=moves_module.Move("m", "s", "a", "b", 0, 1, holder="x"), version=3)
        watch.observe(row, 100.0)
        watch.observe(row, 103.0)
        assert not watch.has_lapsed(row, 100.0 + LEASE_S - 0.1)
        assert watch.has_lapsed(row, 100.0 + LEASE_S)
        newer = MoveRow(row.move, 4)
        watch.observe(newer, 105.0)
        assert not watch.has_lapsed(newer, 100.0 + LEASE_S)
