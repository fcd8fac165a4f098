"""Tests of requests that wait for a free slot."""

from __future__ import annotations

import asyncio

from jayyoke.edge.waitqueue import MAX_WAITING, WaitQueue


class TestWaitQueue:
    def test_most_urgent_is_woken_first(self):
        """Guards against urgent requests behind a queue of less urgent ones."""

        async def test() -> None:
            queue = WaitQueue()
            order: list[str] = []

            async def wait(name: str, rank: int, deadline_s: float) -> None:
                await queue.wait(rank, deadline_s, 10.0)
                order.append(name)

            tasks = [
                asyncio.create_task(wait("late", 1, 9.0)),
                asyncio.create_task(wait("low", 2, 1.0)),
                asyncio.create_task(wait("early", 1, 3.0)),
                asyncio.create_task(wait("urgent", 0, 9.0)),
            ]
            await asyncio.sleep(0)
            for _ in tasks:
                queue.wake_next()
            await asyncio.gather(*tasks)
            assert order == ["urgent", "early", "late", "low"]

        asyncio.run(test())

    def test_more_urgent_waiting_request_goes_before_a_new_one(self):
        async def test() -> None:
            queue = WaitQueue()
            task = asyncio.create_task(queue.wait(1, 5.0, 10.0))
            await asyncio.sleep(0)
            assert queue.outranked(2, 1.0)
            assert not queue.outranked(0, 9.0)
            queue.wake_next()
            await task
            assert not queue.outranked(2, 1.0)

        asyncio.run(test())

    def test_cancelled_request_leaves_the_queue(self):
        """Guards against a slot that is given to a caller that has gone."""

        async def test() -> None:
            queue = WaitQueue()
            task = asyncio.create_task(queue.wait(0, 1.0, 10.0))
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert len(queue) == 0

        asyncio.run(test())

    def test_queue_is_bounded(self):
        async def test() -> None:
            queue = WaitQueue()
            tasks = [asyncio.create_task(queue.wait(0, 1.0, 10.0)) for _ in range(MAX_WAITING)]
            await asyncio.sleep(0)
            assert queue.full
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        asyncio.run(test())
