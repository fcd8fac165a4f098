"""Tests that an entry instance does not take a faulty upstream's bytes for another answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import pytest

from standin.entryupstream import (
    ReceivedRequest,
    answer_whole,
    format_answer,
    format_chunk,
    format_event,
    format_stream_head,
)
from tests.entryrig import Rig, reset_connection, run_rig, wait_ready
from tests.streams import read_stream

REFUSAL = "HTTP/1.1 503 Service Unavailable\r\n{id}Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"
MISDIRECTED = "HTTP/1.1 421 Misdirected Request\r\n{id}Content-Length: 0\r\n\r\n"
CUT_HEADS = {
    "status": "HTTP/1.1 200 OK\r\n",
    "half-a-status": "HTTP/1.1 2",
    "headers": "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nWorker-Signature: s\r\nContent-Le",
    "no-empty-line": "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nWorker-Signature: s\r\n"
    "Content-Length: 0\r\n",
    "stream": "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nWorker-Signature: s\r\n"
    "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n",
}


def repeat_refusal(refusal: str, answered: bool) -> Callable:
    """Return a script that sends an earlier refusal before, or instead of, a later answer."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if request.id == "r1":
            writer.write(format_answer(request, b"first", Keep_Alive="timeout=30"))
            return
        writer.write(refusal.encode())
        await writer.drain()
        await asyncio.sleep(0.05)
        if answered:
            writer.write(format_answer(request, b"second", Keep_Alive="timeout=30"))
            return
        reset_connection(writer)

    return script


