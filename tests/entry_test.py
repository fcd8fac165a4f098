"""Tests of an entry instance with stand-ins for the store and the upstreams."""

from __future__ import annotations

import asyncio
import time

import pytest

from standin.entryconfig import HOST, KEY
from standin.entryupstream import (
    ReceivedRequest,
    answer_whole,
    format_answer,
)
from tests.entryrig import Rig, reset_connection, run_rig, wait_ready, wait_until


def stall_process() -> None:
    """Block the whole process for longer than the timeouts of the safe route and of a head."""
    time.sleep(0.8)


async def hang(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(30)


async def reset_at_once(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    reset_connection(writer)


async def close_at_once(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.close()


async def shed(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(format_answer(request, b"", "503 Service Unavailable", Not_Executed="1"))


async def fail(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(format_answer(request, b"broken", "500 Internal Server Error"))


async def misdirect(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(format_answer(request, b"", "421 Misdirected Request", Worker_Id="other"))


async def answer_short(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(format_answer(request, b"only a part of it")[:-5])
    writer.close()


class TestForwarding:
    def test_answer_is_passed_on_unchanged(self):
        """Guards against answers without the upstream's signature or with other bytes."""

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", answer_whole)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            status, body, headers = await entry.call("/unsafe/x")
            assert (status, body) == (200, b"done r1")
            assert headers["Worker-Signature"] == "sig"

        run_rig(test)

    @pytest.mark.parametrize(
        "path", ["/safe/a%2fb", "/safe//x;y=1", "/safe/x?", "/safe/%C3%A9?q=%2F&r=a+b"]
    )
    def test_path_is_passed_on_unchanged(self, path):
        """Guards against a path that a library normalises."""

        async def test(rig: Rig) -> None:
            upstream = await rig.add_upstream("u1", answer_whole)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            host, _, port = entry.url.removeprefix("http://").rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            head = (
                f"GET {path} HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: r1\r\n"
                f"Authorization: Bearer {KEY}\r\nConnection: close\r\n\r\n"
            )
            writer.write(head.encode())
            await reader.read()
            writer.close()
            assert upstream.received[0].line == f"GET {path} HTTP/1.1"

        run_rig(test)

    def test_headers_of_the_platform_are_not_taken_from_the_caller(self):
        """Guards against a caller that names another team, and a key that reaches the upstream."""

        async def test(rig: Rig) -> None:
            upstream = await rig.add_upstream("u1", answer_whole)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            await entry.call(
                "/safe/x", Tenant="other", Expect_Worker="x", Retain="1", Kv_From="a", X_Own="kept"
            )
            received = upstream.received[0]
            assert received.get("tenant") == "yard"
            assert received.get("expect-worker") == "u1"
            assert received.get("authorization") == ""
            assert (received.get("retain"), received.get("kv-from")) == ("", "")
            assert received.get("x-own") == "kept"
            assert 0 < int(received.get("deadline-ms")) <= 2500

        run_rig(test)


class TestOnce:
    @pytest.mark.parametrize("script", [reset_at_once, close_at_once, answer_short])
    def test_unsafe_request_is_sent_once(self, script):
        """Guards against a second run after a lost answer, and a 503, which means 'not run'."""

        async def test(rig: Rig) -> None:
            first = await rig.add_upstream("u1", script)
            second = await rig.add_upstream("u2", script)
            entry = await rig.add_entry()
            await wait_ready(entry, 2)
            status, _, _ = await entry.call("/unsafe/x", method="GET")
            assert status == 502
            assert len(first.received) + len(second.received) == 1

        run_rig(test)

    @pytest.mark.parametrize("script", [shed, misdirect])
    def test_request_that_did_not_run_goes_to_another_upstream(self, script):
        """Guards against a failed request although another upstream can take it."""

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", script)
            await rig.add_upstream("u2", answer_whole)
            entry = await rig.add_entry()
            await wait_ready(entry, 2)
            for number in range(6):
                status, _, _ = await entry.call("/unsafe/x", request_id=f"r{number}")
                assert status == 200

        run_rig(test)

    def test_request_that_did_not_run_is_refused_with_503(self):
        """Guards against another status than 503, or no Retry-After, if the request did not run."""

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", shed)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            status, _, headers = await entry.call("/unsafe/x")
            assert status == 503
            assert 0 < float(headers["Retry-After"]) <= 2.5 / 3

        run_rig(test)

    def test_safe_request_is_repeated_at_another_upstream(self):
        """Guards against a safe request that fails although it may be repeated."""

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", fail)
            await rig.add_upstream("u2", answer_whole)
            entry = await rig.add_entry()
            await wait_ready(entry, 2)
            for number in range(4):
                status, _, _ = await entry.call("/safe/x", request_id=f"r{number}")
                assert status == 200

        run_rig(test)

    def test_unsafe_failure_is_passed_on(self):
        """Guards against a failure with another status or body than the upstream's."""

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", fail)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            status, body, headers = await entry.call("/unsafe/x")
            assert (status, body, headers["Worker-Signature"]) == (500, b"broken", "sig")

        run_rig(test)


class TestCallerDisconnects:
    @pytest.mark.parametrize("path", ["/unsafe/x", "/resume/x"])
    def test_upstream_connection_is_closed(self, path):
        """Guards against work for a caller that disconnected before the first byte."""

        async def test(rig: Rig) -> None:
            upstream = await rig.add_upstream("u1", hang)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            call = asyncio.create_task(entry.call(path))
            await wait_until(lambda: upstream.received)
            call.cancel()
            await wait_until(lambda: upstream.closed_connections)

        run_rig(test)


class TestDrain:
    def test_running_request_is_finished(self):
        """Guards against a shutdown that cuts off a running request."""

        async def slow(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.3)
            await answer_whole(request, writer)

        async def test(rig: Rig) -> None:
            upstream = await rig.add_upstream("u1", slow)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            call = asyncio.create_task(entry.call("/unsafe/x"))
            await wait_until(lambda: upstream.received)
            listener = entry.instance.listener
            listener.draining = True
            listener.stop()
            listener.close_idle()
            assert not entry.instance.ready
            assert (await call)[0] == 200
            await wait_until(lambda: listener.busy == 0)

        run_rig(test)

    def test_connection_of_a_request_just_parsed_is_not_idle(self):
        """Guards against closing a connection between parsing a request and handling it.

        Seen on tapir-ridge trouble-2: LOST, when a drain ended at that moment.
        """

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", answer_whole)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            host, _, port = entry.url.removeprefix("http://").rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            listener = entry.instance.listener
            await wait_until(lambda: listener._web.connections)
            connection = listener._web.connections[0]
            head = (
                "GET /safe/x HTTP/1.1\r\nHost: calls.example\r\nRequest-Id: r1\r\n"
                f"Authorization: Bearer {KEY}\r\n\r\n"
            )
            connection.data_received(head.encode())
            # The connection's task has the request, but its handler has not run yet.
            await asyncio.sleep(0)
            listener.close_idle()
            answer = await asyncio.wait_for(reader.readline(), 5)
            assert answer.startswith(b"HTTP/1.1 200")
            writer.close()

        run_rig(test)


class TestSlowHead:
    def test_unfinished_head_ends_the_connection(self):
        """Guards against callers that hold connections with heads that never end."""

        async def test(rig: Rig) -> None:
            entry = await rig.add_entry()
            await wait_until(lambda: entry.instance.view.config is not None)
            host, _, port = entry.url.removeprefix("http://").rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /safe/x HTTP/1.1\r\nHost: ")
            assert await asyncio.wait_for(reader.read(), 5) == b""
            writer.close()

        run_rig(test)


class TestStalledProcess:
    """Tests that an instance does not take its own stall for silence of upstreams or callers."""

    def test_answer_that_arrived_during_a_stall_is_used(self):
        """Guards against a stall that suspends all upstreams but one, which is then overloaded."""

        async def answer_and_stall(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await answer_whole(request, writer)
            stall_process()

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", answer_and_stall)
            await rig.add_upstream("u2", answer_and_stall)
            entry = await rig.add_entry()
            await wait_ready(entry, 2)
            status, body, _ = await entry.call("/safe/x", method="GET")
            assert (status, body) == (200, b"done r1")
            assert sum(len(upstream.received) for upstream in rig.upstreams) == 1
            tracker = entry.instance.placement.tracker
            assert not any(
                tracker.get(found.incarnation).is_suspended(entry.instance.view.now_s())
                for found in entry.instance.view.upstreams.values()
            )

        run_rig(test)

    def test_head_that_arrived_during_a_stall_is_read(self):
        """Guards against instances that close connections with unread requests after a stall."""

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", answer_whole)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            host, _, port = entry.url.removeprefix("http://").rpartition(":")
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /safe/x HTTP/1.1\r\nRequest-Id: r1\r\n")
            await asyncio.sleep(0.1)
            writer.write(f"Host: {HOST}\r\nAuthorization: Bearer {KEY}\r\n\r\n".encode())
            stall_process()
            answer = await asyncio.wait_for(reader.readline(), 5)
            assert answer.startswith(b"HTTP/1.1 200")
            writer.close()

        run_rig(test)


class TestHost:
    def test_host_matches_in_any_case_and_with_a_port(self):
        """Guards against a 404 for a host in another case or with a port."""

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", answer_whole)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            for host in ("CALLS.example", "calls.example:8080"):
                assert (await entry.call("/safe/x", Host=host))[0] == 200

        run_rig(test)
