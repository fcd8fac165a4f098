"""Tests of complete answers through every fault of a stream, with the public openai client."""

from __future__ import annotations

import asyncio
import json

import aiohttp
import openai
import pytest

from standin.enginemodel import generate_token
from standin.inprocessrouter import KEY, Router, run_router
from standin.scriptedengine import ScriptedEngine

TOKENS = 8
PROMPT = [{"role": "user", "content": "weigh the bales"}]
EXPECTED = "".join(generate_token("user weigh the bales", position) for position in range(TOKENS))


def connect(router: Router, key: str = KEY) -> openai.AsyncOpenAI:
    return openai.AsyncOpenAI(api_key=key, base_url=f"{router.url}/v1", max_retries=0, timeout=30)


async def send_chat(router: Router, stream: bool = True, **options) -> str:
    client = connect(router)
    fields = {"model": "draft", "messages": PROMPT, "max_tokens": TOKENS, **options}
    if not stream:
        completion = await client.chat.completions.create(**fields)
        return completion.choices[0].message.content
    parts = []
    async for chunk in await client.chat.completions.create(stream=True, **fields):
        if chunk.choices:
            parts.append(chunk.choices[0].delta.content or "")
    return "".join(parts)


async def wait_until_idle(router: Router) -> None:
    """Wait until the router has ended every request."""
    while router.node.drain.running or router.placer.held:
        await asyncio.sleep(0.01)


class TestResumption:
    @pytest.mark.parametrize("stream", [True, False])
    @pytest.mark.parametrize(
        ("scripts", "resumed_from"),
        [
            (("3 break",), [3]),
            (("3 half break",), [3]),
            (("3 end",), [3]),
            (("3 error",), [3]),
            (("3 half end",), [3]),
            (("crossed 3 stop",), [0]),
            (("2 silent",), [2]),
            (("comments 2 break",), [2]),
        ],
    )
    def test_answer_is_whole_after_one_fault_on_the_same_engine(
        self, stream, scripts, resumed_from
    ):
        """Guards against lost, doubled or split tokens and reuse of the broken connection."""

        async def run() -> None:
            engine = ScriptedEngine("one", *scripts)
            async with run_router(engine) as router:
                assert await send_chat(router, stream) == EXPECTED
                await wait_until_idle(router)
            assert len(set(engine.ports)) == 2
            assert router.placer.placed == ["one"]
            resume_offsets = [int(head.get("X-Resume-From", 0)) for head in engine.headers[1:]]
            assert resume_offsets == resumed_from

        asyncio.run(run())

    @pytest.mark.parametrize(
        "scripts", [("3 break", "mute"), ("3 break", "2 break"), ("status:503",), ("mute", "mute")]
    )
    def test_answer_moves_to_another_engine(self, scripts):
        """Guards against staying with an engine that no longer answers."""

        async def run() -> None:
            one, two = ScriptedEngine("one", *scripts), ScriptedEngine("two")
            async with run_router(one, two) as router:
                assert await send_chat(router) == EXPECTED
                await wait_until_idle(router)
            assert router.placer.placed == ["one", "two"]
            assert router.placer.reported_lost == ([] if scripts == ("status:503",) else ["one"])
            assert len(two.ports) == 1

        asyncio.run(run())

    @pytest.mark.parametrize(
        ("script", "placed"), [("3 break", ["one"]), ("3 restart break", ["one", "two"])]
    )
    def test_broken_stream_moves_away_from_an_engine_that_restarted(self, script, placed):
        """Guards against resuming all streams at a restarted engine while it warms up."""

        async def run() -> None:
            one, two = ScriptedEngine("one", script), ScriptedEngine("two")
            one.incarnation = two.incarnation = "first"
            async with run_router(one, two) as router:
                assert await send_chat(router) == EXPECTED
                await wait_until_idle(router)
            assert router.placer.placed == placed
            assert router.placer.reported_lost == placed[:-1]

        asyncio.run(run())

    def test_stream_broken_after_the_finish_event_is_complete(self):
        """Guards against resuming an answer that already ended."""

        async def run() -> None:
            engine = ScriptedEngine("one", "8 finish break")
            async with run_router(engine) as router:
                assert await send_chat(router) == EXPECTED

        asyncio.run(run())


