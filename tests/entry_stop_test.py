"""Tests of requests that reach an entry instance while it stops."""

from __future__ import annotations

import asyncio
import json
import signal
from collections import Counter

import aiohttp
import pytest

from jayyoke.utils.boottime import read_boot_time_s
from standin.entryconfig import HOST, KEY, build_config, format_settings
from standin.entryprocess import start_entry
from standin.entryupstream import ReceivedRequest, answer_whole, format_answer
from standin.port import find_free_ports
from tests.entryrig import Rig, open_rig, run_rig, wait_ready, wait_until
from tests.stoppingentry import format_head

GRACE_S = 4.0


class TestLateRequest:
    """Tests requests on connections that stay open while the instance stops."""

    def test_request_without_the_time_to_end_is_refused_before_it_is_sent(self):
        """Guards against a mutation that is passed on and cut off at the end of the grace."""

        async def test(rig: Rig) -> None:
            upstream = await rig.add_upstream("u1", answer_whole)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            entry.instance.listener.draining = True
            entry.instance.stop_window.begin(read_boot_time_s() + 1.0)
            status, body, headers = await entry.call("/unsafe/x", Deadline_Ms="2500")
            assert (status, body) == (503, b"stopping")
            assert headers["Connection"] == "close"
            assert 0 < float(headers["Retry-After"]) < 0.2
            assert not upstream.received
            assert (await entry.call("/unsafe/x", Deadline_Ms="800"))[0] == 200

        run_rig(test)

    def test_refused_caller_returns_when_the_balancer_knows(self):
        """Guards against a caller who is sent back here and refused again."""

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u1", answer_whole)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            now_s = read_boot_time_s()
            entry.instance.stop_window.begin(now_s + 1.0, now_s + 0.5)
            status, _, headers = await entry.call("/unsafe/x", Deadline_Ms="2500")
            returns_s = read_boot_time_s() + float(headers["Retry-After"])
            assert (status, returns_s >= now_s + 0.5) == (503, True)

        run_rig(test)

    def test_repeatable_request_needs_its_whole_time_too(self):
        """Guards against a forecast that lets requests begin which are cut off at the end."""

        async def test(rig: Rig) -> None:
            upstream = await rig.add_upstream("u1", answer_whole)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            assert (await entry.call("/safe/x"))[0] == 200
            entry.instance.stop_window.begin(read_boot_time_s() + 1.0)
            assert (await entry.call("/safe/x"))[0] == 503
            assert (await entry.call("/stream/x"))[0] == 503
            assert len(upstream.received) == 1
            assert (await entry.call("/safe/x", Deadline_Ms="800"))[0] == 200

        run_rig(test)


