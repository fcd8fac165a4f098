"""Tests the path of a chat through real processes."""

from __future__ import annotations

import asyncio

from standin.calls import Callers
from standin.deployment import DEPLOYMENTS
from standin.fleet import run_fleet


class TestPath:
    def test_chats_are_answered_through_every_instance(self):
        """Guards against an instance that does not serve after its start."""

        async def run() -> None:
            async with run_fleet(DEPLOYMENTS["ballenticket"]) as fleet:
                callers = Callers(fleet, seed=1)
                for instance in fleet.instances:
                    call = await callers.send_chat(callers.new_chat(), instance=instance)
                    assert call.complete, call

        asyncio.run(run())