class TestIncompleteAnswer:
    def test_stream_that_cannot_be_completed_ends_with_an_error(self):
        """Guards against a truncated stream that looks like a normal end."""

        async def run() -> None:
            engine = ScriptedEngine("one", *["1 break"] * 20)
            async with run_router(engine) as router:
                with pytest.raises(openai.APIError):
                    await send_chat(router)
                engine.scripts = ["1 break"] * 20
                body = {"model": "draft", "messages": PROMPT, "stream": True}
                headers = {"Authorization": f"Bearer {KEY}"}
                url = f"{router.url}/v1/chat/completions"
                async with router.http.post(url, json=body, headers=headers) as answer:
                    seen = b""
                    with pytest.raises(aiohttp.ClientPayloadError):
                        async for part in answer.content.iter_any():
                            seen += part
                assert b'"code": "answer-broken"' in seen
                assert b"[DONE]" not in seen
                await wait_until_idle(router)

        asyncio.run(run())

    def test_unstreamed_answer_that_cannot_be_completed_is_refused_as_unknown(self):
        """Guards against a partial answer, and against `not-run` after a dispatch."""

        async def run() -> None:
            engine = ScriptedEngine("one", *["1 break"] * 20)
            async with run_router(engine) as router:
                with pytest.raises(openai.InternalServerError) as caught:
                    await send_chat(router, stream=False)
                assert caught.value.response.headers["Jayyoke-Run"] == "unknown"
                await wait_until_idle(router)

        asyncio.run(run())

    def test_refusal_for_lack_of_engines_after_a_dispatch_is_unknown(self):
        """Guards against placement's `not-run` reaching the caller after an earlier attempt."""

        async def run() -> None:
            engine = ScriptedEngine("one", "1 break", "1 break")
            async with run_router(engine) as router:
                place = router.placer.place

                async def place_once(request, exclude=()):
                    if router.placer.placed:
                        router.placer.upstreams = []
                    return await place(request, exclude)

                router.node.placer = PlacerStub(place_once, router.placer.release)
                with pytest.raises(openai.InternalServerError) as caught:
                    await send_chat(router, stream=False)
                assert caught.value.response.headers["Jayyoke-Run"] == "unknown"

        asyncio.run(run())

    def test_unreachable_engine_is_not_run(self):
        """Guards against `unknown` although no byte was sent."""

        async def run() -> None:
            engine = ScriptedEngine("one")
            async with run_router(engine) as router:
                await engine.close()
                with pytest.raises(openai.InternalServerError) as caught:
                    await send_chat(router)
                assert caught.value.response.headers["Jayyoke-Run"] == "not-run"
                assert caught.value.code == "upstream-unreachable"

        asyncio.run(run())

    def test_deadline_ends_the_answer(self):
        """Guards against a request that runs longer than its class's target allows."""

        async def run() -> None:
            engine = ScriptedEngine("one", "2 silent")
            async with run_router(engine, within_s=0.5) as router:
                with pytest.raises(openai.InternalServerError) as caught:
                    await send_chat(router, stream=False)
                assert caught.value.code == "no-answer"
                await wait_until_idle(router)
                await engine.cancel_received.wait()
            assert 0 < int(engine.headers[0]["X-Deadline-Ms"]) <= 500
            assert engine.headers[0]["X-Priority"] == "5"

        asyncio.run(run())


class TestCallerDisconnects:
    @pytest.mark.parametrize("stream", [True, False])
    def test_disconnect_cancels_the_engine_and_closes_its_connection(self, stream):
        """Guards against engines that work for callers who left, and reuse of their connections."""

        async def run() -> None:
            engine = ScriptedEngine("one", "2 silent")
            async with run_router(engine) as router:
                body = {"model": "draft", "messages": PROMPT, "stream": stream}
                headers = {"Authorization": f"Bearer {KEY}", "X-Request-Id": "gone-1"}
                data = json.dumps(body).encode()
                head = "".join(f"{name}: {value}\r\n" for name, value in headers.items())
                _, writer = await asyncio.open_connection("127.0.0.1", router.port)
                writer.write(
                    f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n{head}"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await engine.called.wait()
                writer.transport.abort()
                async with asyncio.timeout(20):
                    await engine.aborted.wait()
                    await engine.cancel_received.wait()
                    await wait_until_idle(router)
                assert engine.cancelled_ids == ["gone-1"]
                assert await send_chat(router) == EXPECTED
            assert len(set(engine.ports)) == 2

        asyncio.run(run())


class TestConnectionReuse:
    def test_connection_is_reused_after_a_regular_end(self):
        """Guards against a new connection for each request of a healthy engine."""

        async def run() -> None:
            engine = ScriptedEngine("one")
            async with run_router(engine) as router:
                for _ in range(3):
                    assert await send_chat(router) == EXPECTED
                    await wait_until_idle(router)
            assert len(set(engine.ports)) == 1

        asyncio.run(run())


class TestUsage:
    @pytest.mark.parametrize("scripts", [("rest stop usage",), ("3 break", "rest stop usage")])
    def test_usage_counts_the_whole_answer(self, scripts):
        """Guards against usage numbers that count the tokens of the last connection only."""

        async def run() -> None:
            engine = ScriptedEngine("one", *scripts)
            async with run_router(engine) as router:
                client = connect(router)
                completion = await client.chat.completions.create(
                    model="draft", messages=PROMPT, max_tokens=TOKENS
                )
                assert completion.usage.completion_tokens == TOKENS
                assert completion.usage.prompt_tokens > 0
                stream = await client.chat.completions.create(
                    model="draft",
                    messages=PROMPT,
                    max_tokens=TOKENS,
                    stream=True,
                    stream_options={"include_usage": True},
                )
                chunks = [chunk async for chunk in stream]
                assert chunks[-1].usage.completion_tokens == TOKENS

        asyncio.run(run())


class PlacerStub:
    def __init__(self, place, release):
        self.place = place
        self.release = release
