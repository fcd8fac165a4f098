"""Tests of calls to the service of the duties, over connections on loopback."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable

import pytest

from jayyoke.core.error import DutyCallFailed
from jayyoke.platform.dutyservice import DutyClient, Fence
from jayyoke.utils.boottime import read_boot_time_s

CALL_S = 0.3
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


def build_fence(may_send: Callable[[], bool] = lambda: True) -> Fence:
    """Return the fence of a holder."""
    return Fence("edge-1", 7, CALL_S, read_boot_time_s, may_send)


def run_with(serve: Serve, test: Callable[[DutyClient], Awaitable[None]]) -> None:
    """Run a test against a service that answers by a function."""

    async def main() -> None:
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        async with asyncio.timeout(10):
            await test(DutyClient(f"127.0.0.1:{port}"))
        server.close()

    asyncio.run(main())


class TestCalls:
    def test_call_names_its_holder_and_token(self):
        """Guards against calls that the service cannot order."""
        received = bytearray()

        async def serve(reader, writer):
            received.extend(await reader.readuntil(b"}}"))
            writer.write(b"HTTP/1.1 100 Continue\r\n\r\n" + ANSWER)

        async def test(client):
            assert await client.report_usage(build_fence(), 5, {"z": 2, "a": 1}) == 200

        run_with(serve, test)
        head, _, body = bytes(received).partition(b"\r\n\r\n")
        assert head.startswith(b"POST /usage HTTP/1.1\r\n")
        assert b"\r\nDuty-Owner: edge-1\r\nFence-Token: 7\r\n" in head
        assert json.loads(body) == {"windowId": 5, "counts": {"a": 1, "z": 2}}

    def test_hanging_call_is_reset_in_time(self):
        """Guards against bytes that the system delivers after the lease has changed hands."""
        ends = []

        async def serve(reader, writer):
            try:
                while await reader.read(1000):
                    continue
                ends.append("orderly")
            except ConnectionResetError:
                ends.append("reset")

        async def test(client):
            began_s = read_boot_time_s()
            with pytest.raises(DutyCallFailed) as caught:
                await client.order_upstreams(build_fence(), "desk", "d1", 4)
            assert caught.value.begun
            assert read_boot_time_s() - began_s < CALL_S + 2.0
            while not ends:
                await asyncio.sleep(0.01)

        run_with(serve, test)
        assert ends == ["reset"]

    def test_nothing_is_sent_after_the_lease_has_ended(self):
        """Guards against a call of a process that stood still before it sent."""
        received = bytearray()

        async def serve(reader, writer):
            received.extend(await reader.read(1000))

        async def test(client):
            with pytest.raises(DutyCallFailed) as caught:
                await client.order_upstreams(build_fence(lambda: False), "desk", "d1", 4)
            assert not caught.value.begun
            await asyncio.sleep(0.05)

        run_with(serve, test)
        assert received == b""

    def test_call_ends_with_the_lease(self):
        """Guards against a call that goes on while another instance acts."""
        answers = iter((True, True, False))

        async def serve(reader, writer):
            await asyncio.sleep(5)

        async def test(client):
            began_s = read_boot_time_s()
            fence = Fence("edge-1", 7, 60.0, read_boot_time_s, lambda: next(answers, False))
            with pytest.raises(DutyCallFailed):
                await client.order_upstreams(fence, "desk", "d1", 4)
            assert read_boot_time_s() - began_s < 5.0

        run_with(serve, test)

    @pytest.mark.parametrize("answer", [b"", b"no answer\r\n\r\n", b"HTTP/1.1 20", b"x" * 40000])
    def test_broken_answer_is_a_failed_call(self, answer):
        """Guards against a holder that ends on what the service sends."""

        async def serve(reader, writer):
            await reader.readuntil(b"}")
            writer.write(answer)
            writer.close()

        async def test(client):
            with pytest.raises(DutyCallFailed):
                await client.order_upstreams(build_fence(), "desk", "d1", 4)

        run_with(serve, test)

    def test_service_that_does_not_listen(self):
        """Guards against an error that ends the process while the service is down."""

        async def main():
            with pytest.raises(DutyCallFailed) as caught:
                await DutyClient("127.0.0.1:1").order_upstreams(build_fence(), "desk", "d1", 4)
            assert not caught.value.begun

        asyncio.run(main())
