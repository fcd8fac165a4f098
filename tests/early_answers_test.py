"""Tests answers that end before their request was written, and statuses that are none."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from jayyoke.core.clock import SystemClock
from jayyoke.core.config import ClassKind, ClassSpec, TeamSpec
from jayyoke.core.error import AnswerBroken, Effect, StoreUnavailable
from jayyoke.core.request import CallerRequest
from jayyoke.core.upstream import Upstream
from jayyoke.ops.forward import call_plain
from jayyoke.ops.notices import UpstreamNotices
from jayyoke.ops.requestlimit import build_own_limits
from jayyoke.ops.steward_test import SERVICE
from jayyoke.platform.objects import Objects
from jayyoke.utils.connector import BoundedConnector
from standin.earlyupstream import ENDINGS, EarlyUpstream
from standin.entryconfig import HOST, KEY, build_config
from standin.entryupstream import ReceivedRequest, answer_whole, format_answer, format_event
from tests.entryrig import Rig, RunningEntry, run_rig, wait_ready

HEAD = b"HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nWorker-Signature: sig\r\n"
STREAM_HEAD = HEAD + b"Content-Type: text/event-stream\r\n"
LARGE_BYTES = 4 << 20
LIMITS = {
    "maxHeaderBytes": 16384,
    "maxBodyBytes": LARGE_BYTES,
    "headerTimeoutMs": 500,
    "idleTimeoutMs": 15000,
}
EVENTS = b"".join(format_event(number) for number in range(1, 4))
PARTS = {
    "short": (HEAD + b"\r\npart of it", STREAM_HEAD + b"\r\n" + EVENTS),
    "long": (HEAD + b"\r\n" + b"p" * 300_000, STREAM_HEAD + b"\r\n" + EVENTS * 9000),
    "head-only": (HEAD + b"\r\n", STREAM_HEAD + b"\r\n"),
}
STATUSES = ("000", "099", "600", "999")


async def call(
    entry: RunningEntry, http: aiohttp.ClientSession, path: str, body: bytes
) -> tuple[int, bytes] | None:
    """Return the status and the body of an answer, or None if it was cut."""
    headers = {
        "Host": HOST,
        "Request-Id": "r1",
        "Deadline-Ms": "2500",
        "Authorization": f"Bearer {KEY}",
    }
    try:
        async with http.post(entry.url + path, data=body, headers=headers) as answer:
            return answer.status, await answer.read()
    except aiohttp.ClientError:
        return None


def call_entry(upstream, path: str, body: bytes) -> tuple[int, bytes] | None:
    """Return what a caller of an instance with one upstream gets."""
    found: list[tuple[int, bytes] | None] = []

    async def main(rig: Rig) -> None:
        await upstream.start()
        rig.upstreams.append(upstream)
        rig.store.put("servers", upstream.name, upstream.describe("desk"))
        entry = await rig.add_entry()
        await wait_ready(entry, 1)
        async with aiohttp.ClientSession() as http:
            found.append(await call(entry, http, path, body))

    run_rig(main, build_config(limits=LIMITS))
    return found[0]


class TestEarlyAnswer:
    """Tests answers without a length whose connection ends while the request is written."""

    @pytest.mark.parametrize("kind", ["safe", "unsafe", "stream", "resume"])
    @pytest.mark.parametrize("ending", ENDINGS)
    @pytest.mark.parametrize("part", PARTS)
    def test_part_of_an_answer_never_looks_whole(self, part, ending, kind):
        """Guards against a caller that takes the beginning of an answer for all of it."""
        sent = PARTS[part][kind in ("stream", "resume")]
        found = call_entry(EarlyUpstream("u1", sent, ending), f"/{kind}/x", b"b" * LARGE_BYTES)
        assert found is None or found[0] >= 500

    @pytest.mark.parametrize("read_bytes", [200_000, LARGE_BYTES // 2])
    @pytest.mark.parametrize("size", [1 << 20, LARGE_BYTES])
    def test_end_while_the_request_is_read(self, size, read_bytes):
        """Guards against the same in the middle of the request."""
        upstream = EarlyUpstream(
            "u1", PARTS["short"][0], "half-close-then-read", min(read_bytes, size // 2)
        )
        found = call_entry(upstream, "/unsafe/x", b"b" * size)
        assert found is None or found[0] >= 500

    def test_answer_after_the_whole_request_is_complete(self):
        """Guards against the loss of answers that end with their connection."""
        upstream = EarlyUpstream("u1", PARTS["short"][0], "half-close-then-read", LARGE_BYTES)
        found = call_entry(upstream, "/unsafe/x", b"b" * LARGE_BYTES)
        assert found == (200, b"part of it")

    def test_answer_with_a_length_is_complete(self):
        """Guards against the loss of refusals that come before the request was read."""
        part = HEAD.replace(b"200 OK", b"413 Too Large") + b"Content-Length: 2\r\n\r\nno"
        found = call_entry(
            EarlyUpstream("u1", part, "half-close-then-read"), "/unsafe/x", b"b" * LARGE_BYTES
        )
        assert found == (413, b"no")


class TestStatus:
    """Tests statuses that no answer has."""

    @pytest.mark.parametrize("kind", ["safe", "unsafe", "stream", "resume"])
    @pytest.mark.parametrize("status", STATUSES)
    def test_it_is_no_answer(self, status, kind):
        """Guards against a caller that gets a status which HTTP does not have."""

        async def answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(format_answer(request, b"odd", f"{status} Odd"))
            await writer.drain()

        found: list[tuple[int, bytes] | None] = []

        async def main(rig: Rig) -> None:
            await rig.add_upstream("u1", answer)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            async with aiohttp.ClientSession() as http:
                found.append(await call(entry, http, f"/{kind}/x", b"b"))

        run_rig(main, build_config())
        assert found[0] is not None and 500 <= found[0][0] < 600 and found[0][1] != b"odd"

    def test_interim_answer_goes_before_the_answer(self):
        """Guards against interim answers that are taken for invalid ones."""

        async def answer(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(b"HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n")
            await answer_whole(request, writer)

        found: list[tuple[int, bytes] | None] = []

        async def main(rig: Rig) -> None:
            await rig.add_upstream("u1", answer)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            async with aiohttp.ClientSession() as http:
                found.append(await call(entry, http, "/unsafe/x", b"b"))

        run_rig(main, build_config())
        assert found[0] == (200, b"done r1")


def run_client(upstream, use) -> None:
    """Run a test of the client that `jayyoked` uses, and entry instances for store and peers."""

    async def main() -> None:
        await upstream.start()
        try:
            connector = BoundedConnector(limit=0)
            async with aiohttp.ClientSession(connector=connector) as http, asyncio.timeout(20):
                await use(http, f"http://{upstream.address}")
        finally:
            await upstream.close()

    asyncio.run(main())


class TestClient:
    """Tests the same answers at the client of `jayyoked`."""

    @pytest.mark.parametrize("ending", ENDINGS)
    @pytest.mark.parametrize("part", PARTS)
    def test_part_of_an_answer_never_looks_whole(self, part, ending):
        """Guards against a part of an answer that is taken for all of it."""

        async def use(http: aiohttp.ClientSession, url: str) -> None:
            with pytest.raises(aiohttp.ClientError):
                async with http.post(url, data=b"b" * LARGE_BYTES) as answer:
                    await answer.read()

        run_client(EarlyUpstream("u1", PARTS[part][0], ending), use)

    def test_answer_after_the_whole_request_is_complete(self):
        """Guards against the loss of answers that end with their connection."""

        async def use(http: aiohttp.ClientSession, url: str) -> None:
            async with http.post(url, data=b"b" * LARGE_BYTES) as answer:
                assert await answer.read() == b"part of it"

        part = PARTS["short"][0]
        run_client(EarlyUpstream("u1", part, "half-close-then-read", LARGE_BYTES), use)

    @pytest.mark.parametrize("status", STATUSES)
    def test_odd_status_is_no_answer(self, status):
        """Guards against a status that HTTP does not have."""
        part = HEAD.replace(b"200", status.encode()) + b"Content-Length: 2\r\n\r\nok"

        async def use(http: aiohttp.ClientSession, url: str) -> None:
            with pytest.raises(aiohttp.ClientError):
                async with http.get(url) as answer:
                    await answer.read()

        run_client(EarlyUpstream("u1", part, "half-close-then-read"), use)

    @pytest.mark.parametrize("status", ["000", "600", "200"])
    @pytest.mark.parametrize("kind", [ClassKind.LOOKUP, ClassKind.ONCE])
    def test_call_of_a_plain_service_may_have_run(self, kind, status):
        """Guards against a caller of `jayyoked` that gets a part or an odd status as an answer."""
        part = PARTS["short"][0].replace(b"200", status.encode()).replace(b"Request", b"X-Request")

        async def use(http: aiohttp.ClientSession, url: str) -> None:
            now_s = SystemClock().now_s
            spec = ClassSpec("check", kind, "desk", 9.0)
            request = CallerRequest(
                "r1", TeamSpec("t", ""), spec, SERVICE, 0.0, 1e9, body=b"b" * LARGE_BYTES
            )
            upstream = Upstream("u1", "desk", "a", url.removeprefix("http://"))
            with pytest.raises(AnswerBroken):
                await call_plain(
                    http, upstream, request, 5.0, UpstreamNotices(now_s), build_own_limits(now_s)
                )

        run_client(EarlyUpstream("u1", part, "half-close-then-read"), use)

    def test_write_that_was_not_sent_whole_may_have_no_effect(self):
        """Guards against an object that counts as written while its bytes were being sent."""

        async def use(http: aiohttp.ClientSession, url: str) -> None:
            with pytest.raises(StoreUnavailable) as caught:
                await Objects(http, url).put("a", b"b" * LARGE_BYTES)
            assert caught.value.effect is Effect.UNKNOWN

        run_client(EarlyUpstream("u1", HEAD + b"\r\n", "half-close-then-read"), use)
