"""Tests of entry instances whose store comes back from an older copy."""

from __future__ import annotations

import asyncio
import json

from jayyoke.edge import roster
from standin.entryconfig import KEY, build_config
from standin.entryupstream import answer_whole
from standin.rowstore import RowStoreServer, StoreCopy
from tests.entry_moves_test import SERVICE, call_until, fail_always, read_move_state
from tests.entryrig import Rig, RunningEntry, run_rig, wait_ready, wait_until

OTHER_KEY = "key-that-is-revoked"
# Longer than a feed, its repetition and a period of the participants in moves.
SETTLE_S = 2.0


def build_teams(*keys: str) -> list[dict[str, object]]:
    return [{"name": f"team-{number}", "apiKeys": [key]} for number, key in enumerate(keys)]


async def start(rig: Rig, count: int = 1, upstreams: int = 2) -> list[RunningEntry]:
    """Start upstreams and instances on a store in its first era."""
    rig.store.era = 1
    for number in range(upstreams):
        await rig.add_upstream(f"u{number}", answer_whole, az=f"zone-{'ab'[number % 2]}")
    entries = []
    for number in range(count):
        seeds = tuple(found.instance.settings.peer_address for found in entries)
        entries.append(await rig.add_entry(f"entry-{number}", seeds))
    for entry in entries:
        await wait_ready(entry, upstreams)
    return entries


async def go_back(rig: Rig, copy: StoreCopy, entries: list[RunningEntry]) -> list:
    """Return the store to a copy and wait until all instances have its table."""
    lost = rig.store.return_to(copy)
    for entry in entries:
        await wait_era(entry, rig.store)
    return lost


async def wait_era(entry: RunningEntry, store: RowStoreServer) -> None:
    tables = entry.instance.view.tables
    await wait_until(lambda: {tables[name].era for name in ("op", "servers")} == {store.era})


def count_received(rig: Rig, name: str) -> int:
    return sum(len(found.received) for found in rig.upstreams if found.name == name)


async def call_for(entries: list[RunningEntry], seconds: float, **headers: str) -> set[int]:
    """Send requests through all instances for some time; return their statuses."""
    loop = asyncio.get_running_loop()
    end_s = loop.time() + seconds
    statuses = set()
    number = 0
    while loop.time() < end_s:
        entry = entries[number % len(entries)]
        request_id = f"{entry.url}-{loop.time()}"
        statuses.add((await entry.call("/safe/x", request_id=request_id, **headers))[0])
        number += 1
        await asyncio.sleep(0.01)
    return statuses


class TestConfiguration:
    def test_revoked_key_stays_revoked_on_all_and_on_a_new_instance(self):
        """Guards against a key that the older copy brings back, through two eras in a row."""

        async def test(rig: Rig) -> None:
            rig.store.put("op", "config", build_config(1, tenants=build_teams(KEY, OTHER_KEY)))
            entries = await start(rig, 2)
            copy = rig.store.save_copy()
            rig.store.put("op", "config", build_config(2, tenants=build_teams(KEY)))
            for entry in entries:
                await wait_until(lambda entry=entry: entry.instance.view.config.version == 2)
            other = {"Authorization": f"Bearer {OTHER_KEY}"}
            lost = []
            for _ in range(2):
                lost += await go_back(rig, copy, entries)
                assert await call_for(entries, 0.5, **other) == {401}
                assert await call_for(entries, 0.2) == {200}
            seeds = tuple(found.instance.settings.peer_address for found in entries)
            entries.append(await rig.add_entry("entry-new", seeds))
            await wait_until(lambda: entries[-1].instance.view.config is not None)
            await wait_until(lambda: entries[-1].instance.view.config.version == 2)
            assert await call_for(entries, 0.5, **other) == {401}
            rig.store.write_again(lost)
            await wait_until(
                lambda: not any(found.instance.view.tables["op"].kept for found in entries)
            )
            assert await call_for(entries, 0.3, **other) == {401}

        run_rig(test)


class TestUpstreams:
    def test_one_that_left_gets_nothing_until_its_entry_is_written_again(self):
        """Guards against requests to an upstream that drains, or has gone, by the older copy."""

        async def test(rig: Rig) -> None:
            entries = await start(rig, 2, 4)
            copy = rig.store.save_copy()
            gone, drained = rig.upstreams[2:]
            drained_row = drained.describe("desk", state="draining")
            rig.store.put("servers", drained.name, drained_row)
            rig.store.drop("servers", gone.name)
            for entry in entries:
                view = entry.instance.view
                await wait_until(lambda view=view: len(view.by_service["desk"]) == 2)
            for _ in range(2):
                await go_back(rig, copy, entries)
                before = count_received(rig, gone.name), count_received(rig, drained.name)
                assert await call_for(entries, 1.0) == {200}
                assert (count_received(rig, gone.name), count_received(rig, drained.name)) == before
            rig.store.put("servers", drained.name, drained.describe("desk"))
            await wait_until(
                lambda: (
                    "u3" in {found.name for found in entries[0].instance.view.by_service["desk"]}
                )
            )

        run_rig(test)

    def test_one_that_the_copy_lacks_is_used_until_it_is_written_again(self):
        """Guards against refusals because the copy is older than all upstreams."""

        async def test(rig: Rig) -> None:
            copy = rig.store.save_copy()
            entries = await start(rig, 1)
            lost = await go_back(rig, copy, entries)
            assert await call_for(entries, 3.0) == {200}
            rig.store.write_again(lost)
            await wait_until(lambda: not entries[0].instance.view.tables["servers"].kept)
            assert len(entries[0].instance.view.by_service["desk"]) == 2

        run_rig(test)


