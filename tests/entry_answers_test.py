"""Tests of an entry instance with upstreams whose answers break off, mix or are invalid."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from standin.entryupstream import (
    ReceivedRequest,
    format_answer,
    format_chunk,
    format_event,
    format_stream_head,
)
from tests.entryrig import Rig, reset_connection, run_rig, wait_ready


class TestAnswerEnd:
    def test_repeated_answer_is_not_passed_on_to_the_next_request(self):
        """Guards against passing on an answer to the previous request on the connection."""

        async def answer_twice(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
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
            assert len(upstream.received) == 7

        run_rig(test)

    def test_end_of_the_connection_completes_an_answer_without_length(self):
        """Guards against refusing an answer that only the end of its connection completes."""

        async def answer_unframed(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
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
        """Guards against passing on a part of an answer as complete."""

        async def answer_unframed(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            head = f"HTTP/1.1 200 OK\r\nRequest-Id: {request.id}\r\nWorker-Signature: sig\r\n\r\n"
            writer.write(head.encode() + b"a part")
            await writer.drain()
            await asyncio.sleep(0.05)
            reset_connection(writer)

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", answer_unframed)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            status, _, _ = await entry.call("/unsafe/x")
            assert status == 502

        run_rig(test)


class TestStreams:
    def test_stream_resumes_at_another_upstream_without_a_gap(self):
        """Guards against doubled, missing and joined events when a stream is broken off."""

        async def break_off(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(format_stream_head(request))
            writer.write(format_chunk(format_event(1) + format_event(2)))
            writer.write(format_chunk(format_event(3)[:9]))
            await writer.drain()
            await asyncio.sleep(0.02)
            reset_connection(writer)

        async def resume(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
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
            await rig.add_upstream("u1", resume)
            await rig.add_upstream("u2", resume)
            entry = await rig.add_entry()
            await wait_ready(entry, 2)
            status, body, _ = await entry.call("/resume/x")
            assert status == 200
            assert body == b"".join(format_event(number) for number in range(1, 6))
            assert sum(len(upstream.received) for upstream in rig.upstreams) == 2

        run_rig(test)

    def test_broken_stream_does_not_end_as_complete(self):
        """Guards against a stream that ends as complete before its last event."""

        async def break_off(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
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
            assert len(upstream.received) + len(rig.upstreams[1].received) == 1

        run_rig(test)


class TestUnframedStreams:
    """Tests streams with neither a length nor chunks, which end with their connection."""

    def run(self, bodies: list[bytes], path: str) -> tuple[int, bytes, int]:
        """Return status and body of a call, and its sends, given the bodies of the upstreams."""

        async def answer_unframed(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            head = format_stream_head(request).replace(b"Transfer-Encoding: chunked\r\n", b"")
            writer.write(head + bodies.pop(0))
            await writer.drain()
            writer.close()

        found: list[tuple[int, bytes, int]] = []

        async def test(rig: Rig) -> None:
            upstreams = [await rig.add_upstream(f"u{n}", answer_unframed) for n in range(2)]
            entry = await rig.add_entry()
            await wait_ready(entry, 2)
            try:
                status, body, _ = await entry.call(path)
            except aiohttp.ClientError:
                status, body = 0, b""
            found.append((status, body, sum(len(upstream.received) for upstream in upstreams)))

        run_rig(test)
        return found[0]

    def test_end_of_the_connection_completes_a_stream(self):
        """Guards against a whole stream that is run again or counts as broken off."""
        body = format_event(1) + format_event(2)
        assert self.run([body], "/resume/x") == (200, body, 1)

    def test_stream_that_ends_within_an_event_goes_on_elsewhere(self):
        """Guards against half an event, or a stream that ends as complete before its last one."""
        rest = format_event(2) + format_event(3)
        found = self.run([format_event(1) + format_event(2)[:9], rest], "/resume/x")
        assert found == (200, format_event(1) + rest, 2)
        assert self.run([format_event(1) + b"id: 2\nda"], "/stream/x")[0] == 0

    def test_stream_without_an_event_is_broken(self):
        """Guards against an engine that ends in order and so clears the part that ended it."""
        body = format_event(1)
        assert self.run([b"", body], "/resume/x") == (200, body, 2)
        assert self.run([b""], "/stream/x")[0] == 502


class TestInvalidAnswers:
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
    def test_invalid_success_is_not_passed_on(self, head):
        """Guards against passing on a faulty upstream's bytes as the answer to a request."""

        async def send_invalid(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(head.replace("{id}", request.id).encode("latin-1"))

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", send_invalid)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            assert (await entry.call("/unsafe/x"))[0] == 502

        run_rig(test)


class TestIdleConnections:
    def test_broken_connection_closes_the_idle_ones(self):
        """Guards against losing one request on each idle connection that is dead."""

        async def test(rig: Rig) -> None:
            seen = 0

            async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
                nonlocal seen
                seen += 1
                if request.id == "broken":
                    reset_connection(writer)
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
