"""Tests of the quarantined parts that the store keeps."""

from __future__ import annotations

import asyncio
import json

import aiohttp
import pytest

from jayyoke.edge.partstorage import QUARANTINE_TABLE, StorePartStorage
from jayyoke.edge.storeclock import StoreClock
from jayyoke.ops import quarantinerows
from jayyoke.ops.partrecord import EngineEnd, PartEvidence
from jayyoke.ops.quarantine import Quarantine
from jayyoke.ops.quarantinerows import (
    InvalidStoredPart,
    QuarantineRows,
    decode_stored_part,
)
from jayyoke.platform.rowstore import RowStore
from jayyoke.platform.table import Put, Row
from jayyoke.utils.boottime import read_boot_time_s
from jayyoke.utils.task import cancel_tasks
from standin.rowstore import RowStoreServer


class Instance:
    """Holds a quarantine and the rows that it keeps."""

    def __init__(self, http: aiohttp.ClientSession, server: RowStoreServer):
        self.store = RowStore(http, server.address)
        self.clock = StoreClock(read_boot_time_s)
        self.quarantine = Quarantine(read_boot_time_s)
        self.problems: list[str] = []
        self.writer = False
        self.rows = QuarantineRows(
            self.quarantine,
            StorePartStorage(self.store, self.clock),
            read_boot_time_s,
            lambda key: None,
            self.problems.append,
            lambda key: self.writer,
        )
        self.task = asyncio.create_task(self.rows.run())

    def quarantine_part(self, key: str) -> None:
        """Let two engines end under a part."""
        now_s = read_boot_time_s()
        for engine, at_s in (("e1", now_s - 3), ("e2", now_s - 1)):
            self.quarantine.record_end([key], EngineEnd(engine, at_s))
        self.rows.mark_changed(key)

    async def list_rows(self) -> list[Row]:
        """Return the stored rows."""
        return list((await self.store.read(QUARANTINE_TABLE)).rows)


async def wait_until(condition) -> None:
    """Wait until an awaited condition holds."""
    async with asyncio.timeout(10):
        while not await condition():
            await asyncio.sleep(0.02)


def run_case(test) -> None:
    """Run a test with a store and a function that starts instances."""

    async def main() -> None:
        server = RowStoreServer()
        await server.start()
        started: list[Instance] = []
        async with aiohttp.ClientSession() as http:

            def start() -> Instance:
                started.append(Instance(http, server))
                return started[-1]

            start.server = server
            await test(start)
            await cancel_tasks(found.task for found in started)
        await server.close()

    asyncio.run(main())


class TestRestart:
    """Tests a restart of all instances."""

    def test_part_is_known_after_a_restart_of_all(self):
        """Guards against engines that end again after each restart of the fleet."""

        async def test(start) -> None:
            first = start()
            first.quarantine_part("pool/p")

            async def is_stored() -> bool:
                return len(await first.list_rows()) == 1

            await wait_until(is_stored)
            second = start()

            async def is_known() -> bool:
                return second.quarantine.list_quarantined() == ["pool/p"]

            await wait_until(is_known)
            ages_s = [
                read_boot_time_s() - end.at_s for end in second.quarantine.describe("pool/p").ends
            ]
            assert sorted(round(age_s) for age_s in ages_s) == [1, 3]

        run_case(test)

    def test_rows_are_written_again_after_an_older_copy(self):
        """Guards against a part that is free after a restart because the store lost its row."""

        async def test(start) -> None:
            first = start()

            async def is_stored() -> bool:
                return len(await first.list_rows()) == 1

            copy = start.server.save_copy()
            first.quarantine_part("pool/p")
            await wait_until(is_stored)
            for _ in range(2):
                start.server.return_to(copy)
                assert not await is_stored()
                first.rows.write_again()
                await wait_until(is_stored)

        run_case(test)

    def test_row_of_another_that_is_gone_is_written_by_its_writers(self):
        """Guards against rows that only an instance which has ended would write again."""

        async def test(start) -> None:
            other = start()
            other.quarantine.merge(
                [PartEvidence("pool/p", tuple(EngineEnd(f"e{n}", n) for n in range(2)))]
            )
            assert other.quarantine.list_quarantined() == ["pool/p"]

            async def is_stored() -> bool:
                return len(await other.list_rows()) == 1

            other.rows.write_again()
            await asyncio.sleep(0.2)
            assert not await is_stored()
            other.writer = True
            other.rows.write_again()
            await wait_until(is_stored)

        run_case(test)

    def test_row_of_a_cleared_part_is_removed(self):
        """Guards against rows that nobody removes, and parts that come back with them."""

        async def test(start) -> None:
            first = start()
            first.quarantine_part("pool/p")

            async def is_stored() -> bool:
                return len(await first.list_rows()) == 1

            async def is_empty() -> bool:
                return await first.list_rows() == []

            await wait_until(is_stored)
            for key in first.quarantine.record_good(["pool/p"]):
                first.rows.mark_changed(key)
            await wait_until(is_empty)

        run_case(test)

    def test_old_and_odd_rows_are_removed(self, monkeypatch):
        """Guards against a table that grows for ever."""
        monkeypatch.setattr(quarantinerows, "KEPT_S", 0.05)

        async def test(start) -> None:
            first = start()
            # Its own read of the table is over.
            await asyncio.sleep(0.2)
            old = json.dumps({"part": "p", "ends": [["e1", 0]]}).encode()
            rows = [Put("odd", b"{", None), Put("list", b"[]", None), Put("old", old, None)]
            await first.store.write(QUARANTINE_TABLE, rows)
            await asyncio.sleep(0.1)
            second = start()

            async def is_empty() -> bool:
                return await second.list_rows() == []

            await wait_until(is_empty)
            assert second.quarantine.suspected == 0
            assert len(second.problems) == 2

        run_case(test)


class TestRow:
    """Tests rows of other writers."""

    @pytest.mark.parametrize(
        "value",
        [
            b"",
            b"[]",
            b"{}",
            b'{"part": 1, "ends": []}',
            b'{"part": "", "ends": []}',
            b'{"part": "p", "ends": 1}',
            b'{"part": "p", "ends": [[1, 2]]}',
            b'{"part": "p", "ends": [["e", -1]]}',
            b'{"part": "p", "ends": [["e", 1e999]]}',
            b'{"part": "p", "ends": [["e"]]}',
            b'{"part": "p", "ends": ' + b"[" * 5000 + b"]" * 5000 + b"}",
        ],
    )
    def test_odd_row_is_no_part(self, value):
        """Guards against a process that ends because of an odd row."""
        with pytest.raises(InvalidStoredPart):
            decode_stored_part(Row("k", value, 1))
