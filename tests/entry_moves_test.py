"""Tests of version moves over several entry instances and the store of the users' platform."""

from __future__ import annotations

import asyncio
import json

import pytest

from standin.entryconfig import build_config
from standin.entryupstream import ReceivedRequest, answer_whole, format_answer
from tests.entryrig import Rig, RunningEntry, open_rig, wait_ready, wait_until

SERVICE = "desk"
# Longer than the steps need, so that a slow machine does not change how a move ends.
DURATION_S = 6.0
CALL_INTERVAL_S = 0.01


async def fail_always(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    writer.write(format_answer(request, b"broken", "500 Internal Server Error"))


def read_move_state(rig: Rig) -> str:
    row = rig.store.read("status").get(f"rollout/{SERVICE}")
    return json.loads(row)["state"] if row else ""


async def call_until(entries: list[RunningEntry], condition) -> int:
    """Send unsafe requests through all instances until the condition holds; return their count."""
    count = 0
    async with asyncio.timeout(30):
        while not condition():
            entry = entries[count % len(entries)]
            await entry.call("/unsafe/x", request_id=f"r{count}")
            count += 1
            await asyncio.sleep(CALL_INTERVAL_S)
    return count


def run_move(new_script, expected_state: str, check) -> None:
    async def main() -> None:
        async with open_rig(build_config()) as rig:
            await rig.add_upstream("old-1", answer_whole, version="v1")
            await rig.add_upstream("old-2", answer_whole, version="v1")
            entries = [await rig.add_entry("entry-1"), await rig.add_entry("entry-2")]
            for entry in entries:
                await wait_ready(entry, 2)
            order = {"backend": SERVICE, "to": "v2", "durationS": DURATION_S}
            rig.store.put("op", f"rollout/{SERVICE}", order)
            new = await rig.add_upstream("new-1", new_script, version="v2")
            for entry in entries:
                await wait_until(lambda entry=entry: entry.instance.view.orders)
            sent = await call_until(entries, lambda: read_move_state(rig) == expected_state)
            check(rig, new, sent)
            if expected_state == "reverted":
                return
            before = len(rig.upstreams[0].received) + len(rig.upstreams[1].received)
            for entry in entries:
                await wait_until(
                    lambda entry=entry: entry.instance.moves.find_split(SERVICE).share >= 1.0
                )
            for number in range(10):
                await entries[0].call("/unsafe/x", request_id=f"after{number}")
            after = len(rig.upstreams[0].received) + len(rig.upstreams[1].received)
            assert after == before

    asyncio.run(main())


class TestMoves:
    def test_good_version_takes_over(self):
        """Guards against a move to a good version that is not done by its deadline."""

        def check(rig: Rig, new, sent: int) -> None:
            assert new.received

        run_move(answer_whole, "done", check)

    def test_bad_version_is_rolled_back_within_its_share(self):
        """Guards against a bad version that gets more than its canary share and a few requests."""

        def check(rig: Rig, new, sent: int) -> None:
            assert len(new.received) <= 0.1 * sent + 50

        run_move(fail_always, "reverted", check)

    @pytest.mark.parametrize("judged", [True, False])
    def test_version_not_found_good_gets_nothing_under_the_next_order(self, judged):
        """Guards against a bad version that comes back, reverted or not, with the next order."""

        async def main() -> None:
            async with open_rig(build_config()) as rig:
                await rig.add_upstream("old-1", answer_whole, version="v1")
                entries = [await rig.add_entry("entry-1")]
                await wait_ready(entries[0], 1)
                order = {"backend": SERVICE, "to": "v2", "durationS": 30.0}
                rig.store.put("op", f"rollout/{SERVICE}", order)
                script = fail_always if judged else answer_whole
                second = await rig.add_upstream("second-1", script, version="v2")
                state = "reverted" if judged else "active"
                await call_until(entries, lambda: read_move_state(rig) == state)
                third = await rig.add_upstream("third-1", answer_whole, version="v3")
                await wait_ready(entries[0], 3)
                rig.store.put("op", f"rollout/{SERVICE}", order | {"to": "v3"})
                await wait_until(lambda: entries[0].instance.view.orders[SERVICE].version == "v3")
                before = len(second.received)
                # A new instance knows of the second version by the row only.
                entries.append(await rig.add_entry("entry-2"))
                await wait_ready(entries[1], 3)
                sent = 0
                while len(third.received) < 3:
                    calls = [
                        entry.call("/unsafe/x", request_id=f"{entry.url}-{sent}-{number}")
                        for entry in entries
                        for number in range(3)
                    ]
                    await asyncio.gather(*calls)
                    sent += len(calls)
                assert len(second.received) == before
                assert sent > 20

        asyncio.run(main())

    def test_order_back_to_the_old_version_refuses_nobody(self):
        """Guards against refusals until the move back has begun, which takes up to a period."""

        async def main() -> None:
            async with open_rig(build_config()) as rig:
                await rig.add_upstream("old-1", answer_whole, version="v1")
                entry = await rig.add_entry()
                await wait_ready(entry, 1)
                order = {"backend": SERVICE, "to": "v2", "durationS": 30.0}
                rig.store.put("op", f"rollout/{SERVICE}", order)
                new = await rig.add_upstream("new-1", answer_whole, version="v2")
                await wait_ready(entry, 2)
                await wait_until(lambda: read_move_state(rig) == "active")
                rig.store.put("op", f"rollout/{SERVICE}", order | {"to": "v1"})
                await wait_until(lambda: entry.instance.view.orders[SERVICE].version == "v1")
                before = len(new.received)
                statuses = []
                for number in range(100):
                    statuses.append((await entry.call("/unsafe/x", request_id=f"r{number}"))[0])
                    await asyncio.sleep(CALL_INTERVAL_S)
                assert statuses == [200] * 100
                assert len(new.received) == before

        asyncio.run(main())

    def test_version_without_an_order_gets_no_request(self):
        """Guards against requests to a new version that no order allows yet."""

        async def main() -> None:
            async with open_rig(build_config()) as rig:
                await rig.add_upstream("old-1", answer_whole, version="v1")
                entry = await rig.add_entry()
                await wait_ready(entry, 1)
                view = entry.instance.view
                # Backdate the old upstream by 60 s, so that the version of the other counts as new.
                for name in view.first_seen_s:
                    view.first_seen_s[name] -= 60.0
                new = await rig.add_upstream("new-1", answer_whole, version="v2")
                await wait_ready(entry, 2)
                for number in range(6):
                    await entry.call("/unsafe/x", request_id=f"r{number}")
                assert not new.received

        asyncio.run(main())

    def test_instance_behind_followers_reads_no_counts_from_the_store(self):
        """Guards against a move that makes every instance of a large fleet read from the store."""

        async def main() -> None:
            async with open_rig(build_config()) as rig:
                await rig.add_upstream("old-1", answer_whole, version="v1")
                entries = [await rig.add_entry(f"entry-{number}") for number in range(3)]
                for entry in entries:
                    await wait_ready(entry, 1)
                    await wait_until(
                        lambda entry=entry: len(entry.instance.roster.list_alive()) == 3
                    )
                relayed_entry = next(e for e in entries if not e.instance.roster.is_follower())
                await wait_until(lambda: relayed_entry.instance.peers.relayed)
                rig.store.calls_by_origin.clear()
                rig.store.put(
                    "op",
                    f"rollout/{SERVICE}",
                    {"backend": SERVICE, "to": "v2", "durationS": DURATION_S},
                )
                await rig.add_upstream("new-1", fail_always, version="v2")
                await wait_until(lambda: relayed_entry.instance.view.orders)
                await call_until([relayed_entry], lambda: read_move_state(rig) == "reverted")
                await wait_until(lambda: list_move_states(relayed_entry) == ["reverted"])
                name = relayed_entry.instance.settings.instance
                assert rig.store.calls_by_origin[(name, "/-/rows-tx", "")] > 0
                for table in ("evidence", "status"):
                    assert rig.store.calls_by_origin[(name, "/-/rows-get", table)] == 0

        asyncio.run(main())


def list_move_states(entry: RunningEntry) -> list[str]:
    return [status.state.value for status in entry.instance.view.statuses.values()]
