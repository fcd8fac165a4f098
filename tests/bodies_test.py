"""Tests chats of `jayyoked` whose bodies together are larger than an instance may hold."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncIterator

import pytest

from jayyoke.core import code
from jayyoke.ops.bodybudget import MAX_HELD_BYTES, SMALL_BODIES_RESERVE_BYTES
from standin.inprocessrouter import KEY, Router, run_router
from standin.scriptedengine import ScriptedEngine
from tests.answers_test import EXPECTED, send_chat, wait_until_idle

CALLS = 24
PART_BYTES = 256 << 10


def build_body(text: str, stream: bool) -> bytes:
    """Return a chat whose text is sent as UTF-8, without escapes."""
    messages = [{"role": "user", "content": text}]
    document = {"model": "draft", "messages": messages, "max_tokens": 8, "stream": stream}
    return json.dumps(document, ensure_ascii=False).encode()


async def send_in_parts(body: bytes) -> AsyncIterator[bytes]:
    for start in range(0, len(body), PART_BYTES):
        yield body[start : start + PART_BYTES]


async def send_body(router: Router, body: bytes, chunked: bool = False) -> tuple[int, dict, bytes]:
    """Return the status, the headers and the body of an answer."""
    headers = {"Authorization": f"Bearer {KEY}"}
    url = router.url + "/v1/chat/completions"
    data = send_in_parts(body) if chunked else body
    async with router.http.post(url, data=data, headers=headers) as answer:
        return answer.status, dict(answer.headers), await answer.read()


# Text, whether the answer is streamed, and whether the body has no length. Engines get JSON in
# ASCII for answers that are not streamed, which has three times the size for text like the last.
FORMS = {
    "with-length": ("x" * 3_900_000, True, False),
    "in-chunks": ("x" * 3_900_000, True, True),
    "longer-for-engines": ("é" * 650_000, False, False),
}


class TestLargeBodies:
    """Tests bodies that each keep to the limit of one body."""

    @pytest.mark.parametrize("name", FORMS)
    def test_held_bodies_are_bounded_together(self, name):
        """Guards against bodies of many callers that take an instance over its memory."""
        text, stream, chunked = FORMS[name]
        body = build_body(text, stream)

        async def run() -> None:
            engine = ScriptedEngine("one", *["1 wait rest stop"] * CALLS)
            async with run_router(engine) as router:
                calls = []
                for _ in range(CALLS):
                    calls.append(asyncio.create_task(send_body(router, body, chunked)))
                async with asyncio.timeout(30):
                    while len(engine.bodies) + sum(call.done() for call in calls) < CALLS:
                        await asyncio.sleep(0.01)
                refused = [call.result() for call in calls if call.done()]
                sent_bytes = [int(headers["Content-Length"]) for headers in engine.headers]
                assert 4 << 20 < sum(sent_bytes) <= MAX_HELD_BYTES
                assert len(refused) + len(sent_bytes) == CALLS
                for status, headers, answer in refused:
                    assert (status, json.loads(answer)["code"]) == (503, code.BODIES_FULL)
                    assert headers["Jayyoke-Run"] == "not-run"
                    assert headers["Retry-After"] == "1"
                # The reserve is for chats of the usual size.
                engine.scripts.clear()
                assert await send_chat(router) == EXPECTED
                engine.continue_event.set()
                answers = await asyncio.gather(*calls)
                assert sum(status == 200 for status, _, _ in answers) == len(sent_bytes)
                await wait_until_idle(router)
                status, _, _ = await send_body(router, body, chunked)
                assert status == 200

        asyncio.run(run())

    def test_caller_that_leaves_frees_its_body(self):
        """Guards against an instance that counts bodies of callers who have left."""
        body = build_body("x" * 3_900_000, True)
        fitting = (MAX_HELD_BYTES + SMALL_BODIES_RESERVE_BYTES) // len(body)

        async def run() -> None:
            engine = ScriptedEngine("one", *["1 wait rest stop"] * fitting)
            async with run_router(engine) as router:
                for _ in range(2):
                    engine.bodies.clear()
                    calls = [asyncio.create_task(send_body(router, body)) for _ in range(fitting)]
                    async with asyncio.timeout(30):
                        while len(engine.bodies) + sum(call.done() for call in calls) < fitting:
                            await asyncio.sleep(0.01)
                    assert len(engine.bodies) == MAX_HELD_BYTES // len(body)
                    for call in calls:
                        call.cancel()
                    await asyncio.gather(*calls, return_exceptions=True)
                    await wait_until_idle(router)
                    engine.scripts = ["1 wait rest stop"] * fitting

        asyncio.run(run())
