"""Tests of the store's client against the stand-in of the store."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Awaitable, Callable

import aiohttp
import pytest

from jayyoke.core.error import StoreUnavailable
from jayyoke.platform import rowstore
from jayyoke.platform.rowstore import RowStore
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
