"""The whole path with real processes."""

from __future__ import annotations

import asyncio

from standin.demo import check_chats
from standin.deployment import DEPLOYMENTS
from standin.fleet import run_fleet


class TestPath:
    def test_chats_are_answered_through_every_instance(self):
        """Guards against an instance that does not serve after its start."""

        async def run() -> None:
            async with run_fleet(DEPLOYMENTS["ballenticket"]) as fleet:
                _, seen, _, held = await check_chats(fleet)
                assert held, seen

        asyncio.run(run())
