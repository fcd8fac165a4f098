"""Tests of `jayyoked` before an engine that stands still for a while."""

from __future__ import annotations

import asyncio

import pytest

from standin.inprocessrouter import run_router
from standin.scriptedengine import ScriptedEngine
from tests.answers_test import EXPECTED, send_chat, wait_until_idle

# Longer than the silence after which a stream counts as broken.
STANDSTILL_S = 4.0


class StandingEngine(ScriptedEngine):
    """Writes some tokens, stands still with all its connections, and then goes on."""

    def __init__(self, name: str, standstill_s: float = STANDSTILL_S):
        super().__init__(name)
        self._standstill_s = standstill_s
        self._until_s: float | None = None

    async def _run_step(self, request, response, body, step, start):
        if self._until_s is None:
            start = await super()._run_step(request, response, body, "3", start)
            self._until_s = asyncio.get_running_loop().time() + self._standstill_s
        await self._stand_still()
        return await super()._run_step(request, response, body, step, start)

    async def _run_script(self, request, body, steps):
        await self._stand_still()
        return await super()._run_script(request, body, steps)

    async def _stand_still(self) -> None:
        if self._until_s is not None:
            await asyncio.sleep(max(0.0, self._until_s - asyncio.get_running_loop().time()))


class TestStandstill:
    """Tests streams that no other engine can take over."""

    @pytest.mark.parametrize("stream", [True, False])
    @pytest.mark.parametrize("others", [0, 1, 2])
    def test_stream_is_whole(self, others, stream):
        """Guards against a stream that is cut although its engine goes on in time."""

        async def run() -> None:
            full = [ScriptedEngine(f"full-{n}", *["status:503"] * 50) for n in range(others)]
            async with run_router(StandingEngine("one"), *full) as router:
                assert await send_chat(router, stream) == EXPECTED
                await wait_until_idle(router)

        asyncio.run(run())

    def test_stream_is_whole_without_a_retry_budget(self):
        """Guards against streams that are cut since many others stand still too."""

        async def run() -> None:
            async with run_router(StandingEngine("one")) as router:
                while router.node.limits.retries.spend():
                    pass
                assert await send_chat(router) == EXPECTED
                await wait_until_idle(router)

        asyncio.run(run())

    def test_other_engine_finishes_the_stream(self):
        """Guards against a stream that waits for an engine that stands still for long."""

        async def run() -> None:
            one, two = StandingEngine("one", 60.0), ScriptedEngine("two")
            async with run_router(one, two) as router:
                async with asyncio.timeout(8.0):
                    assert await send_chat(router) == EXPECTED
                await wait_until_idle(router)
            assert router.placer.placed == ["one", "two"]

        asyncio.run(run())

    def test_new_connection_to_the_same_engine_finishes_the_stream(self):
        """Guards against a stream that waits for a connection that has gone silent."""

        async def run() -> None:
            one = ScriptedEngine("one", "3 silent")
            async with run_router(one) as router:
                async with asyncio.timeout(4.0):
                    assert await send_chat(router) == EXPECTED
                await wait_until_idle(router)
            assert len(one.ports) == 2

        asyncio.run(run())
