"""Tests of the store's client against the stand-in of the store."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import aiohttp
import pytest

from jayyoke.core.error import Conflict, Effect, StoreUnavailable
from jayyoke.edge.storeera import StoreEra
from jayyoke.platform import rowstore
from jayyoke.platform.rowstore import EraChanged, HistoryLost, RowStore
from jayyoke.platform.table import Put
from jayyoke.utils.task import cancel_tasks
from standin.rowstore import Fault, RowStoreServer

# Row of the size of the grown deployments' configuration; their narrowest link.
LARGE_ROW = b"x" * (512 << 10)
NARROW_LINK_BYTES_PER_S = 5_000_000 / 8


def run_store(test: Callable[[RowStoreServer, RowStore], Awaitable[None]]) -> None:
    """Run a test with a store and its client."""

    async def run() -> None:
        standin = RowStoreServer()
        await standin.start()
        try:
            async with aiohttp.ClientSession() as http:
                await test(standin, RowStore(http, standin.address))
        finally:
            await standin.close()

    asyncio.run(run())


class TestNarrowLink:
    def test_read_that_takes_longer_than_a_call_is_awaited(self):
        """Guards against reads that time out while data arrives, and start again."""

        async def test(standin: RowStoreServer, store: RowStore) -> None:
            standin.put("op", "config", LARGE_ROW)
            standin.link_bytes_per_s = NARROW_LINK_BYTES_PER_S
            page = await store.read("op")
            assert page.rows[0].value == LARGE_ROW

        run_store(test)

    def test_feed_whose_changes_take_longer_than_its_wait_is_awaited(self):
        """Guards against changes that never arrive over a narrow link."""

        async def test(standin: RowStoreServer, store: RowStore) -> None:
            standin.put("op", "config", LARGE_ROW)
            standin.link_bytes_per_s = NARROW_LINK_BYTES_PER_S
            page = await store.follow("op", 0, 0.2)
            assert page.rows[0].value == LARGE_ROW

        run_store(test)


class TestSilentStore:
    @pytest.mark.parametrize("call", ["read", "feed"])
    def test_silence_ends_a_call(self, call):
        """Guards against waiting for a connection that has gone silent."""

        async def test(standin: RowStoreServer, store: RowStore) -> None:
            standin.fault = Fault.SILENT
            async with asyncio.timeout(rowstore.TRANSFER_TIMEOUT_S):
                with pytest.raises(StoreUnavailable):
                    await (store.read("op") if call == "read" else store.follow("op", 0, 0.2))

        run_store(test)

    def test_silence_within_an_answer_ends_a_call(self):
        """Guards against waiting for an answer that has stopped half way."""

        async def test(standin: RowStoreServer, store: RowStore) -> None:
            standin.put("op", "config", LARGE_ROW)
            standin.link_bytes_per_s = NARROW_LINK_BYTES_PER_S
            standin.silent_after_bytes = len(LARGE_ROW) // 2
            async with asyncio.timeout(rowstore.TRANSFER_TIMEOUT_S):
                with pytest.raises(StoreUnavailable):
                    await store.read("op")

        run_store(test)


class TestStop:
    def test_cancellation_together_with_the_timeout_ends_the_task(self):
        """Guards against a task that ignores its cancellation, so that its process never stops."""

        async def follow(store: RowStore) -> None:
            while True:
                try:
                    await store.write("members", [])
                except StoreUnavailable:
                    continue

        async def test(standin: RowStoreServer, store: RowStore) -> None:
            standin.fault = Fault.SILENT
            task = asyncio.create_task(follow(store))
            loop = asyncio.get_running_loop()
            # A blocked loop runs the client's timeout and the cancellation together.
            loop.call_later(rowstore.CALL_TIMEOUT_S / 2, time.sleep, rowstore.CALL_TIMEOUT_S)
            await asyncio.sleep(rowstore.CALL_TIMEOUT_S * 0.95)
            await cancel_tasks([task])
            assert task.cancelled()

        run_store(test)


class TestEra:
    """Tests what answers tell of the store's return from an older copy."""

    def run(self, test: Callable[[RowStoreServer, RowStore, StoreEra], Awaitable[None]]) -> None:
        async def main() -> None:
            standin = RowStoreServer()
            await standin.start()
            standin.era = 1
            era = StoreEra()
            try:
                async with aiohttp.ClientSession() as http:
                    await test(standin, RowStore(http, standin.address, era=era), era)
            finally:
                await standin.close()

        asyncio.run(main())

    @pytest.mark.parametrize("answer", ["read", "feed", "write", "busy", "conflict", "history"])
    def test_answer_of_any_status_names_the_era(self, answer):
        """Guards against a return that is noticed only by the next answer with rows."""

        async def test(standin: RowStoreServer, store: RowStore, era: StoreEra) -> None:
            standin.put("op", "a", {})
            match answer:
                case "read":
                    assert (await store.read("op")).era == 1
                case "feed":
                    assert (await store.follow("op", 0, 0.1)).era == 1
                case "write":
                    assert (await store.write("op", [Put("b", b"1")])).era == 1
                case "busy":
                    standin.fault = Fault.BUSY
                    with pytest.raises(StoreUnavailable):
                        await store.read("op")
                case "conflict":
                    with pytest.raises(Conflict):
                        await store.write("op", [Put("a", b"1", 0)])
                case "history":
                    with pytest.raises(HistoryLost):
                        await store.follow("op", 99, 0.1)
            assert era.value == 1

        self.run(test)

    @pytest.mark.parametrize("value", ["", "x", "-1", "1.5", "9" * 30, "\u00b2"])
    def test_malformed_era_counts_as_absent(self, value):
        """Guards against an answer that is lost because of its header."""

        async def test(standin: RowStoreServer, store: RowStore, era: StoreEra) -> None:
            standin.put("op", "a", {})
            standin.era = value  # type: ignore[assignment]
            assert len((await store.read("op")).rows) == 1
            assert era.value == 0

        self.run(test)

    def test_condition_of_an_older_era_is_not_sent(self):
        """Guards against a write over a row that got the revision of the expected one."""

        async def test(standin: RowStoreServer, store: RowStore, era: StoreEra) -> None:
            copy = standin.save_copy()
            revision = standin.put("op", "a", {"from": "era 1"})
            page = await store.read("op")
            standin.return_to(copy)
            assert standin.put("op", "a", {"from": "era 2"}) == revision
            era.update(2)
            calls = standin.calls
            with pytest.raises(EraChanged) as raised:
                await store.write("op", [Put("a", b"mine", revision)], page.era)
            assert (raised.value.effect, standin.calls) == (Effect.NONE, calls)
            assert standin.read("op")["a"] == b'{"from": "era 2"}'

        self.run(test)

    def test_write_that_was_answered_in_another_era_is_not_taken_for_done(self):
        """Guards against a lease that counts as renewed by a revision given out again."""

        async def test(standin: RowStoreServer, store: RowStore, era: StoreEra) -> None:
            copy = standin.save_copy()
            revision = standin.put("op", "a", {"from": "era 1"})
            page = await store.read("op")
            standin.return_to(copy)
            assert standin.put("op", "a", {"from": "era 2"}) == revision
            with pytest.raises(EraChanged) as raised:
                await store.write("op", [Put("a", b"mine", revision)], page.era)
            assert raised.value.effect is Effect.UNKNOWN
            assert era.value == 2

        self.run(test)

    def test_table_of_several_pages_is_of_one_era(self, monkeypatch):
        """Guards against a table whose pages are from before and after the store's return."""

        async def test(standin: RowStoreServer, store: RowStore, era: StoreEra) -> None:
            monkeypatch.setattr(rowstore, "PAGE_ROWS", 2)
            for key in "abc":
                standin.put("op", key, {})
            copy = standin.save_copy()
            standin.put("op", "a2", {})
            call = store._read

            async def read_and_return(path, query, silence_timeout_s):
                answer = await call(path, query, silence_timeout_s)
                if era.value == 1:
                    standin.return_to(copy)
                return answer

            monkeypatch.setattr(RowStore, "_read", lambda self, *args: read_and_return(*args))
            page = await store.read("op")
            assert ([row.key for row in page.rows], page.era) == (["a", "b", "c"], 2)

        self.run(test)

    def test_lost_history_of_a_whole_read_is_a_store_that_is_away(self):
        """Guards against tasks that end at a status which they do not expect of a read."""

        async def test(standin: RowStoreServer, store: RowStore, era: StoreEra) -> None:
            standin.lost_reads = 99
            with pytest.raises(StoreUnavailable):
                await store.read("op")
            assert standin.calls <= 3

        self.run(test)


class TestPages:
    def test_change_between_two_pages_comes_with_the_next_feed(self, monkeypatch):
        """Guards against a change that no instance sees because the last page is newer."""

        async def test(standin: RowStoreServer, store: RowStore) -> None:
            monkeypatch.setattr(rowstore, "PAGE_ROWS", 2)
            for key in "abc":
                standin.put("op", key, {})
            call = store._read
            paths = []

            async def read_and_change(path, query, silence_timeout_s):
                answer = await call(path, query, silence_timeout_s)
                if not paths:
                    standin.put("op", "a", {"changed": 1})
                paths.append(path)
                return answer

            monkeypatch.setattr(RowStore, "_read", lambda self, *args: read_and_change(*args))
            page = await store.read("op")
            changes = await store.follow("op", page.revision, 0.1)
            assert [row.key for row in changes.rows] == ["a"]

        run_store(test)
