"""Tests the graceful shutdown of a real daemon while requests run."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
from types import SimpleNamespace

import aiohttp
import pytest
import yaml

from jayyoke.scripts import daemon
from standin.deployment import DEPLOYMENTS
from standin.fleet import TEAM_KEYS, Fleet, Process, run_fleet
from standin.inprocessrouter import KEY, Router, run_router
from standin.scriptedengine import ScriptedEngine

TOKENS = 400
GRACE_S = 6.0
HEADERS = {"Authorization": f"Bearer {TEAM_KEYS[0]}"}
SIGNAL_INTERVAL_S = 0.002


class TestDrain:
    def test_running_stream_is_finished_before_exit(self):
        """Guards against a shutdown that cuts off a stream, stays ready or exits with an error."""

        async def run() -> None:
            async with run_fleet(DEPLOYMENTS["ballenticket"]) as fleet:
                instance = fleet.instances[0]
                async with fleet.http.post(**build_chat(instance, TOKENS)) as answer:
                    received = await answer.content.readany()
                    instance.send_signal(signal.SIGTERM)
                    assert await wait_until_unready(fleet, instance)
                    assert instance.child.poll() is None
                    received += await answer.content.read()
                assert received.count(b'"content"') == TOKENS
                assert received.endswith(b"data: [DONE]\n\n")
                assert await instance.wait() == 0

        asyncio.run(run())

    def test_signals_that_come_again_do_not_end_it(self):
        """Guards against a stop that ends by a signal, once the event loop handles none."""

        async def run() -> int | None:
            async with run_fleet(DEPLOYMENTS["ballenticket"]) as fleet:
                instance = fleet.instances[0]
                while instance.child.poll() is None:
                    instance.send_signal(signal.SIGTERM)
                    await asyncio.sleep(SIGNAL_INTERVAL_S)
                return await instance.wait()

        assert asyncio.run(run()) == 0


class TestEndOfDrain:
    """Tests requests that are still in progress when a drain ends."""

    def test_process_ends_within_its_grace_and_names_what_it_ends(self, tmp_path):
        """Guards against a process that is killed in the middle of its drain.

        A stream of half a minute runs when the instance gets SIGTERM with a grace of 6 s.
        """

        def set_grace(fleet: Fleet) -> None:
            for instance in fleet.instances:
                path = fleet.folder / f"{instance.name}.yaml"
                settings = yaml.safe_load(path.read_text(encoding="utf-8"))
                settings["stop_grace"] = f"{GRACE_S:g}s"
                path.write_text(yaml.safe_dump(settings), encoding="utf-8")

        async def run() -> None:
            async with run_fleet(
                DEPLOYMENTS["ballenticket"], folder=tmp_path, prepare=set_grace
            ) as fleet:
                instance = fleet.instances[0]
                call = build_chat(instance, 10 * TOKENS)
                call["headers"] = HEADERS | {"X-Request-Id": "long-1"}
                async with fleet.http.post(**call) as answer:
                    received = await answer.content.readany()
                    instance.send_signal(signal.SIGTERM)
                    with contextlib.suppress(aiohttp.ClientPayloadError):
                        while part := await answer.content.readany():
                            received += part
                error = json.loads(received.split(b"data: ")[-1])["error"]
                assert (error["code"], error["run"]) == ("no-answer", "unknown")
                assert await instance.wait(GRACE_S) == 0
                text = instance.log.read_text(encoding="utf-8")
                for event in ("stopped", "stream-cut"):
                    assert f'"event": "{event}", "request_id": "long-1"' in text

        asyncio.run(run())

    def test_whole_answer_that_is_not_ready_becomes_a_problem(self):
        """Guards against a connection that ends without an answer."""

        async def run() -> None:
            engine = ScriptedEngine("one", "2 wait")
            async with run_router(engine) as router:
                call = asyncio.create_task(send_chat(router))
                await engine.called.wait()
                router.node.drain.begin(router.node.clock.now_s() + 60.0)
                router.node.drain.end()
                assert await call == (504, "no-answer", "unknown")

        asyncio.run(run())

    def test_request_that_comes_after_the_drain_is_refused(self):
        """Guards against a request on an open connection that begins while connections close."""

        async def run() -> None:
            engine = ScriptedEngine("one")
            async with run_router(engine) as router:
                listener = SimpleNamespace(drain=lambda: None, stop=lambda: None)
                assert await daemon._drain(router.node, listener) > 60.0
                assert await send_chat(router) == (503, "stopping", "not-run")
                assert not engine.ports

        asyncio.run(run())

    def test_refused_caller_returns_when_the_balancer_knows(self):
        """Guards against callers whom the load balancer sends back to be refused again."""

        async def run() -> None:
            engine = ScriptedEngine("one")
            async with run_router(engine, within_s=20.0) as router:
                now_s = router.node.clock.now_s()
                router.node.drain.begin(now_s + 10.0, now_s + 4.0)
                async with router.http.post(**build_router_chat(router)) as answer:
                    assert (answer.status, answer.headers["Retry-After"]) == (503, "4")
                router.node.drain.begin(now_s + 10.0, now_s)
                async with router.http.post(**build_router_chat(router)) as answer:
                    assert (answer.status, answer.headers.get("Retry-After")) == (503, None)

        asyncio.run(run())

    def test_request_whose_body_still_comes_is_refused(self):
        """Guards against a slow body that keeps its connection until that is cut."""

        async def run() -> None:
            engine = ScriptedEngine("one")
            async with run_router(engine) as router:
                more = asyncio.Event()

                async def write_body():
                    yield b"{"
                    await more.wait()

                call = asyncio.create_task(send_chat(router, data=write_body()))
                while not router.node.drain.running:
                    await asyncio.sleep(0.01)
                router.node.drain.begin(router.node.clock.now_s() + 60.0)
                router.node.drain.end()
                assert await call == (503, "stopping", "not-run")
                more.set()
                assert not engine.ports

        asyncio.run(run())


class TestQueue:
    """Tests requests that wait for admission when a drain begins."""

    @pytest.mark.parametrize(
        ("left_s", "expected"), [(10.0, (503, "stopping", "not-run")), (30.0, (200, "", ""))]
    )
    def test_request_without_the_time_to_end_is_not_passed_on(self, left_s, expected):
        """Guards against a deadline that is compared only before the wait for admission."""

        async def run() -> None:
            engine = ScriptedEngine("one", "2 wait rest stop")
            async with run_router(engine, within_s=20.0) as router:
                router.node.limits.capacity = lambda service: 1.0
                first = asyncio.create_task(send_chat(router))
                await engine.called.wait()
                second = asyncio.create_task(send_chat(router))
                while router.node.drain.running < 2:
                    await asyncio.sleep(0.01)
                await asyncio.sleep(0.05)
                router.node.drain.begin(router.node.clock.now_s() + left_s)
                engine.continue_event.set()
                assert (await first)[0] == 200
                assert await second == expected
                assert len(engine.ports) == (2 if expected[0] == 200 else 1)

        asyncio.run(run())


async def send_chat(router: Router, **options) -> tuple[int, str, str]:
    """Return status, code and run state of the answer to a chat that isn't streamed."""
    call = build_router_chat(router)
    if options:
        del call["json"]
    async with router.http.post(**call, **options) as answer:
        body = await answer.json(content_type=None)
        return answer.status, body.get("code", ""), answer.headers.get("Jayyoke-Run", "")


def build_router_chat(router: Router) -> dict:
    """Return the arguments of a call of a chat that isn't streamed."""
    messages = [{"role": "user", "content": "weigh the bales"}]
    body = {"model": "draft", "messages": messages, "max_tokens": 8}
    headers = {"Authorization": f"Bearer {KEY}"}
    return {"url": f"{router.url}/v1/chat/completions", "json": body, "headers": headers}


def build_chat(instance: Process, tokens: int) -> dict:
    """Return the arguments of a call that streams a chat."""
    messages = [{"role": "user", "content": "long"}]
    body = {"model": "draft", "messages": messages, "stream": True, "max_tokens": tokens}
    return {"url": f"{instance.url}/v1/chat/completions", "json": body, "headers": HEADERS}


async def wait_until_unready(fleet, instance) -> bool:
    """Return True once /readyz answers 503; raise ClientError if the instance has stopped."""
    while True:
        async with fleet.http.get(f"{instance.operator_url}/readyz") as answer:
            if answer.status == 503:
                return True
        await asyncio.sleep(0.02)
