"""Tests of an entry instance whose upstreams say that they leave, or ask for a pause."""

from __future__ import annotations

import asyncio
import time

import pytest

from jayyoke.core.notice import Notice
from standin.entryupstream import (
    ReceivedRequest,
    answer_whole,
    format_answer,
    format_chunk,
    format_event,
    format_stream_head,
)
from tests.entryrig import Rig, reset_connection, run_rig, wait_ready, wait_until


async def answer_leaving(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Answer as an upstream that leaves."""
    writer.write(format_answer(request, b"last", Server_Leaving="1", Keep_Alive="timeout=30"))
    await writer.drain()


def refuse_for(pause: str, status: str = "503 Service Unavailable"):
    """Return a script that refuses each request and asks for a pause."""

    async def script(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(format_answer(request, b"", status, Not_Executed="1", Retry_After=pause))
        await writer.drain()

    return script


class TestLeaving:
    """Tests the header by which an upstream says that it leaves."""

    @pytest.mark.parametrize("path", ["/safe/x", "/unsafe/x"])
    def test_no_later_request_reaches_the_upstream(self, path):
        """Guards against requests to an upstream whose entry still says that it is ready."""

        async def test(rig: Rig) -> None:
            leaving = await rig.add_upstream("u1", answer_leaving)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            assert (await entry.call(path, "r0"))[:2] == (200, b"last")
            staying = await rig.add_upstream("u2", answer_whole)
            await wait_ready(entry, 2)
            rig.store.put("servers", "u1", leaving.describe("desk", seqno=2))
            for number in range(1, 12):
                status, body, _ = await entry.call(path, f"r{number}")
                assert (status, body) == (200, f"done r{number}".encode())
            assert len(leaving.received) == 1
            assert len(staying.received) == 11
            await asyncio.sleep(0.05)
            assert leaving.closed_connections == leaving.connections

        run_rig(test)

    def test_last_upstream_is_not_used_either(self):
        """Guards against a request that runs at an upstream which may end at any moment."""

        async def test(rig: Rig) -> None:
            leaving = await rig.add_upstream("u1", answer_leaving)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            await entry.call("/unsafe/x", "r0")
            status, body, headers = await entry.call("/unsafe/x", "r1")
            assert (status, body) == (503, b"no-upstream")
            assert float(headers["Retry-After"]) > 0
            assert len(leaving.received) == 1

        run_rig(test)

    def test_next_incarnation_is_another_upstream(self):
        """Guards against an upstream that is lost after a restart under its old name."""

        async def test(rig: Rig) -> None:
            upstream = await rig.add_upstream("u1", answer_leaving)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            await entry.call("/unsafe/x", "r0")
            upstream.script = answer_whole
            born = 1_700_000_009_000
            rig.store.put("servers", "u1", upstream.describe("desk", born=born))
            async with asyncio.timeout(5):
                while (await entry.call("/safe/x", "r1"))[0] != 200:
                    await asyncio.sleep(0.02)

        run_rig(test)

    def test_stream_is_resumed_elsewhere(self):
        """Guards against the rest of a stream from an upstream that leaves."""
        other_known = asyncio.Event()

        async def break_off(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            head = format_stream_head(request)[:-2] + b"Server-Leaving: 1\r\n\r\n"
            writer.write(head + format_chunk(format_event(1)))
            await writer.drain()
            await other_known.wait()
            reset_connection(writer)

        async def resume(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            writer.write(format_stream_head(request))
            for number in range(int(request.get("last-event-id")) + 1, 4):
                writer.write(format_chunk(format_event(number)))
            writer.write(format_chunk(b""))

        async def test(rig: Rig) -> None:
            leaving = await rig.add_upstream("u1", break_off)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            call = asyncio.create_task(entry.call("/resume/x"))
            await wait_until(lambda: leaving.received)
            await rig.add_upstream("u2", resume)
            await wait_ready(entry, 2)
            other_known.set()
            status, body, _ = await call
            assert (status, body) == (200, b"".join(format_event(n) for n in range(1, 4)))
            assert len(leaving.received) == 1

        run_rig(test)

    def test_header_is_passed_on(self):
        """Guards against an answer whose headers are not the upstream's own."""

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", answer_leaving)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            _, _, headers = await entry.call("/safe/x")
            assert headers["Server-Leaving"] == "1"

        run_rig(test)


class TestPause:
    """Tests the pause for which an upstream asks when it refuses a request."""

    def test_no_request_reaches_the_upstream_within_it(self):
        """Guards against requests to an upstream that has asked for a pause of 30 s."""

        async def test(rig: Rig) -> None:
            pausing = await rig.add_upstream("u1", refuse_for("30"))
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            status, _, headers = await entry.call("/unsafe/x", "r0", Deadline_Ms="300000")
            assert status == 503
            staying = await rig.add_upstream("u2", answer_whole)
            await wait_ready(entry, 2)
            for number in range(1, 12):
                assert (await entry.call("/unsafe/x", f"r{number}"))[0] == 200
            assert len(pausing.received) == 1
            assert len(staying.received) == 11
            assert "Not-Executed" not in headers

        run_rig(test)

    def test_callers_hear_at_once_when_all_upstreams_pause(self):
        """Guards against calls that wait for a pause until their time is over, or return early."""

        async def test(rig: Rig) -> None:
            pausing = [await rig.add_upstream(f"u{n}", refuse_for("0.4")) for n in range(2)]
            entry = await rig.add_entry()
            await wait_ready(entry, 2)
            await entry.call("/unsafe/x", "r0")
            await entry.call("/unsafe/x", "r1")
            assert sum(len(upstream.received) for upstream in pausing) == 2
            returns = set()
            for number in range(2, 12):
                began_s = time.monotonic()
                status, body, headers = await entry.call(
                    "/unsafe/x", f"r{number}", Deadline_Ms="5000"
                )
                assert time.monotonic() - began_s < 0.3
                assert (status, body) == (503, b"upstreams-pause")
                returns.add(headers["Retry-After"])
            # Two of ten callers may share a millisecond of the half second by chance.
            assert len(returns) >= 7
            assert all(float(text) > 0.3 for text in returns)
            assert sum(len(upstream.received) for upstream in pausing) == 2
            await asyncio.sleep(0.6)
            for upstream in pausing:
                upstream.script = answer_whole
            assert (await entry.call("/unsafe/x", "r12"))[0] == 200

        run_rig(test)

    def test_call_waits_for_the_end_of_a_short_pause(self):
        """Guards against refusing a call that can be served well within its objective."""

        async def test(rig: Rig) -> None:
            pausing = await rig.add_upstream("u1", refuse_for("0.15"))
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            await entry.call("/unsafe/x", "r0")
            pausing.script = answer_whole
            assert (await entry.call("/unsafe/x", "r1"))[0] == 200

        run_rig(test)

    @pytest.mark.parametrize("pause", ["-5", "soon", "1e9", "", "nan", "0x10", "1,5"])
    def test_malformed_pause_is_none(self, pause):
        """Guards against an upstream that is taken out by a value that says nothing."""

        async def test(rig: Rig) -> None:
            upstream = await rig.add_upstream("u1", refuse_for(pause))
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            await entry.call("/unsafe/x", "r0")
            upstream.script = answer_whole
            assert (await entry.call("/unsafe/x", "r1"))[0] == 200

        run_rig(test)

    @pytest.mark.parametrize("status", ["429 Too Many Requests", "500 Failed", "421 Misdirected"])
    def test_other_answers_ask_for_no_pause(self, status):
        """Guards against a pause that another upstream at the address, or a proxy, asks for."""

        async def test(rig: Rig) -> None:
            upstream = await rig.add_upstream("u1", refuse_for("30", status))
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            await entry.call("/unsafe/x", "r0")
            (known,) = entry.instance.view.upstreams.values()
            assert not entry.instance.placement.notices.is_withdrawn(known.incarnation)
            assert len(upstream.received) == 1

        run_rig(test)

    def test_call_that_opens_a_connection_meanwhile_is_not_sent(self):
        """Guards against a request that reaches an upstream long after it asked for a pause."""

        async def test(rig: Rig) -> None:
            upstream = await rig.add_upstream("u1", answer_whole)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            (known,) = entry.instance.view.upstreams.values()
            pool, notices = entry.instance.pool, entry.instance.placement.notices
            acquire = pool.acquire

            async def acquire_late(*arguments):
                connection = await acquire(*arguments)
                notices.record(known.incarnation, Notice(pause_s=30.0))
                return connection

            pool.acquire = acquire_late
            assert (await entry.call("/unsafe/x", "r0"))[0] == 503
            assert not upstream.received

        run_rig(test)
