"""Tests of the stand-in engine, because errors in it would hide errors in the product."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

import aiohttp
from aiohttp.test_utils import TestClient, TestServer

from jayyoke.core.clock import ManualClock
from jayyoke.core.member import Member
from jayyoke.ops.cacheevents import CacheFollower
from jayyoke.ops.replay import Replay
from jayyoke.wire.local import LocalHub
from standin.engine import EngineServer
from standin.enginemodel import Capacity, generate_token

MESSAGES = [{"role": "user", "content": "word " * 64}]
PROMPT = "user " + "word " * 64


def run_with_engine(server: EngineServer, test: Callable[[TestClient], Awaitable[None]]) -> None:
    async def run() -> None:
        async with TestClient(TestServer(server.build())) as client:
            await test(client)

    asyncio.run(run())


async def complete(
    client: TestClient, headers: dict[str, str] | None = None, tokens: int = 6
) -> tuple[list[str], dict]:
    body = {"messages": MESSAGES, "max_tokens": tokens, "prompt_cache_key": "chat-1"}
    words, usage = [], {}
    async with client.post("/v1/chat/completions", json=body, headers=headers) as answer:
        async for line in answer.content:
            if not line.startswith(b"data: {"):
                continue
            event = json.loads(line[6:])
            words.append(event["choices"][0]["delta"].get("content", ""))
            usage = event.get("usage", usage)
    return [word for word in words if word], usage


class TestEvents:
    def test_router_reads_the_events(self):
        """Guards against cache events in a form that routers discard as malformed."""

        async def test(client: TestClient) -> None:
            await complete(client)
            body = await (await client.get("/events")).json()
            peers = LocalHub().join(Member("me", "a", 1, ""))
            follower = CacheFollower(peers, Replay(peers, ManualClock()))
            assert not follower.accept("e", body)
            assert follower.cursor("e") == 1

        server = EngineServer("e", token_s=0.0)
        server.faults.event_lag_s = 0.0
        run_with_engine(server, test)


class TestStream:
    def test_resumed_stream_continues_at_the_position(self):
        """Guards against a stand-in that repeats or skips tokens on resumption."""

        async def test(client: TestClient) -> None:
            whole, _ = await complete(client)
            rest, _ = await complete(client, {"X-Resume-From": "4"})
            assert whole == [generate_token(PROMPT, position) for position in range(6)]
            assert rest == whole[4:]

        run_with_engine(EngineServer("e", token_s=0.0), test)

    def test_truncated_stream_has_no_end(self):
        """Guards against a truncated stream that looks like a complete answer."""

        async def test(client: TestClient) -> None:
            await client.post("/fault", json={"truncate_after": 3, "count": 1})
            try:
                words, usage = await complete(client)
            except aiohttp.ClientError:
                return
            assert len(words) == 3
            assert not usage

        run_with_engine(EngineServer("e", token_s=0.0), test)


class TestCache:
    def test_returning_chat_finds_its_prefix_until_restart(self):
        """Guards against reuse figures that include tokens which no cache holds."""

        async def test(client: TestClient) -> None:
            _, first = await complete(client)
            _, second = await complete(client)
            await client.post("/restart")
            _, third = await complete(client)
            cached = [u["prompt_tokens_details"]["cached_tokens"] for u in (first, second, third)]
            assert cached[0] == cached[2] == 0
            assert cached[1] == 64

        run_with_engine(EngineServer("e", token_s=0.0), test)

    def test_small_cache_evicts_and_reports_it(self):
        """Guards against an eviction that publishes no event."""

        async def test(client: TestClient) -> None:
            await client.post("/fault", json={"event_lag_s": 0.0})
            await complete(client)
            body = {"messages": [{"role": "user", "content": "other " * 64}], "max_tokens": 1}
            async with client.post("/v1/chat/completions", json=body) as answer:
                await answer.read()
            async with client.get("/events") as answer:
                events = (await answer.json())["events"]
            assert {"evicted"} == {e["kind"] for e in events if e["chat"] == "chat-1"} - {"stored"}

        run_with_engine(EngineServer("e", token_s=0.0, cache_tokens=64), test)


class TestOrders:
    def test_old_fencing_token_is_refused_only_where_checked(self):
        """Guards against a stand-in that checks fencing tokens always or never."""

        def check(checks_fencing: bool, expected: int) -> None:
            async def test(client: TestClient) -> None:
                for fence in (5, 4):
                    order = {"action": "load-version", "version": "v2", "fence": fence}
                    answer = await client.post("/orders", json=order)
                assert answer.status == expected

            server = EngineServer("e", checks_fencing=checks_fencing, load_s=0.0)
            run_with_engine(server, test)

        check(True, 409)
        check(False, 200)


class TestColdStart:
    def test_peak_counts_work_above_what_a_cold_engine_bears(self):
        """Guards against a measure of cold starts that can never exceed 1."""

        async def test(client: TestClient) -> None:
            await client.post("/restart")
            await asyncio.gather(*(complete(client, tokens=20) for _ in range(4)))
            async with client.get("/stats") as answer:
                assert (await answer.json())["cold_peak"] > 1.0

        capacity = Capacity(cold_work_tokens=100, full_work_tokens=1000, warm_up_s=60.0)
        run_with_engine(EngineServer("e", token_s=0.001, capacity=capacity), test)
