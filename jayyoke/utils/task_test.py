"""Tests of how background tasks end."""

from __future__ import annotations

import asyncio

from jayyoke.utils.task import end_tasks


class TestEndTasks:
    def test_without_tasks(self):
        asyncio.run(end_tasks([]))

    def test_task_that_loses_a_cancellation_ends_too(self):
        """Guards against a stop that waits for ever."""

        async def follow() -> None:
            try:
                await asyncio.sleep(3600)
            except asyncio.CancelledError:
                pass
            await asyncio.sleep(3600)

        async def test() -> asyncio.Task:
            task = asyncio.create_task(follow())
            await asyncio.sleep(0)
            await end_tasks([task])
            return task

        assert asyncio.run(test()).cancelled()