class TestEnd:
    """Tests requests that are still unanswered when the process ends."""

    def test_they_get_an_answer_that_promises_nothing(self):
        """Guards against a connection that ends without an answer, and against 'not run'."""

        async def hang(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await asyncio.Event().wait()

        async def test(rig: Rig) -> None:
            upstream = await rig.add_upstream("u1", hang)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            call = asyncio.create_task(entry.call("/unsafe/x"))
            await wait_until(lambda: upstream.received)
            listener = entry.instance.listener
            listener.draining = True
            await listener.end_calls()
            status, body, headers = await call
            assert (status, body, headers["Connection"]) == (504, b"stopped", "close")

        run_rig(test)

    def test_request_that_waits_for_a_place_has_not_run(self, capfd):
        """Guards against 504 for a request that was not passed on and may be sent again."""

        async def hang(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await asyncio.Event().wait()

        async def test(rig: Rig) -> None:
            upstream = await rig.add_upstream("u1", hang, slots=1)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            first = asyncio.create_task(entry.call("/unsafe/x"))
            await wait_until(lambda: upstream.received)
            waiting = asyncio.create_task(entry.call("/unsafe/x", "waits"))
            await wait_until(lambda: entry.instance.listener.busy == 2)
            await asyncio.sleep(0.05)
            await entry.instance.listener.end_calls()
            status, body, headers = await waiting
            assert (status, body) == (503, b"stopping")
            assert 0 < float(headers["Retry-After"]) < 0.2
            assert (await first)[0] == 504

        run_rig(test)
        assert read_stages(capfd) == {"r1": "sent", "waits": "waiting"}

    def test_request_whose_body_is_not_whole_has_not_run(self, capfd):
        """Guards against a connection that ends without an answer while a body arrives."""

        async def test(rig: Rig) -> None:
            entry = await rig.add_entry()
            await rig.add_upstream("u1", answer_whole)
            await wait_ready(entry, 1)
            reader, writer = await asyncio.open_connection(
                "127.0.0.1", entry.instance.listener.port
            )
            writer.write(format_head("/unsafe/x", "slow", 2500, "Content-Length: 9") + b"the")
            await wait_until(lambda: entry.instance.listener.busy == 1)
            await asyncio.sleep(0.05)
            await entry.instance.listener.end_calls()
            assert (await reader.readline()).startswith(b"HTTP/1.1 503 ")
            writer.close()

        run_rig(test)
        assert read_stages(capfd) == {"slow": "receiving"}


def read_stages(capfd: pytest.CaptureFixture[str]) -> dict[str, str]:
    """Return from the log how far each request had come that the stop ended."""
    lines = [json.loads(line) for line in capfd.readouterr().out.splitlines()]
    ended = [line for line in lines if line["event"] == "ended-by-stop"]
    return {line["request_id"]: line["stage"] for line in ended}


class TestPlannedStop:
    """Tests a planned stop of a real process while callers keep their connections busy."""

    @pytest.mark.parametrize(("work_s", "deadline_ms"), [(0.3, 1500), (2.6, 2900)])
    def test_every_request_that_was_passed_on_is_answered(self, tmp_path, work_s, deadline_ms):
        """Guards against requests that are taken late in the grace and cut off at its end.

        Twelve callers send mutations one after the other, on connections that they keep, until the
        process has ended. The slower ones find no time to end once the stop has begun.
        """

        async def slow(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(work_s)
            writer.write(format_answer(request, b"done", Keep_Alive="timeout=30"))
            await writer.drain()

        async def main() -> None:
            async with open_rig(build_config()) as rig:
                upstream = await rig.add_upstream("u1", slow, slots=64)
                ports = find_free_ports(4)
                path = tmp_path / "boot.toml"
                path.write_text(
                    format_settings("entry-1", "zone-a", rig.store.address, ports, [], GRACE_S),
                    encoding="utf-8",
                )
                process = await start_entry(path, ports[3], stdout=asyncio.subprocess.PIPE)
                try:
                    await wait_for_upstream(process)
                    log = asyncio.create_task(process.stdout.read())
                    callers = [
                        asyncio.create_task(call_until_closed(ports[0], n, deadline_ms))
                        for n in range(12)
                    ]
                    await asyncio.sleep(1.0)
                    process.send_signal(signal.SIGTERM)
                    async with asyncio.timeout(GRACE_S + 10):
                        assert await process.wait() == 0
                    answered = Counter()
                    for caller in callers:
                        answered.update(await caller)
                    await log
                finally:
                    if process.returncode is None:
                        process.kill()
                        await process.wait()
                # Requests that cross the close of their connection are not passed on.
                assert set(answered) <= {0, 200, 503}
                assert answered[200] == len(upstream.received) >= 12

        asyncio.run(main())


async def wait_for_upstream(process: asyncio.subprocess.Process) -> None:
    """Read the process's log until it knows an upstream."""
    assert process.stdout is not None
    async with asyncio.timeout(20):
        while True:
            line = await process.stdout.readline()
            assert line
            if json.loads(line)["event"] == "upstream":
                return


async def call_until_closed(port: int, caller: int, deadline_ms: int) -> Counter[int]:
    """Send requests on new connections once old ones are closed; return how often each status.

    A request that was sent and gets no answer counts as status 0.
    """
    statuses: Counter[int] = Counter()
    number = 0
    async with aiohttp.ClientSession() as http:
        while True:
            number += 1
            headers = {
                "Host": HOST,
                "Request-Id": f"c{caller}-{number}",
                "Deadline-Ms": str(deadline_ms),
                "Authorization": f"Bearer {KEY}",
            }
            url = f"http://127.0.0.1:{port}/unsafe/x"
            try:
                async with http.post(url, headers=headers, data=b"x") as answer:
                    await answer.read()
                    statuses[answer.status] += 1
            except aiohttp.ClientConnectorError:
                return statuses
            except aiohttp.ClientError:
                statuses[0] += 1
