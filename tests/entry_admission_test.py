"""Tests of admission by an entry instance with stand-ins for the store and the upstreams."""

from __future__ import annotations

import pytest

from jayyoke.core.entrysettings import AdmissionSettings
from standin.entryconfig import build_config
from standin.entryupstream import answer_whole
from tests.entryrig import Rig, run_rig, wait_ready

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
