"""Tests of an entry instance with upstreams that send without end."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import Callable

import pytest

from jayyoke.edge.connection import MAX_ANSWER_BYTES
from standin.entryupstream import (
    ReceivedRequest,
    Script,
    answer_whole,
    format_chunk,
    format_stream_head,
)
from tests.entryrig import Rig, run_rig, wait_ready, wait_until

BLOCK = 64 << 10
PLAIN_HEAD = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nWorker-Signature: sig\r\n"
# What the kernel's buffers may hold beyond what the instance read.
BUFFERED_BYTES = 16 << 20

# What an upstream sends first, and the bytes that it then repeats without end.
HEADS: dict[str, tuple[str, bytes]] = {
    "line": ("HTTP/1.1 200 ", b"x" * BLOCK),
    "empty-lines": ("", b"\r\n" * BLOCK),
    "header": (PLAIN_HEAD + "X: ", b"x" * BLOCK),
    "headers": (PLAIN_HEAD, b"X-Y: " + b"z" * 1000 + b"\r\n"),
    "interim-answers": ("", b"HTTP/1.1 100 Continue\r\n\r\n" * 1000),
    "foreign-answer": (
        "HTTP/1.1 200 OK\r\nRequest-Id: other\r\nTransfer-Encoding: chunked\r\n\r\n",
        format_chunk(b"x" * BLOCK),
    ),
    "failure": (
        "HTTP/1.1 500 E\r\nRequest-Id: {id}\r\nWorker-Signature: sig\r\n"
        "Transfer-Encoding: chunked\r\n\r\n",
        format_chunk(b"x" * BLOCK),
    ),
}
BODIES: dict[str, tuple[str, bytes]] = {
    "chunks": (PLAIN_HEAD + "Transfer-Encoding: chunked\r\n\r\n", format_chunk(b"x" * BLOCK)),
    "chunk-extension": (PLAIN_HEAD + "Transfer-Encoding: chunked\r\n\r\n5;", b"x" * BLOCK),
    "no-length": (PLAIN_HEAD + "\r\n", b"x" * BLOCK),
    "length": (PLAIN_HEAD + "Content-Length: 99999999999\r\n\r\n", b"x" * BLOCK),
}
EVENTS: dict[str, bytes] = {
    "unfinished": b"data: " + b"x" * BLOCK,
    "comments": b": still here\n\n" * 1000,
    "repeated": b"id: 0\ndata: again\n\n" * 1000,
}


class EndlessAnswer:
    """Sends bytes until the connection is closed, and counts them."""

    def __init__(self, build_start: Callable[[ReceivedRequest], bytes], block: bytes):
        self._build_start = build_start
        self._block = block
        self.sent = 0
        self.ended = False

    async def send(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        try:
            writer.write(self._build_start(request))
            while True:
                writer.write(self._block)
                await writer.drain()
                self.sent += len(self._block)
        finally:
            self.ended = True


def build_endless(case: tuple[str, bytes]) -> EndlessAnswer:
    head, block = case
    return EndlessAnswer(lambda request: head.format(id=request.id).encode(), block)


async def call_once(rig: Rig, script: Script, path: str) -> tuple[int | None, bytes]:
    """Call once; return status and body, or None and the error if the body was cut off."""
    await rig.add_upstream("u1", script)
    entry = await rig.add_entry()
    await wait_ready(entry, 1)
    try:
        status, body, _ = await entry.call(path, request_id="r1")
    except Exception as error:
        return None, repr(error).encode()
    return status, body


class TestPlainAnswers:
    @pytest.mark.parametrize("name", HEADS)
    def test_endless_head_ends_in_a_server_error(self, name):
        """Guards against endless bytes that take memory and time until the deadline."""

        async def test(rig: Rig) -> None:
            endless = build_endless(HEADS[name])
            status, _ = await call_once(rig, endless.send, "/unsafe/x")
            assert status in (500, 502)
            await wait_until(lambda: endless.ended)
            assert endless.sent <= MAX_ANSWER_BYTES + BUFFERED_BYTES

        run_rig(test)

    @pytest.mark.parametrize("name", BODIES)
    def test_endless_body_is_cut_off_and_not_complete(self, name):
        """Guards against an answer that the instance cuts off and passes on as complete."""

        async def test(rig: Rig) -> None:
            endless = build_endless(BODIES[name])
            status, _ = await call_once(rig, endless.send, "/unsafe/x")
            assert status is None or status == 502
            await wait_until(lambda: endless.ended)
            assert endless.sent <= MAX_ANSWER_BYTES + BUFFERED_BYTES

        run_rig(test)

    def test_repeatable_request_goes_to_another_upstream(self):
        """Guards against a failed request although another upstream can answer it."""

        async def test(rig: Rig) -> None:
            endless = build_endless(HEADS["header"])
            await rig.add_upstream("u1", endless.send)
            await rig.add_upstream("u2", answer_whole)
            entry = await rig.add_entry()
            await wait_ready(entry, 2)
            for number in range(4):
                assert (await entry.call("/safe/x", request_id=f"r{number}"))[0] == 200

        run_rig(test)


class TestStreams:
    @pytest.mark.parametrize("name", EVENTS)
    def test_endless_bytes_without_a_new_event_end_the_stream(self, name):
        """Guards against a stream that is kept open by bytes that complete no new event."""

        async def test(rig: Rig) -> None:
            chunk = format_chunk(EVENTS[name])
            first = format_chunk(b"id: 0\ndata: first\n\n")
            endless = EndlessAnswer(lambda request: format_stream_head(request) + first, chunk)
            status, _ = await call_once(rig, endless.send, "/stream/x")
            assert status is None
            await wait_until(lambda: endless.ended)
            assert endless.sent <= MAX_ANSWER_BYTES + BUFFERED_BYTES

        run_rig(test)


class TestDeadline:
    """Tests bytes that are there when the time of a call is over."""

    @pytest.mark.parametrize("name", ["comments", "repeated", "events"])
    def test_endless_stream_ends_at_its_deadline(self, name):
        """Guards against a stream that never waits, so that no timer ends it."""
        numbers = itertools.count(2)

        async def send(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(format_stream_head(request) + format_chunk(b"id: 1\ndata: x\n\n"))
            while True:
                block = EVENTS.get(name) or b"".join(
                    b"id: %d\ndata: x\n\n" % next(numbers) for _ in range(500)
                )
                writer.write(format_chunk(block[:8000]))
                await writer.drain()
                await asyncio.sleep(0)

        async def test(rig: Rig) -> None:
            began_s = asyncio.get_running_loop().time()
            status, _ = await call_once(rig, send, "/stream/x")
            assert status is None
            # The caller's 2.5 s, and time for the start of the rig on a busy machine.
            assert asyncio.get_running_loop().time() - began_s < 10.0

        run_rig(test)
