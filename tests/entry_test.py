"""Tests of a whole entry instance against the stand-ins of the store and of upstreams."""

from __future__ import annotations

import asyncio
import socket
import struct

import aiohttp
import pytest

from standin.entryconfig import KEY
from standin.entryupstream import (
    SeenRequest,
    answer_whole,
    format_answer,
    format_chunk,
    format_event,
    format_stream_head,
)
from tests.entryrig import Rig, run_rig, wait_ready, wait_until


def reset(writer: asyncio.StreamWriter) -> None:
    """End a connection with a reset instead of an orderly end."""
    opened: socket.socket = writer.get_extra_info("socket")
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


async def hang(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
    await asyncio.sleep(30)


async def reset_at_once(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
    reset(writer)


async def close_at_once(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
    writer.close()


async def shed(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(format_answer(request, b"", "503 Service Unavailable", Not_Executed="1"))


async def fail(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(format_answer(request, b"broken", "500 Internal Server Error"))


async def misdirect(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(format_answer(request, b"", "421 Misdirected Request", Worker_Id="other"))


async def answer_short(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(format_answer(request, b"only a part of it")[:-5])
    writer.close()


class TestForwarding:
    def test_answer_is_the_upstreams(self):
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
    def test_path_goes_as_it_came(self, path):
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
            assert upstream.seen[0].line == f"GET {path} HTTP/1.1"

        run_rig(test)

    def test_system_sets_its_own_headers(self):
        """Guards against a caller that names another team, and against a key that leaks."""

        async def test(rig: Rig) -> None:
            upstream = await rig.add_upstream("u1", answer_whole)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            await entry.call(
                "/safe/x", Tenant="other", Expect_Worker="x", Retain="1", Kv_From="a", X_Own="kept"
            )
            seen = upstream.seen[0]
            assert seen.get("tenant") == "yard"
            assert seen.get("expect-worker") == "u1"
            assert seen.get("authorization") == ""
            assert (seen.get("retain"), seen.get("kv-from")) == ("", "")
            assert seen.get("x-own") == "kept"
            assert 0 < int(seen.get("deadline-ms")) <= 2500

        run_rig(test)


class TestOnce:
    @pytest.mark.parametrize("script", [reset_at_once, close_at_once, answer_short])
    def test_unsafe_is_sent_once(self, script):
        """Guards against a second run after a lost answer, and against a false promise."""

        async def test(rig: Rig) -> None:
            first = await rig.add_upstream("u1", script)
            second = await rig.add_upstream("u2", script)
            entry = await rig.add_entry()
            await wait_ready(entry, 2)
            status, _, _ = await entry.call("/unsafe/x", method="GET")
            assert status == 502
            assert len(first.seen) + len(second.seen) == 1

        run_rig(test)

    @pytest.mark.parametrize("script", [shed, misdirect])
    def test_goes_elsewhere_if_it_did_not_run(self, script):
        """Guards against a failure although another upstream has room."""

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", script)
            await rig.add_upstream("u2", answer_whole)
            entry = await rig.add_entry()
            await wait_ready(entry, 2)
            for number in range(6):
                status, _, _ = await entry.call("/unsafe/x", request_id=f"r{number}")
                assert status == 200

        run_rig(test)

    def test_refusal_is_a_promise(self):
        """Guards against a 503 for a request that ran, and one without a time to return."""

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", shed)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            status, _, headers = await entry.call("/unsafe/x")
            assert status == 503
            assert 0 < float(headers["Retry-After"]) <= 2.5 / 3

        run_rig(test)

    def test_safe_is_repeated_elsewhere(self):
        """Guards against a lookup that fails although it may be repeated."""

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
        """Guards against a failure that bears another status than the upstream gave."""

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", fail)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            status, body, headers = await entry.call("/unsafe/x")
            assert (status, body, headers["Worker-Signature"]) == (500, b"broken", "sig")

        run_rig(test)


class TestForeignBytes:
    def test_late_second_answer_is_not_passed_on(self):
        """Guards against an answer that belongs to the request before on the connection."""

        async def answer_twice(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            answer = format_answer(request, b"done " + request.id.encode(), Keep_Alive="timeout=30")
            writer.write(answer)
            await writer.drain()
            if request.id == "r1":
                # Arrives when the next request has been sent.
                asyncio.get_running_loop().call_later(0.05, writer.write, answer)

        async def test(rig: Rig) -> None:
            upstream = await rig.add_upstream("u1", answer_twice)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            await entry.call("/unsafe/x", request_id="r1")
            await asyncio.sleep(0.04)
            for number in range(2, 8):
                status, body, _ = await entry.call("/unsafe/x", request_id=f"r{number}")
                assert (status, body) == (200, f"done r{number}".encode())
            assert len(upstream.seen) == 7

        run_rig(test)

    def test_answer_without_length_ends_with_the_connection(self):
        """Guards against refusing an answer that only its connection's end completes."""

        async def answer_unframed(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request.id}\r\nWorker-Signature: sig\r\n\r\n"
            writer.write(head.encode() + b"all of it")
            await writer.drain()
            writer.close()

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", answer_unframed)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            status, body, _ = await entry.call("/unsafe/x")
            assert (status, body) == (200, b"all of it")

        run_rig(test)

    def test_reset_does_not_complete_an_answer_without_length(self):
        """Guards against a part of an answer that looks whole."""

        async def answer_unframed(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request.id}\r\nWorker-Signature: sig\r\n\r\n"
            writer.write(head.encode() + b"a part")
            await writer.drain()
            await asyncio.sleep(0.05)
            reset(writer)

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", answer_unframed)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            status, _, _ = await entry.call("/unsafe/x")
            assert status == 502

        run_rig(test)


class TestStreams:
    def test_resumes_elsewhere_without_a_gap(self):
        """Guards against doubled, missing and joined events when an upstream breaks off."""

        async def break_off(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(format_stream_head(request))
            writer.write(format_chunk(format_event(1) + format_event(2)))
            writer.write(format_chunk(format_event(3)[:9]))
            await writer.drain()
            await asyncio.sleep(0.02)
            reset(writer)

        async def go_on(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            if not request.get("last-event-id"):
                await break_off(request, writer)
                return
            writer.write(format_stream_head(request))
            first = int(request.get("last-event-id")) + 1
            # One event is repeated; the instance must drop it.
            for number in range(first - 1, 6):
                writer.write(format_chunk(format_event(number)))
            writer.write(format_chunk(b""))

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", go_on)
            await rig.add_upstream("u2", go_on)
            entry = await rig.add_entry()
            await wait_ready(entry, 2)
            status, body, _ = await entry.call("/resume/x")
            assert status == 200
            assert body == b"".join(format_event(number) for number in range(1, 6))
            assert sum(len(upstream.seen) for upstream in rig.upstreams) == 2

        run_rig(test)

    def test_broken_stream_does_not_look_whole(self):
        """Guards against a stream that ends as complete before its last event."""

        async def break_off(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(format_stream_head(request) + format_chunk(format_event(1)))
            await writer.drain()
            await asyncio.sleep(0.02)
            writer.close()

        async def test(rig: Rig) -> None:
            upstream = await rig.add_upstream("u1", break_off)
            await rig.add_upstream("u2", break_off)
            entry = await rig.add_entry()
            await wait_ready(entry, 2)
            with pytest.raises(aiohttp.ClientError):
                await entry.call("/stream/x")
            assert len(upstream.seen) + len(rig.upstreams[1].seen) == 1

        run_rig(test)


class TestCallerLeaves:
    @pytest.mark.parametrize("path", ["/unsafe/x", "/resume/x"])
    def test_upstream_learns_it(self, path):
        """Guards against work for a caller that has gone before the first byte."""

        async def test(rig: Rig) -> None:
            upstream = await rig.add_upstream("u1", hang)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            call = asyncio.create_task(entry.call(path))
            await wait_until(lambda: upstream.seen)
            call.cancel()
            await wait_until(lambda: upstream.closed)

        run_rig(test)


class TestDrain:
    def test_running_request_is_finished(self):
        """Guards against a shutdown that cuts a request."""

        async def slow(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(0.3)
            await answer_whole(request, writer)

        async def test(rig: Rig) -> None:
            upstream = await rig.add_upstream("u1", slow)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            call = asyncio.create_task(entry.call("/unsafe/x"))
            await wait_until(lambda: upstream.seen)
            listener = entry.instance.listener
            listener.draining = True
            listener.stop()
            listener.close_idle()
            assert not entry.instance.ready
            assert (await call)[0] == 200
            await wait_until(lambda: listener.busy == 0)

        run_rig(test)

    def test_request_that_has_just_arrived_is_not_idle(self):
        """Guards against a connection that is closed between parsing and handling.

        Seen on tapir-ridge trouble-2: LOST, at the moment at which a drain ended.
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
            # The waiting task takes the request, and its handler has not run yet.
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


class TestAnswersThatAreNotWhole:
    @pytest.mark.parametrize(
        "head",
        [
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nContent-Length: 4\r\n\r\nbody",
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nWorker-Signature: s\r\n"
            "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nbody",
            "HTTP/1.1 200 OK\r\nWorker-Signature: s\r\nContent-Length: 4\r\n\r\nbody",
            "\x00\x01 no answer at all\r\n\r\n",
        ],
        ids=["unsigned", "encoded", "without-id", "no-http"],
    )
    def test_success_that_is_not_the_upstreams_is_not_passed_on(self, head):
        """Guards against bytes of a faulty upstream that a caller takes for its answer."""

        async def spoil(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(head.replace("{id}", request.id).encode("latin-1"))

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", spoil)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            assert (await entry.call("/unsafe/x"))[0] == 502

        run_rig(test)


class TestSilentConnections:
    def test_one_broken_connection_ends_the_idle_ones(self):
        """Guards against losing one request for each kept connection that has gone dead."""

        async def test(rig: Rig) -> None:
            seen = 0

            async def script(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
                nonlocal seen
                seen += 1
                if request.id == "broken":
                    reset(writer)
                    return
                await asyncio.sleep(0.05)
                answer = format_answer(request, b"ok", Keep_Alive="timeout=30")
                writer.write(answer)

            upstream = await rig.add_upstream("u1", script)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            calls = [entry.call("/safe/x", request_id=f"r{number}") for number in range(4)]
            await asyncio.gather(*calls)
            opened = upstream.connections
            assert opened > 1
            await entry.call("/unsafe/x", request_id="broken")
            await entry.call("/unsafe/x", request_id="after")
            assert upstream.connections == opened + 1

        run_rig(test)


class TestHost:
    def test_case_and_port_do_not_matter(self):
        """Guards against a 404 for a host that is spelt in another case."""

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", answer_whole)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            for host in ("CALLS.example", "calls.example:8080"):
                assert (await entry.call("/safe/x", Host=host))[0] == 200

        run_rig(test)
