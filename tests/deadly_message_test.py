"""Tests of `jayyoked` before engines that end when they answer on a certain message."""

from __future__ import annotations

import asyncio

import openai
import pytest
from aiohttp import web

from jayyoke.core.code import ANSWER_BROKEN, PART_QUARANTINED
from jayyoke.ops.partrecord import HOLDS_S, NEW_PART_LIMIT
from standin.inprocessrouter import KEY, Router, run_router
from standin.scriptedengine import ScriptedEngine

SOUND = {"role": "system", "content": "answer briefly"}
DEADLY = {"role": "user", "content": "the text that ends engines"}
ENGINES = 8


DOWN_S = 0.5


class EndingEngine(ScriptedEngine):
    """Ends when it begins to answer on the message, and is back at its address after a while."""

    deadly_received = 0
    _restarting: asyncio.Task | None = None

    async def _run_script(self, request, body, steps):
        if DEADLY not in body["messages"]:
            return await super()._run_script(request, body, steps)
        self.deadly_received += 1
        headers = {
            "X-Request-Id": request.headers["X-Request-Id"],
            "X-Engine-Incarnation": f"life-{self.deadly_received}",
            "Content-Type": "text/event-stream",
        }
        await web.StreamResponse(headers=headers).prepare(request)
        for site in list(self._runner.sites):
            await site.stop()
        self._restarting = asyncio.create_task(self._restart())
        await asyncio.sleep(0.12)
        request.transport.abort()
        raise ConnectionResetError

    async def _restart(self) -> None:
        await asyncio.sleep(DOWN_S)
        host, _, port = self.address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()


async def send_chat(router: Router, *messages: dict, count: int = 0) -> str:
    """Send a chat whose last message is its own."""
    client = openai.AsyncOpenAI(api_key=KEY, base_url=f"{router.url}/v1", max_retries=0, timeout=30)
    own = {"role": "user", "content": f"question {count}"}
    completion = await client.chat.completions.create(
        model="draft", messages=[*messages, own], max_tokens=4
    )
    return completion.choices[0].message.content


def run_engines(test) -> None:
    """Run a test with a router before engines that end on the message."""

    async def main() -> None:
        engines = [EndingEngine(f"e{number}") for number in range(ENGINES)]
        async with run_router(*engines) as router:
            await test(router, engines)

    asyncio.run(main())


class TestDeadlyMessage:
    """Tests what reaches the engines while chats with the message keep coming."""

    def test_message_that_ends_engines_is_kept_from_them(self):
        """Guards against a chat that ends one engine after the other."""

        async def test(router: Router, engines: list[EndingEngine]) -> None:
            await send_chat(router, SOUND)
            codes = []
            for count in range(6):
                with pytest.raises(openai.APIStatusError) as found:
                    await send_chat(router, SOUND, DEADLY, count=count)
                codes.append(found.value.body["code"])
            assert sum(engine.deadly_received for engine in engines) == NEW_PART_LIMIT
            assert codes == [ANSWER_BROKEN] + 5 * [PART_QUARANTINED]
            retry_after_s = float(found.value.response.headers["Retry-After"])
            assert retry_after_s == pytest.approx(HOLDS_S[0], abs=2)
            assert found.value.response.headers["Jayyoke-Run"] == "not-run"

        run_engines(test)

    @pytest.mark.parametrize("count", [70, 300])
    def test_message_is_recognized_in_a_long_chat(self, count):
        """Guards against a deadly message that is in no evidence because others follow it."""
        chat = [{"role": "user", "content": f"message {number}"} for number in range(count)]

        async def test(router: Router, engines: list[EndingEngine]) -> None:
            await send_chat(router, SOUND, *chat)
            for number in range(6):
                with pytest.raises(openai.APIStatusError):
                    await send_chat(router, SOUND, DEADLY, *chat, count=number)
            assert sum(engine.deadly_received for engine in engines) == NEW_PART_LIMIT

        run_engines(test)

    def test_sound_chats_beside_it_are_answered(self):
        """Guards against chats that are refused for the messages that they share."""

        async def test(router: Router, engines: list[EndingEngine]) -> None:
            for count in range(4):
                with pytest.raises(openai.APIStatusError):
                    await send_chat(router, SOUND, DEADLY, count=count)
                await asyncio.sleep(2 * DOWN_S)
                assert await send_chat(router, SOUND, count=100 + count)
            received = sum(engine.deadly_received for engine in engines)
            # One more end tells the message from the question that came with it first.
            assert received <= NEW_PART_LIMIT + 1

        run_engines(test)
