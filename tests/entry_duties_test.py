"""Tests of the duties with entry instances on loopback."""

from __future__ import annotations

import asyncio

import aiohttp
from thrift.TSerialization import deserialize, serialize

from jayyoke.core.entrysettings import Bounds, DutyService
from jayyoke.duties import scaling
from jayyoke.duties.usagecount import TeamTotals
from jayyoke.edge import scaler
from jayyoke.edge.countmessage import CountClient, encode_totals
from jayyoke.edge.loadsummary import decode_loads
from jayyoke.utils.task import cancel_tasks
from jayyoke.wire.gen import ttypes
from standin.dutyservice import DutyService as DutyServer
from standin.dutyservice import find_violations
from standin.entryconfig import build_config
from standin.entryupstream import (
    ReceivedRequest,
    answer_whole,
    format_answer,
    format_chunk,
    format_event,
    format_stream_head,
)
from tests.entryrig import Rig, run_rig, wait_ready, wait_until

LEASE_S = 0.6
WINDOW_S = 0.5
ZONE_QUERY = ttypes.LoadQuery("zone-a")
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


async def answer_loaded(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Answer as an engine of 8 slots that runs 7 requests."""
    writer.write(format_answer(request, b"done", Worker_Load="7,0,8"))
    await writer.drain()


class TestOrders:
    def test_loaded_domain_gets_more_upstreams(self, monkeypatch):
        """Guards against loads that never become an order, and orders that repeat."""
        monkeypatch.setattr(scaler, "PERIOD_S", 0.1)
        monkeypatch.setattr(scaler, "SETTLE_S", 0.3)
        monkeypatch.setattr(scaling, "MIN_OBSERVED_S", 0.5)

        async def test(rig: Rig) -> None:
            service, settings = await start_service(rig)
            await rig.add_upstream("w1", answer_loaded)
            entry = await rig.add_entry(duty_service=settings, bounds=BOUNDS)
            await wait_ready(entry, 1)

            async def call_all_the_time() -> None:
                for number in range(1000):
                    await entry.call("/safe/x", f"r{number}")
                    await asyncio.sleep(0.05)

            calling = asyncio.create_task(call_all_the_time())
            await wait_until(lambda: bool(service.orders))
            await asyncio.sleep(1.0)
            await cancel_tasks([calling])
            assert list(service.orders) == [("desk", "zone-a")]
            assert service.orders["desk", "zone-a"] == [2]
            summary = entry.instance.duties.summary
            heard = deserialize(ttypes.DomainLoads(), summary.answer(serialize(ZONE_QUERY)))
            own = summary.summarize()["zone-a"]
            assert decode_loads(heard)["desk"].live == own["desk"].live == 1
            assert find_violations(service.calls, LEASE_S) == []

        backends = [{"name": "desk", "autoscale": {"min": 1, "max": 3, "startupS": 8.0}}]
        run_rig(test, build_config(backends=backends))


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

    def test_long_message_of_counts_arrives_whole(self):
        """Guards against compressed counts that the other instance cannot read."""

        async def test(rig: Rig) -> None:
            _, settings = await start_service(rig)
            entry = await rig.add_entry(duty_service=settings, bounds=BOUNDS)
            counts = {f"team-{number}": number + 1 for number in range(3900)}
            report = ttypes.CountReport(
                "x@1", "zone-a", 1, 1, encode_totals([TeamTotals(7, counts)])
            )
            async with aiohttp.ClientSession(auto_decompress=False) as http:
                await CountClient(http).report(entry.instance.settings.peer_address, report)
            answer = entry.instance.duties.exchange.find_counts(ttypes.CountQuery(7, "zone-a"))
            assert answer.totals == [sum(counts.values())]

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
