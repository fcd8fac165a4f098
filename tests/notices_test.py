"""Tests of jayyoked with upstreams that say they leave or ask for a pause, and while it stops."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest
from aiohttp.test_utils import TestServer

from jayyoke.core import code
from jayyoke.core.clock import ManualClock
from jayyoke.core.config import ClassKind, ClassSpec, TeamSpec
from jayyoke.core.error import ConnectFailed, Refusal, RunState
from jayyoke.core.notice import Notice
from jayyoke.core.request import CallerRequest
from jayyoke.core.upstream import Upstream
from jayyoke.ops.forward import call_plain
from jayyoke.ops.notices import UNLISTED_S, UpstreamNotices
from jayyoke.ops.placement_test import _Fleet, _request
from jayyoke.ops.requestlimit import build_own_limits
from jayyoke.ops.steward_test import SERVICE
from standin.inprocessrouter import KEY, Router, run_router
from standin.plain import PlainServer
from standin.scriptedengine import ScriptedEngine

LEAVING = Notice(leaving=True)


async def send_chat(router: Router, tokens: int = 6) -> tuple[int, bytes, dict[str, str]]:
    """Send a streamed chat; return status, body and headers."""
    messages = [{"role": "user", "content": "hello"}]
    body = {"model": "draft", "messages": messages, "stream": True, "max_tokens": tokens}
    headers = {"Authorization": f"Bearer {KEY}"}
    url = f"{router.url}/v1/chat/completions"
    async with router.http.post(url, json=body, headers=headers) as answer:
        return answer.status, await answer.read(), dict(answer.headers)


class TestEngines:
    """Tests what engines say in the answers to chats."""

    def test_stream_of_a_leaving_engine_is_resumed_elsewhere(self):
        """Guards against a resumed request at an engine that has said that it leaves."""

        async def main() -> None:
            leaving = ScriptedEngine("e1", "leaving 2 break")
            staying = ScriptedEngine("e2")
            async with run_router(leaving, staying) as router:
                status, body, _ = await send_chat(router)
                assert status == 200
                assert body.count(b'"content": "') >= 6
                assert len(leaving.ports) == 1
                assert router.node.health.notices.is_leaving("e1")

        asyncio.run(main())

    def test_refusal_with_a_pause_is_remembered(self):
        """Guards against an engine that is asked again at once by the next chat."""

        async def main() -> None:
            pausing = ScriptedEngine("e1", "status:503:30")
            staying = ScriptedEngine("e2")
            async with run_router(pausing, staying) as router:
                assert (await send_chat(router))[0] == 200
                assert 29 < router.node.health.notices.find_pause_s("e1") <= 30

        asyncio.run(main())


class TestPlacing:
    """Tests that no request is placed on an upstream that wants none."""

    @pytest.mark.parametrize("notice", [LEAVING, Notice(pause_s=5.0)], ids=["leaving", "pause"])
    def test_chats_go_to_other_engines(self, notice):
        """Guards against placing on an engine that its steward and owner still count as live."""

        async def main() -> None:
            fleet = _Fleet()
            node = fleet.nodes["n0"]
            node.placer.notices.record("e2", notice)
            for number in range(30):
                request = _request(f"c{number}", prompt=1)
                placement = await node.placer.place(request)
                assert placement.upstream.name != "e2"
                node.placer.release(request, placement)

        asyncio.run(main())

    def test_callers_hear_when_the_first_engine_is_back(self):
        """Guards against a wait until the deadline while every engine pauses."""

        async def main() -> None:
            fleet = _Fleet()
            node = fleet.nodes["n0"]
            for number, engine in enumerate(("e1", "e2", "e3")):
                node.placer.notices.record(engine, Notice(pause_s=4.0 + number))
            returns = set()
            for number in range(8):
                with pytest.raises(Refusal) as caught:
                    await node.placer.place(_request(f"c{number}"))
                assert (caught.value.code, caught.value.run_state) == (
                    code.OVERLOADED,
                    RunState.NOT_RUN,
                )
                assert 4.0 <= caught.value.retry_after_s <= 5.0
                returns.add(caught.value.retry_after_s)
            assert len(returns) > 4
            fleet.clock.advance(4.1)
            assert (await node.placer.place(_request())).upstream.name == "e1"

        asyncio.run(main())

    def test_copy_is_not_sent_to_an_engine_that_pauses(self):
        """Guards against shadow copies that use up the room of an engine that has none."""

        async def main() -> None:
            fleet = _Fleet()
            placer = fleet.nodes["n0"].placer
            placer.notices.record("e1", Notice(pause_s=4.0))
            assert await placer.place_on(_request(), Upstream("e1", "pool", "a", "e1")) is None
            assert await placer.place_on(_request(), Upstream("e2", "pool", "a", "e2")) is not None

        asyncio.run(main())


class TestPlainServices:
    """Tests what plain services say in their answers."""

    def run(self, test) -> None:
        async def main() -> None:
            plain = PlainServer("p1")
            async with TestServer(plain.build()) as server, aiohttp.ClientSession() as http:
                clock = ManualClock(10.0)
                notices = UpstreamNotices(clock.now_s)
                upstream = Upstream("p1", "desk", "a", f"127.0.0.1:{server.port}")
                spec = ClassSpec("check", ClassKind.LOOKUP, "desk", 9.0)
                request = CallerRequest("r1", TeamSpec("t", ""), spec, SERVICE, 10.0, 19.0)
                limits = build_own_limits(clock.now_s)
                await test(
                    plain,
                    clock,
                    notices,
                    lambda: call_plain(http, upstream, request, 5.0, notices, limits),
                )

        asyncio.run(main())

    def test_call_that_was_placed_before_is_not_sent(self):
        """Guards against a once-only request that is sent after its service asked for a pause."""

        async def test(plain, clock, notices, call) -> None:
            plain.faults.refuse, plain.faults.pause_s = 1, 7.0
            assert (await call()).status == 503
            received = plain.received
            with pytest.raises(ConnectFailed):
                await call()
            assert plain.received == received
            clock.advance(7.1)
            assert (await call()).status == 200

        self.run(test)

    def test_leaving_service_gets_no_further_call(self):
        """Guards against the same for a service that leaves."""

        async def test(plain, clock, notices, call) -> None:
            plain.faults.leaves = True
            assert (await call()).status == 200
            with pytest.raises(ConnectFailed):
                await call()
            notices.update_listed([])
            clock.advance(UNLISTED_S)
            notices.update_listed(["p1"])
            assert (await call()).status == 200

        self.run(test)


class TestStop:
    """Tests requests that arrive while the instance stops."""

    def test_request_without_the_time_to_end_is_refused(self):
        """Guards against a request that is passed on late in the drain and cut off at its end."""

        async def main() -> None:
            engine = ScriptedEngine("e1")
            async with run_router(engine, within_s=20.0) as router:
                drain = router.node.drain
                drain.draining = True
                drain.window.begin(router.node.clock.now_s() + 30.0)
                assert (await send_chat(router))[0] == 200
                drain.window.begin(router.node.clock.now_s() + 10.0)
                status, body, headers = await send_chat(router)
                assert status == 503
                assert code.STOPPING.encode() in body
                assert headers["Jayyoke-Run"] == RunState.NOT_RUN.value
                assert headers["Connection"] == "close"
                assert len(engine.ports) == 1

        asyncio.run(main())
