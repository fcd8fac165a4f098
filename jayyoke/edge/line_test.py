"""Tests of requests that wait for a place."""

from __future__ import annotations

import asyncio

from jayyoke.edge.line import MAX_WAITING, WaitingLine


class TestWaitingLine:
    def test_most_urgent_is_called_first(self):
        """Guards against urgent requests behind a queue of less urgent ones."""

        async def test() -> None:
            line = WaitingLine()
            order: list[str] = []

            async def wait(name: str, rank: int, deadline_s: float) -> None:
                await line.wait(rank, deadline_s, 10.0)
                order.append(name)

            tasks = [
                asyncio.create_task(wait("late", 1, 9.0)),
                asyncio.create_task(wait("low", 2, 1.0)),
                asyncio.create_task(wait("early", 1, 3.0)),
                asyncio.create_task(wait("urgent", 0, 9.0)),
            ]
            await asyncio.sleep(0)
            for _ in tasks:
                line.call_next()
            await asyncio.gather(*tasks)
            assert order == ["urgent", "early", "late", "low"]

        asyncio.run(test())

    def test_new_request_does_not_pass_a_more_urgent_one(self):
        async def test() -> None:
            line = WaitingLine()
            task = asyncio.create_task(line.wait(1, 5.0, 10.0))
            await asyncio.sleep(0)
            assert line.outranked(2, 1.0)
            assert not line.outranked(0, 9.0)
            line.call_next()
            await task
            assert not line.outranked(2, 1.0)

        asyncio.run(test())

    def test_cancelled_request_leaves_the_line(self):
        """Guards against a place that is given to a caller who has gone."""

        async def test() -> None:
            line = WaitingLine()
            task = asyncio.create_task(line.wait(0, 1.0, 10.0))
            await asyncio.sleep(0)
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            assert len(line) == 0

        asyncio.run(test())

    def test_line_has_an_end(self):
        async def test() -> None:
            line = WaitingLine()
            tasks = [asyncio.create_task(line.wait(0, 1.0, 10.0)) for _ in range(MAX_WAITING)]
            await asyncio.sleep(0)
            assert line.full
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        asyncio.run(test())
