"""Tests of entry instances before a request that ends engines and is sent again and again."""

from __future__ import annotations

import asyncio

import pytest

from standin.deadlyengine import DeadlyEngine
from tests.entry_deadly_part_test import ALLOWED_SENDS, SOUND, WHOLE, Fleet, start_fleet
from tests.entryrig import Rig, run_rig, wait_until

# The part of the request itself; its caller, its session and all other parts are sound.
LAST = "dead:60"


def list_deadly(engine: DeadlyEngine) -> list[str]:
    """Return the ids of the requests that came to end an engine."""
    return [found.id for found in engine.received if ",dead:" in found.get("prefix-hash")]


async def send_deadly(fleet: Fleet, number: int, path: str = "/resume/x") -> int:
    """Send the request under a new id, and return the status or 0."""
    entry = fleet.entries[number % len(fleet.entries)]
    head = {"Prefix-Hash": f"{SOUND},{LAST}", "Model": "m", "Token-Usage": "1500,80"}
    try:
        return (await entry.call(path, f"deadly-{number}", **head))[0]
    except Exception:
        # The instance broke off an answer that it had begun.
        return 0


class TestDeadlyRequest:
    """Tests a request without a part that others of its kind share."""

    @pytest.mark.parametrize("path", ["/resume/x", "/stream/x"])
    def test_request_that_ends_engines_is_kept_from_them(self, path):
        """Guards against ends that answers to other requests of its session make forgotten."""

        async def test(rig: Rig) -> None:
            fleet = await start_fleet(rig)
            for number in range(12):
                assert (await fleet.call(SOUND))[:2] == (200, WHOLE)
                await send_deadly(fleet, number, path)
                await asyncio.sleep(0.1)
            assert sum(len(list_deadly(engine)) for engine in fleet.engines) <= ALLOWED_SENDS

        run_rig(test)

    def test_callers_that_come_back_are_refused_at_all_instances(self):
        """Guards against each instance that has to see the ends itself."""

        async def test(rig: Rig) -> None:
            fleet = await start_fleet(rig)
            assert await send_deadly(fleet, 0) == 502
            await wait_until(
                lambda: all(entry.instance.quarantine.list_quarantined() for entry in fleet.entries)
            )
            assert [await send_deadly(fleet, number) for number in (1, 2, 3)] == [503] * 3
            assert fleet.ends == 2

        run_rig(test)

    def test_sound_requests_of_the_session_are_served(self):
        """Guards against a session that is refused for one of its requests."""

        async def test(rig: Rig) -> None:
            fleet = await start_fleet(rig)
            for number in range(6):
                for _ in range(3):
                    assert (await fleet.call(SOUND))[:2] == (200, WHOLE)
                await send_deadly(fleet, number)

        run_rig(test)
