"""Tests of admission by an entry instance with stand-ins for the store and the upstreams."""

from __future__ import annotations

import asyncio

import pytest

from jayyoke.core.entrysettings import AdmissionSettings
from standin.entryconfig import build_config
from standin.entryupstream import ReceivedRequest, answer_whole, format_answer
from tests.entryrig import Rig, run_rig, wait_ready, wait_until

ENGINES = [{"name": "desk", "runtime": {"kvCapacity": 400_000}}]
PLAIN = [{"name": "desk"}]


class TestPriority:
    @pytest.mark.parametrize(
        ("send", "services", "priority"),
        [(True, ENGINES, "1"), (False, ENGINES, ""), (True, PLAIN, "")],
    )
    def test_engines_get_the_rank_of_the_team(self, send, services, priority):
        """Guards against a priority at plain upstreams, or where no setting asks for it."""

        async def test(rig: Rig) -> None:
            rig.store.put("op", "config", build_config(2, backends=services))
            upstream = await rig.add_upstream("u1", answer_whole)
            entry = await rig.add_entry(admission=AdmissionSettings(send_priority=send))
            await wait_ready(entry, 1)
            status, _, _ = await entry.call("/safe/x", Request_Priority="7")
            assert status == 200
            assert upstream.received[0].get("request-priority") == priority

        run_rig(test)


class TestScarcity:
    def test_calls_are_refused_in_time_and_served_when_there_is_room_again(self):
        """Guards against calls that wait at a full upstream until their deadline."""
        free = asyncio.Event()

        async def answer_when_free(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await free.wait()
            writer.write(format_answer(request, b"late"))

        async def test(rig: Rig) -> None:
            upstream = await rig.add_upstream("u1", answer_when_free, slots=2)
            entry = await rig.add_entry(admission=AdmissionSettings(enabled=True))
            await wait_ready(entry, 1)
            held = [asyncio.ensure_future(entry.call("/safe/x", f"h{n}")) for n in range(2)]
            await wait_until(lambda: len(upstream.received) == 2)
            for number in range(6):
                status, _, headers = await entry.call("/safe/x", f"r{number}")
                assert status == 503
                assert 0.0 < float(headers["Retry-After"]) <= 2.5 / 3
            assert len(upstream.received) == 2
            admitter = entry.instance.placement.admitter
            assert (admitter.scarce, admitter.refused) == (1, 6)
            free.set()
            assert [status for status, _, _ in await asyncio.gather(*held)] == [200, 200]
            await asyncio.sleep(0.2)
            assert (await entry.call("/safe/x", "last"))[0] == 200

        run_rig(test)
