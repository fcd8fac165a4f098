"""Tests of cancelling background tasks."""

from __future__ import annotations

import asyncio

from jayyoke.utils.task import cancel_tasks


class TestEndTasks:
    def test_without_tasks(self):
        asyncio.run(cancel_tasks([]))

    def test_task_that_loses_a_cancellation_is_cancelled_again(self):
        """Guards against a shutdown that waits for ever for a task."""

        async def ignore_first_cancellation() -> None:
            try:
                await asyncio.sleep(3600)
            except asyncio.CancelledError:
                pass
            await asyncio.sleep(3600)

        async def test() -> asyncio.Task:
            task = asyncio.create_task(ignore_first_cancellation())
            await asyncio.sleep(0)
            await cancel_tasks([task])
            return task

        assert asyncio.run(test()).cancelled()
