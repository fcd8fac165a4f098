"""Tests requests within the limits, and clients at their edge, at an entry instance."""

from __future__ import annotations

import asyncio

import pytest

from jayyoke.inputlimits.budget import InputBudget
from standin.entryconfig import HOST, KEY, build_config
from standin.entryupstream import ReceivedRequest, answer_whole
from tests.entryrig import Rig, RunningEntry, run_rig, wait_ready, wait_until

HEADER_BYTES = 16384
BODY_BYTES = 65536
FIELDS = f"Host: {HOST}\r\nAuthorization: Bearer {KEY}\r\nDeadline-Ms: 2500\r\n"
HEAD = f"POST /safe/x HTTP/1.1\r\n{FIELDS}"
# The parser refuses more fields.
MANY_FIELDS = 120


async def answer_late(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Answer after some time."""
    await asyncio.sleep(0.4)
    await answer_whole(request, writer)


async def exchange(entry: RunningEntry, *parts: bytes, pause_s: float = 0.0) -> bytes:
    """Send parts over one connection; return what it answers until it is closed."""
    host, _, port = entry.url.removeprefix("http://").rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        for part in parts:
            writer.write(part)
            await writer.drain()
            await asyncio.sleep(pause_s)
        async with asyncio.timeout(15):
            return await reader.read()
    except ConnectionError:
        return b""
    finally:
        writer.transport.abort()


def run_entry(test) -> None:
    """Run a test with one instance and one upstream."""

    async def main(rig: Rig) -> None:
        upstream = await rig.add_upstream("u1", answer_whole)
        entry = await rig.add_entry()
        await wait_ready(entry, 1)
        await test(entry, upstream)

    run_rig(main, build_config())


def build_head(request_id: str, *fields: str, last: bool = True) -> bytes:
    """Return the head of a request; after the last one the connection is closed."""
    lines = [f"Request-Id: {request_id}", *fields]
    if last:
        lines.append("Connection: close")
    return (HEAD + "".join(f"{line}\r\n" for line in lines) + "\r\n").encode()


class TestWithinLimits:
    """Tests requests that are as large as allowed."""

    @pytest.mark.parametrize("fields", [1, 2, MANY_FIELDS])
    def test_head_of_the_limit(self, fields):
        """Guards against the refusal of a head of the limit, in one field or in many."""
        size = (HEADER_BYTES - 400) // fields - len("X-Field-000: \r\n")
        names = [f"X-Field-{number:03}: {'v' * size}" for number in range(fields)]

        async def main(entry, upstream) -> None:
            answer = await exchange(entry, build_head("r1", "Content-Length: 0", *names))
            assert answer.startswith(b"HTTP/1.1 200")

        run_entry(main)

    def test_one_field_of_the_limit(self):
        """Guards against the refusal of a field whose name and value have the limit together."""
        field = "X-F: " + "v" * (HEADER_BYTES - len("X-F"))

        async def main(entry, upstream) -> None:
            answer = await exchange(entry, build_head("r1", "Content-Length: 0", field))
            assert answer.startswith(b"HTTP/1.1 200")

        run_entry(main)

    @pytest.mark.parametrize("chunk_bytes", [0, 1, 4096, BODY_BYTES])
    def test_body_of_the_limit(self, chunk_bytes):
        """Guards against the loss of a body of the limit, whole or in chunks of any size."""
        if chunk_bytes:
            chunk = b"%x;a=b\r\n" % chunk_bytes + b"b" * chunk_bytes + b"\r\n"
            body = chunk * (BODY_BYTES // chunk_bytes) + b"0\r\nX-T: v\r\n\r\n"
            head = build_head("r1", "Transfer-Encoding: chunked")
        else:
            body = b"b" * BODY_BYTES
            head = build_head("r1", f"Content-Length: {BODY_BYTES}")

        async def main(entry, upstream) -> None:
            answer = await exchange(entry, head, body)
            assert answer.startswith(b"HTTP/1.1 200")
            assert len(upstream.received[0].body) == BODY_BYTES

        run_entry(main)

    def test_pipelined_requests(self):
        """Guards against requests that are lost when reading stops and begins again."""
        count = 100
        padding = "X-Padding: " + "v" * 1000
        requests = []
        for number in range(count):
            last = number == count - 1
            head = build_head(f"r{number}", "Content-Length: 3", padding, last=last)
            requests.append(head + b"abc")

        async def main(entry, upstream) -> None:
            answer = await exchange(entry, b"".join(requests))
            assert answer.count(b"HTTP/1.1 200") == count
            ids = [request.id for request in upstream.received]
            assert ids == [f"r{number}" for number in range(count)]

        run_entry(main)

    def test_some_empty_lines_between_requests(self):
        """Guards against the refusal of clients that end a body with an empty line."""
        first = build_head("r1", "Content-Length: 0", last=False)
        second = build_head("r2", "Content-Length: 0")

        async def main(entry, upstream) -> None:
            lines = b"\r\n" * 10
            answer = await exchange(entry, lines, first, lines, second, pause_s=0.1)
            assert answer.count(b"HTTP/1.1 200") == 2

        run_entry(main)

    def test_idle_connection_stays_open_after_unusual_white_space(self):
        """Guards against white space around values that is taken for the beginning of a head."""
        spaces = "X-Spaces:" + " " * 200 + "v" + " " * 200
        first = build_head("r1", "Content-Length: 3", spaces, last=False) + b"abc"
        second = build_head("r2", "Content-Length: 0")

        async def main(entry, upstream) -> None:
            # Longer than the time limit of a head.
            answer = await exchange(entry, first, second, pause_s=0.8)
            assert answer.count(b"HTTP/1.1 200") == 2

        run_entry(main)

    def test_large_requests_in_turn_hold_nothing(self):
        """Guards against a budget that counts requests that are answered."""
        field = "X-F: " + "v" * 15_000

        async def main(entry, upstream) -> None:
            guard = entry.instance.guard
            for number in range(20):
                head = build_head(f"r{number}", f"Content-Length: {BODY_BYTES}", field)
                answer = await exchange(entry, head, b"b" * BODY_BYTES)
                assert answer.startswith(b"HTTP/1.1 200")
            await wait_until(lambda: guard.connections == 0)
            assert guard.budget.total_bytes == 0

        run_entry(main)


class TestOutsideLimits:
    """Tests clients outside of the limits."""

    @pytest.mark.parametrize("fields", [3, MANY_FIELDS])
    def test_whole_head_over_the_limit(self, fields):
        """Guards against heads whose fields are small and that are large together."""
        size = 3 * HEADER_BYTES // fields - 20
        names = [f"X-Field-{number:03}: {'v' * size}" for number in range(fields)]

        async def main(entry, upstream) -> None:
            answer = await exchange(entry, build_head("r1", "Content-Length: 0", *names))
            assert b" 431 " in answer.partition(b"\r\n")[0]
            assert not upstream.received

        run_entry(main)

    def test_error_is_short_and_comes_once(self):
        """Guards against errors that return what the client sent, one for each read."""

        async def main(entry, upstream) -> None:
            answer = await exchange(entry, b"GET / HTTP/1.1\r\n" + b"\x00" * 5000)
            assert answer.count(b" 400 Bad Request") == 1
            assert len(answer) < 1000

        run_entry(main)

    def test_head_that_begins_beside_a_request_has_its_time_limit(self):
        """Guards against slow heads that begin before the answer to an earlier request."""
        first = build_head("r1", "Content-Length: 0", last=False)

        async def main(rig: Rig) -> None:
            await rig.add_upstream("u1", answer_late)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            # The time limit of a head is 0.5 s, that of an idle connection 17 s.
            answer = await exchange(entry, first, b"POST /safe/x HTTP/1.1\r\nX: ", pause_s=0.1)
            assert answer.startswith(b"HTTP/1.1 200")

        run_rig(main, build_config())

    def test_large_heads_without_end_make_room_for_small_ones(self):
        """Guards against a budget that is used up by heads that never end."""

        async def main(entry, upstream) -> None:
            guard = entry.instance.guard
            guard.budget = InputBudget(guard.budget.connection_limit, 256 << 10)
            unfinished = build_head("r0")[:-4] + b"\r\nX: " + b"v" * 12_000
            crowd = [asyncio.create_task(exchange(entry, unfinished)) for _ in range(40)]
            await wait_until(lambda: guard.budget.total_bytes > 100 << 10)
            for number in range(10):
                answer = await exchange(entry, build_head(f"r{number}", "Content-Length: 0"))
                assert answer.startswith(b"HTTP/1.1 200")
                assert guard.budget.total_bytes <= 256 << 10
            await asyncio.gather(*crowd)

        run_entry(main)

    def test_large_head_without_room_is_refused_and_a_small_one_runs(self):
        """Guards against a full budget that refuses everything, or runs what it refuses."""
        field = "X-F: " + "v" * 12_000

        async def main(entry, upstream) -> None:
            guard = entry.instance.guard
            guard.budget = InputBudget(guard.budget.connection_limit, 4096)
            answer = await exchange(entry, build_head("r1", "Content-Length: 0", field))
            assert b" 503 " in answer.partition(b"\r\n")[0] and b"Retry-After: " in answer
            answer = await exchange(entry, build_head("r2", "Content-Length: 0"))
            assert answer.startswith(b"HTTP/1.1 200")
            assert [request.id for request in upstream.received] == ["r2"]

        run_entry(main)

    def test_connections_over_the_limit_replace_those_without_a_head(self):
        """Guards against silent connections that keep callers out."""

        async def main(entry, upstream) -> None:
            guard = entry.instance.guard
            guard.budget.connection_limit = 20
            crowd = [asyncio.create_task(exchange(entry, b"POST /")) for _ in range(60)]
            await asyncio.sleep(0.2)
            answer = await exchange(entry, build_head("r1", "Content-Length: 0"))
            assert answer.startswith(b"HTTP/1.1 200")
            assert guard.connections <= 20
            await asyncio.gather(*crowd)

        run_entry(main)