class TestEarlierRefusal:
    """Tests refusals of an earlier request that arrive again on a reused connection."""

    @pytest.mark.parametrize("line", ["Request-Id: r1\r\n", ""], ids=["with-id", "without-id"])
    @pytest.mark.parametrize("refusal", [REFUSAL, MISDIRECTED], ids=["503", "421"])
    @pytest.mark.parametrize("answered", [True, False])
    def test_is_not_taken_for_a_refusal_of_the_running_request(self, line, refusal, answered):
        """Guards against 'not run' for a request that ran, and against a second run."""

        async def test(rig: Rig) -> None:
            script = repeat_refusal(refusal.replace("{id}", line), answered)
            first = await rig.add_upstream("u1", script)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            assert (await entry.call("/unsafe/x", "r1"))[:2] == (200, b"first")
            second = await rig.add_upstream("u2", answer_whole)
            await wait_ready(entry, 2)
            for found in entry.instance.view.upstreams.values():
                track = entry.instance.placement.tracker.get(found.incarnation)
                track.latency.value = 0.05
                track.in_flight = 7 if found.name == "u2" else 0
            status, body, _ = await entry.call("/unsafe/x", "r2")
            assert (status, body) == (200, b"second") if answered else status == 502
            assert len(first.received) == 2
            assert first.received[0].connection == first.received[1].connection
            assert not second.received

        run_rig(test)

    def test_refusal_without_an_id_on_a_new_connection_is_not_trusted(self):
        """Guards against 'not run' because of a refusal that may be of another request."""

        async def shed(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(REFUSAL.replace("{id}", "").encode())

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", shed)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            assert (await entry.call("/unsafe/x"))[0] == 502

        run_rig(test)


def break_then(build_answer: Callable[[ReceivedRequest], bytes], close: bool = False) -> Callable:
    """Return a script that breaks off after two events and then answers with `build_answer`."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if request.get("last-event-id"):
            writer.write(build_answer(request))
            if close:
                await writer.drain()
                writer.close()
            return
        writer.write(format_stream_head(request))
        writer.write(format_chunk(format_event(1) + format_event(2)))
        await writer.drain()
        await asyncio.sleep(0.02)
        reset_connection(writer)

    return script


def answer_text(request: ReceivedRequest) -> bytes:
    return format_answer(request, b"out of memory\n\n", Content_Type="text/plain")


def answer_error(request: ReceivedRequest) -> bytes:
    status = "500 Internal Server Error"
    return format_answer(request, b"out of memory\n\n", status, Content_Type="text/plain")


def send_event_without_id(request: ReceivedRequest) -> bytes:
    event = b"event: error\ndata: out of memory\n\n"
    return format_stream_head(request) + format_chunk(event) + format_chunk(b"")


def end_at_once(request: ReceivedRequest) -> bytes:
    return format_stream_head(request) + format_chunk(b"")


def repeat_last_event(request: ReceivedRequest) -> bytes:
    return format_stream_head(request) + format_chunk(format_event(2)) + format_chunk(b"")


def send_answer_as_chunk(request: ReceivedRequest) -> bytes:
    inner = answer_error(request)
    return format_stream_head(request) + format_chunk(inner) + format_chunk(b"")


class TestResumedStream:
    """Tests a stream that broke off and is followed by something else than its remaining events."""

    @pytest.mark.parametrize(
        "build_answer",
        [
            answer_text,
            answer_error,
            send_event_without_id,
            end_at_once,
            repeat_last_event,
            send_answer_as_chunk,
        ],
    )
    def test_other_answer_neither_joins_nor_completes_the_stream(self, build_answer):
        """Guards against an error's text in a stream, and a stream that ends early as complete."""

        async def test(rig: Rig) -> None:
            for name in ("u1", "u2"):
                await rig.add_upstream(name, break_then(build_answer))
            entry = await rig.add_entry()
            await wait_ready(entry, 2)
            received, complete = await read_stream(entry)
            assert received == format_event(1) + format_event(2)
            assert not complete

        run_rig(test)

    def test_comments_of_a_resumed_stream_are_not_passed_on(self):
        """Guards against a second upstream's comments within the stream of the first one."""

        def resume(request: ReceivedRequest) -> bytes:
            events = b": alive\n\n" + format_event(3)
            return format_stream_head(request) + format_chunk(events) + format_chunk(b"")

        async def test(rig: Rig) -> None:
            for name in ("u1", "u2"):
                await rig.add_upstream(name, break_then(resume))
            entry = await rig.add_entry()
            await wait_ready(entry, 2)
            received, complete = await read_stream(entry)
            assert received == b"".join(format_event(number) for number in (1, 2, 3))
            assert complete

        run_rig(test)


class TestCutHead:
    """Tests an upstream that closes its connection, without a reset, within an answer's head."""

    @pytest.mark.parametrize("head", CUT_HEADS.values(), ids=CUT_HEADS.keys())
    @pytest.mark.parametrize("path", ["/unsafe/x", "/stream/x"])
    def test_answer_is_not_passed_on_as_complete(self, path, head):
        """Guards against a 200 with an empty or short body after an incomplete head."""

        async def send_head(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(head.replace("{id}", request.id).encode())
            await writer.drain()
            writer.close()

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", send_head)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            assert (await entry.call(path))[0] == 502

        run_rig(test)

    @pytest.mark.parametrize("head", CUT_HEADS.values(), ids=CUT_HEADS.keys())
    def test_stream_that_is_resumed_with_it_does_not_end_as_complete(self, head):
        """Guards against a stream that an incomplete head ends as complete."""

        async def test(rig: Rig) -> None:
            def build_head(request: ReceivedRequest) -> bytes:
                return head.replace("{id}", request.id).encode()

            for name in ("u1", "u2"):
                await rig.add_upstream(name, break_then(build_head, close=True))
            entry = await rig.add_entry()
            await wait_ready(entry, 2)
            received, complete = await read_stream(entry)
            assert received == format_event(1) + format_event(2)
            assert not complete

        run_rig(test)


class TestFailureWithoutPromise:
    """Tests failures whose status would promise a caller that its request has not run."""

    @pytest.mark.parametrize("status", ["503 Unavailable", "429 Many", "408 Timeout"])
    def test_request_that_may_have_run_is_not_called_not_run(self, status):
        """Guards against a caller that sends a request again which ran before it failed."""

        async def fail(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(format_answer(request, b"failed", status))
            await writer.drain()

        async def test(rig: Rig) -> None:
            upstreams = [await rig.add_upstream(f"u{number}", fail) for number in range(2)]
            entry = await rig.add_entry()
            await wait_ready(entry, 2)
            answered, _, headers = await entry.call("/unsafe/x")
            assert answered == 502
            assert "Worker-Signature" not in headers
            assert sum(len(upstream.received) for upstream in upstreams) == 1

        run_rig(test)
