"""Tests of faulty upstreams whose bytes must not look like another answer, at an entry instance."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import aiohttp
import pytest

from standin.entryupstream import (
    SeenRequest,
    answer_whole,
    format_answer,
    format_chunk,
    format_event,
    format_stream_head,
)
from tests.entryrig import Rig, reset, run_rig, wait_ready

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


def refuse_late(refusal: str, answered: bool) -> Callable:
    """Return a script that writes an earlier refusal once more where a later answer is due."""

    async def script(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
        if request.id == "r1":
            writer.write(format_answer(request, b"first", Keep_Alive="timeout=30"))
            return
        writer.write(refusal.encode())
        await writer.drain()
        await asyncio.sleep(0.05)
        if answered:
            writer.write(format_answer(request, b"second", Keep_Alive="timeout=30"))
            return
        reset(writer)

    return script


class TestEarlierRefusal:
    """Tests an earlier refusal that comes again on a kept connection."""

    @pytest.mark.parametrize("line", ["Request-Id: r1\r\n", ""], ids=["with-id", "without-id"])
    @pytest.mark.parametrize("refusal", [REFUSAL, MISDIRECTED], ids=["503", "421"])
    @pytest.mark.parametrize("answered", [True, False])
    def test_does_not_make_a_request_that_runs_one_that_did_not(self, line, refusal, answered):
        """Guards against 'not run' for a request that ran, and against a second run."""

        async def test(rig: Rig) -> None:
            script = refuse_late(refusal.replace("{id}", line), answered)
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
            assert len(first.seen) == 2
            assert first.seen[0].connection == first.seen[1].connection
            assert not second.seen

        run_rig(test)

    def test_refusal_without_an_id_on_a_new_connection_promises_nothing(self):
        async def shed(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(REFUSAL.replace("{id}", "").encode())

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", shed)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            assert (await entry.call("/unsafe/x"))[0] == 502

        run_rig(test)


def break_then(second: Callable[[SeenRequest], bytes], close: bool = False) -> Callable:
    """Return a script whose first run breaks off after two events and whose next answers else."""

    async def script(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
        if request.get("last-event-id"):
            writer.write(second(request))
            if close:
                await writer.drain()
                writer.close()
            return
        writer.write(format_stream_head(request))
        writer.write(format_chunk(format_event(1) + format_event(2)))
        await writer.drain()
        await asyncio.sleep(0.02)
        reset(writer)

    return script


def answer_text(request: SeenRequest) -> bytes:
    return format_answer(request, b"out of memory\n\n", Content_Type="text/plain")


def answer_error(request: SeenRequest) -> bytes:
    status = "500 Internal Server Error"
    return format_answer(request, b"out of memory\n\n", status, Content_Type="text/plain")


def send_event_without_id(request: SeenRequest) -> bytes:
    event = b"event: error\ndata: out of memory\n\n"
    return format_stream_head(request) + format_chunk(event) + format_chunk(b"")


def end_at_once(request: SeenRequest) -> bytes:
    return format_stream_head(request) + format_chunk(b"")


def repeat_only(request: SeenRequest) -> bytes:
    return format_stream_head(request) + format_chunk(format_event(2)) + format_chunk(b"")


def send_whole_head_as_text(request: SeenRequest) -> bytes:
    inner = answer_error(request)
    return format_stream_head(request) + format_chunk(inner) + format_chunk(b"")


class TestResumedStream:
    """Tests a stream that began, broke off, and met something else than its rest."""

    @pytest.mark.parametrize(
        "second",
        [
            answer_text,
            answer_error,
            send_event_without_id,
            end_at_once,
            repeat_only,
            send_whole_head_as_text,
        ],
    )
    def test_what_is_no_rest_of_it_neither_joins_nor_completes_it(self, second):
        """Guards against an error's text in a stream, and a stream that ends early as complete."""

        async def test(rig: Rig) -> None:
            for name in ("u1", "u2"):
                await rig.add_upstream(name, break_then(second))
            entry = await rig.add_entry()
            await wait_ready(entry, 2)
            seen, whole = await read_stream(entry)
            assert seen == format_event(1) + format_event(2)
            assert not whole

        run_rig(test)

    def test_comments_of_a_resumed_run_are_not_passed_on(self):
        def go_on(request: SeenRequest) -> bytes:
            events = b": alive\n\n" + format_event(3)
            return format_stream_head(request) + format_chunk(events) + format_chunk(b"")

        async def test(rig: Rig) -> None:
            for name in ("u1", "u2"):
                await rig.add_upstream(name, break_then(go_on))
            entry = await rig.add_entry()
            await wait_ready(entry, 2)
            seen, whole = await read_stream(entry)
            assert seen == b"".join(format_event(number) for number in (1, 2, 3))
            assert whole

        run_rig(test)


async def read_stream(entry) -> tuple[bytes, bool]:
    """Return what a caller of the resumable route gets, and whether it ended as complete."""
    seen = b""
    headers = {
        "Host": "calls.example",
        "Request-Id": "r1",
        "Deadline-Ms": "2500",
        "Authorization": "Bearer key-of-the-yard",
    }
    async with aiohttp.ClientSession() as http:
        try:
            async with http.post(f"{entry.url}/resume/x", headers=headers, data=b"b") as answer:
                assert answer.status == 200
                async for part in answer.content.iter_any():
                    seen += part
        except aiohttp.ClientError:
            return seen, False
    return seen, True


class TestCutHead:
    """Tests an upstream that stops within the head of its answer and closes in order."""

    @pytest.mark.parametrize("head", CUT_HEADS.values(), ids=CUT_HEADS.keys())
    @pytest.mark.parametrize("path", ["/unsafe/x", "/stream/x"])
    def test_answer_does_not_look_whole(self, path, head):
        """Guards against a 200 with an empty or short body from half a head."""

        async def stop(request: SeenRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(head.replace("{id}", request.id).encode())
            await writer.drain()
            writer.close()

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", stop)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            assert (await entry.call(path))[0] == 502

        run_rig(test)

    @pytest.mark.parametrize("head", CUT_HEADS.values(), ids=CUT_HEADS.keys())
    def test_stream_that_resumes_at_it_does_not_look_whole(self, head):
        async def test(rig: Rig) -> None:
            def stop(request: SeenRequest) -> bytes:
                return head.replace("{id}", request.id).encode()

            for name in ("u1", "u2"):
                await rig.add_upstream(name, break_then(stop, close=True))
            entry = await rig.add_entry()
            await wait_ready(entry, 2)
            seen, whole = await read_stream(entry)
            assert seen == format_event(1) + format_event(2)
            assert not whole

        run_rig(test)