class TestEvacuation:
    def test_it_stays_until_it_is_withdrawn_in_the_new_era(self):
        """Guards against a domain that gets requests again because the copy is older."""

        async def test(rig: Rig) -> None:
            entries = await start(rig, 2)
            copy = rig.store.save_copy()
            rig.store.put("op", "evacuate/zone-b", {})
            views = [entry.instance.view for entry in entries]
            await wait_until(lambda: all(view.evacuated == {"zone-b"} for view in views))
            for _ in range(2):
                await go_back(rig, copy, entries)
                await asyncio.sleep(0.3)
                assert all(view.evacuated == {"zone-b"} for view in views)
            rig.store.put("op", "evacuate/zone-b", {})
            await asyncio.sleep(0.3)
            assert all(view.evacuated == {"zone-b"} for view in views)
            rig.store.drop("op", "evacuate/zone-b")
            await wait_until(lambda: not any(view.evacuated for view in views))

        run_rig(test)


class TestMove:
    def test_reverted_version_does_not_come_back(self):
        """Guards against a bad version whose move begins again with the order's new revision."""

        async def test(rig: Rig) -> None:
            entries = await start(rig, 2)
            for entry in entries:
                await wait_ready(entry, 2)
            bad = await rig.add_upstream("bad", fail_always, version="v2")
            copies = [rig.store.save_copy()]
            order = {"backend": SERVICE, "to": "v2", "durationS": 30.0}
            rig.store.put("op", f"rollout/{SERVICE}", order)
            await wait_until(lambda: read_move_state(rig) == "active")
            copies.append(rig.store.save_copy())
            await call_until(entries, lambda: read_move_state(rig) == "reverted")
            for copy in copies:
                await asyncio.sleep(SETTLE_S / 2)
                before = len(bad.received)
                lost = await go_back(rig, copy, entries)
                await call_for(entries, 0.5)
                rig.store.write_again(lost, ("op",))
                await call_for(entries, SETTLE_S)
                assert len(bad.received) == before
                await wait_until(lambda: read_move_state(rig) == "reverted")
                status = json.loads(rig.store.read("status")[f"rollout/{SERVICE}"])
                assert status["order"] == entries[0].instance.view.orders[SERVICE].revision

        run_rig(test)


class TestMembers:
    def test_own_row_is_written_again_soon(self, monkeypatch):
        """Guards against instances that count as dead for a period after the store's return."""
        monkeypatch.setattr(roster, "MIN_PERIOD_S", 60.0)

        async def test(rig: Rig) -> None:
            copy = rig.store.save_copy()
            entries = await start(rig, 2)
            rosters = [entry.instance.roster for entry in entries]
            await wait_until(lambda: all(found.list_members() for found in rosters))
            await go_back(rig, copy, entries)
            assert all(found.list_members() for found in rosters)
            await wait_until(lambda: len(rig.store.list_keys("members")) == 2)

        run_rig(test)


class TestCalls:
    def test_lost_history_at_each_kind_of_read_is_overcome(self):
        """Guards against a task that ends at a 410, and against calls without a pause."""

        async def test(rig: Rig) -> None:
            entries = await start(rig, 1)
            copy = rig.store.save_copy()
            rig.store.put("op", "evacuate/zone-b", {})
            await wait_until(lambda: entries[0].instance.view.evacuated)
            rig.store.return_to(copy)
            rig.store.lost_reads = 8
            rig.store.calls = 0
            await wait_era(entries[0], rig.store)
            await asyncio.sleep(1.0)
            assert rig.store.calls < 40
            rig.store.put("servers", "u9", rig.upstreams[0].describe("desk"))
            await wait_until(lambda: "u9" in entries[0].instance.view.upstreams)

        run_rig(test)

    def test_lost_history_that_a_read_does_not_mend_makes_no_storm_of_calls(self):
        """Guards against reads without a pause at a store that names no era and goes back."""

        async def test(rig: Rig) -> None:
            entries = await start(rig, 1)
            rig.store.era = None
            copy = rig.store.save_copy()
            rig.store.put("op", "evacuate/zone-b", {})
            await wait_until(lambda: entries[0].instance.view.evacuated)
            rig.store.return_to(copy)
            rig.store.era = None
            rig.store.calls = 0
            await asyncio.sleep(1.5)
            assert rig.store.calls < 60

        run_rig(test)

    def test_store_without_the_header_is_read_as_before(self):
        """Guards against calls that only a store with eras needs."""

        async def test(rig: Rig) -> None:
            await rig.add_upstream("u0", answer_whole)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            await asyncio.sleep(1.0)
            assert entry.instance.era.value == 0
            assert not any(copy.era for copy in entry.instance.view.tables.values())

        run_rig(test)
