"""Tests of batched commits."""

from __future__ import annotations

import asyncio
import random

import pytest

from bench.memory import MemoryTable, VirtualLoop
from jayyoke.core.error import Conflict, Effect, StoreUnavailable
from jayyoke.core.member import Member
from jayyoke.ops.batch import BatchWriter
from jayyoke.platform.table import Put
from jayyoke.wire.local import LocalHub


def run_virtual(scenario) -> None:
    loop = VirtualLoop()
    try:
        loop.run_until_complete(scenario())
    finally:
        loop.close()


def build_writers(fault_rate: float = 0.0):
    hub = LocalHub()
    table = MemoryTable(random.Random(1), fault_rate)
    writers = [BatchWriter(table, hub.join(Member(name, "d", 1, ""))) for name in ("a", "b", "c")]
    return hub, table, writers


class TestBatch:
    def test_conflict_fails_only_its_group(self):
        """Guards against one conflict that fails the claims of other callers."""

        async def scenario() -> None:
            _, table, writers = build_writers()
            table.rows["taken"] = (b"", 1)
            groups = [[Put("x", b"1", 0)], [Put("y", b"2", 0), Put("taken", b"3", 0)]]
            groups.append([Put("z", b"4", 0)])
            results = await asyncio.gather(
                *(writer.commit(group) for writer, group in zip(writers, groups, strict=True)),
                return_exceptions=True,
            )
            assert [type(result) for result in results] == [type(None), Conflict, type(None)]
            assert results[1].indexes == (1,)
            assert sorted(table.rows) == ["taken", "x", "z"]

        run_virtual(scenario)

    def test_racing_claims_of_one_key_have_one_winner(self):
        """Guards against two claims of a key in one transaction."""

        async def scenario() -> None:
            _, table, writers = build_writers()
            results = await asyncio.gather(
                *(writer.commit([Put("key", b"1", 0)]) for writer in writers),
                return_exceptions=True,
            )
            assert sorted(isinstance(result, Conflict) for result in results) == [0, 1, 1]
            assert table.rows["key"] == (b"1", 1)

        run_virtual(scenario)

    def test_unknown_effects_reach_every_caller_as_unknown(self):
        """Guards against a lost answer that the writer reports as no effect."""

        async def scenario() -> None:
            _, table, writers = build_writers()

            async def lose_answer(puts) -> None:
                raise StoreUnavailable("answer lost", Effect.UNKNOWN)

            table.commit = lose_answer
            for writer in writers:
                with pytest.raises(StoreUnavailable) as caught:
                    await writer.commit([Put("key", b"1", 0)])
                assert caught.value.effect is Effect.UNKNOWN

        run_virtual(scenario)

    def test_unreachable_writer_is_bypassed(self):
        """Guards against claims that wait for a writer behind a partition."""

        async def scenario() -> None:
            hub, table, writers = build_writers()
            for one, other in (("a", "b"), ("a", "c"), ("b", "c")):
                hub.partition(one, other)
            for index, writer in enumerate(writers):
                await writer.commit([Put(f"key{index}", b"1", 0)])
            assert len(table.rows) == 3

        run_virtual(scenario)
