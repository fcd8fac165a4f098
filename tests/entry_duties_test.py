"""Tests of the duties with entry instances on loopback."""

from __future__ import annotations

import asyncio

from jayyoke.core.entrysettings import Bounds, DutyService
from standin.dutyservice import DutyService as DutyServer
from standin.dutyservice import find_violations
from standin.entryconfig import build_config
from standin.entryupstream import (
    ReceivedRequest,
    answer_whole,
    format_chunk,
    format_event,
    format_stream_head,
)
from tests.entryrig import Rig, run_rig, wait_ready, wait_until

LEASE_S = 0.6
WINDOW_S = 0.5
BOUNDS = Bounds(lease_s=LEASE_S, report_window_s=WINDOW_S, usage_delay_s=2.0)


async def answer_stream(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Answer streams with two events, and the rest whole."""
    if "/stream/" not in request.line:
        await answer_whole(request, writer)
        return
    writer.write(format_stream_head(request))
    for number in (1, 2):
        writer.write(format_chunk(format_event(number)))
    writer.write(format_chunk(b""))
    await writer.drain()


async def start_service(rig: Rig) -> tuple[DutyServer, DutyService]:
    """Start the service of the duties; return it and the settings for it."""
    service = DutyServer()
    await service.start()
    rig.add_stop_function(service.close)
    return service, DutyService(service.address, metering=True, scaling=True)


def count_reported(service: DutyServer) -> int:
    """Return all requests in the reports."""
    return sum(sum(counts.values()) for counts in service.reports.values())


class TestEntryDuties:
    def test_every_request_is_reported_once(self):
        """Guards against requests that are counted twice, or by no instance."""

        async def test(rig: Rig) -> None:
            service, settings = await start_service(rig)
            await rig.add_upstream("w1", answer_stream)
            entries = [
                await rig.add_entry(f"entry-{n}", duty_service=settings, bounds=BOUNDS)
                for n in range(2)
            ]
            for entry in entries:
                await wait_ready(entry, 1)
            await wait_until(lambda: any(e.instance.duties.holder.active for e in entries))
            # The windows that ended before the first lease are not reported.
            await asyncio.sleep(WINDOW_S)
            for number in range(20):
                path = "/stream/x" if number % 2 else "/safe/x"
                status, _, _ = await entries[number % 2].call(path, f"r{number}")
                assert status == 200
            await wait_until(lambda: count_reported(service) == 20)
            await asyncio.sleep(4 * WINDOW_S)
            assert count_reported(service) == 20
            assert {team for counts in service.reports.values() for team in counts} == {"yard"}
            assert find_violations(service.calls, LEASE_S) == []

        run_rig(test, build_config())

    def test_another_instance_reports_after_the_holder_has_gone(self):
        """Guards against windows that nobody reports, and a lower token, after a holder ends."""

        async def test(rig: Rig) -> None:
            service, settings = await start_service(rig)
            await rig.add_upstream("w1", answer_stream)
            entries = [
                await rig.add_entry(f"entry-{n}", duty_service=settings, bounds=BOUNDS)
                for n in range(2)
            ]
            for entry in entries:
                await wait_ready(entry, 1)
            await wait_until(lambda: len(service.reports) > 1)
            first = next(e for e in entries if e.instance.duties.holder.active)
            other = next(e for e in entries if e is not first)
            service.lose_answers = True
            await asyncio.sleep(WINDOW_S)
            service.lose_answers = False
            await first.stop()
            owners = {call.owner for call in service.calls}
            await wait_until(lambda: {call.owner for call in service.calls} > owners)
            await other.call("/safe/x")
            await wait_until(lambda: count_reported(service) == 1)
            assert find_violations(service.calls, LEASE_S) == []

        run_rig(test, build_config())
