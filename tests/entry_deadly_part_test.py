"""Tests of entry instances whose engines end when they answer on a certain part of a prompt."""

from __future__ import annotations

import asyncio

import aiohttp
import pytest

from standin.deadlyengine import DEFAULT_EVENTS, DeadlyEngine
from standin.entryconfig import build_config, build_route
from standin.entryupstream import format_event
from standin.rowstore import Fault
from tests.entryrig import Rig, RunningEntry, run_rig, wait_ready, wait_until

SOUND = "c0ffee:500,5e5510:900"
DEADLY = f"{SOUND},dead:60"
WHOLE = b"".join(format_event(number) for number in range(1, DEFAULT_EVENTS + 1))
# The users count five ends, and then allow three more requests.
ALLOWED_SENDS = 5 + 3
BORN_MS = 1_700_000_000_000


class Fleet:
    """Holds instances and engines that end on a part whose id begins with `dead`."""

    def __init__(self, rig: Rig, entries: list[RunningEntry], engines: list[DeadlyEngine]):
        self.rig = rig
        self.entries = entries
        self.engines = engines
        self._calls = 0

    @property
    def deadly_received(self) -> int:
        """Return how many requests with the part reached an engine."""
        return sum(engine.deadly_received for engine in self.engines)

    @property
    def received(self) -> int:
        """Return how many requests reached an engine."""
        return sum(len(engine.received) for engine in self.engines)

    @property
    def ends(self) -> int:
        """Return how often an engine ended."""
        return sum(engine.ends for engine in self.engines)

    async def call(self, prompt: str, entry: int | None = None, path: str = "/resume/x"):
        """Send a request with a last part of its own; return status, body and headers."""
        self._calls += 1
        number = self._calls
        chosen = self.entries[number % len(self.entries) if entry is None else entry]
        head = {"Prefix-Hash": f"{prompt},{number:x}0:40", "Model": "m", "Token-Usage": "1500,80"}
        try:
            return await chosen.call(path, f"r{number}", **head)
        except (OSError, aiohttp.ClientPayloadError):
            # The instance broke off an answer that it had begun.
            return 0, b"", {}


async def start_fleet(
    rig: Rig,
    entries: int = 3,
    engines: int = 6,
    down_s: float = 0.3,
    event_first: bool = False,
) -> Fleet:
    """Start instances, and engines that are new incarnations after each end."""

    def register(engine: DeadlyEngine) -> None:
        born = BORN_MS + engine.ends
        rig.store.put("servers", engine.name, engine.upstream.describe("desk", born=born))

    started = []
    for number in range(engines):
        engine = DeadlyEngine(
            f"e{number}", lambda prompt: ",dead" in prompt, down_s, 0.12, event_first, register
        )
        await engine.upstream.start()
        register(engine)
        rig.add_stop_function(engine.close)
        started.append(engine)
    running = [await rig.add_entry(f"entry-{number}") for number in range(entries)]
    for entry in running:
        await wait_ready(entry, engines)
        await wait_until(lambda entry=entry: len(entry.instance.roster.list_members()) == entries)
    return Fleet(rig, running, started)


def list_quarantined(fleet: Fleet) -> list[list[str]]:
    """Return the parts that each instance keeps from engines."""
    return [entry.instance.quarantine.list_quarantined() for entry in fleet.entries]


class TestDeadlyPart:
    """Tests what reaches the engines while requests with the part keep coming."""

    def test_part_that_ends_engines_is_kept_from_them(self):
        """Guards against requests with one part that end one engine after the other."""

        async def test(rig: Rig) -> None:
            fleet = await start_fleet(rig)
            for _ in range(6):
                assert (await fleet.call(SOUND))[:2] == (200, WHOLE)
            for _ in range(12):
                status, _, _ = await fleet.call(DEADLY)
                assert status in (0, 502, 503)
            assert fleet.deadly_received <= ALLOWED_SENDS

        run_rig(test)

    def test_sound_requests_beside_it_are_served(self):
        """Guards against sound requests that are lost with the engines or refused."""

        async def test(rig: Rig) -> None:
            fleet = await start_fleet(rig, down_s=1.0)
            for _ in range(6):
                assert (await fleet.call(SOUND))[:2] == (200, WHOLE)
            sound = []
            for _ in range(30):
                calls = [fleet.call(DEADLY), fleet.call(DEADLY)]
                calls += [fleet.call(SOUND) for _ in range(3)]
                found = await asyncio.gather(*calls)
                sound += [answer[:2] for answer in found[2:]]
            # The users ask for half of what is served at other times, which is all.
            assert sound.count((200, WHOLE)) >= len(sound) / 2
            assert sound[-45:].count((200, WHOLE)) == 45

        run_rig(test)

    def test_caller_that_comes_back_elsewhere_ends_no_engine(self):
        """Guards against a repeat at another instance, and a caller that comes back to no end."""

        async def test(rig: Rig) -> None:
            fleet = await start_fleet(rig)
            await fleet.call(SOUND, entry=0)
            assert (await fleet.call(DEADLY, entry=0))[0] == 502
            assert fleet.ends == 2
            await wait_until(lambda: all(list_quarantined(fleet)))
            status, body, headers = await fleet.call(DEADLY, entry=1)
            assert (status, body) == (503, b"part-quarantined")
            assert float(headers["Retry-After"]) > 2.5
            assert fleet.deadly_received == 2

        run_rig(test)

    def test_end_after_the_first_event_counts(self):
        """Guards against engines that end just after they have begun to write."""

        async def test(rig: Rig) -> None:
            fleet = await start_fleet(rig, event_first=True)
            for _ in range(6):
                await fleet.call(SOUND)
            for _ in range(8):
                await fleet.call(DEADLY)
            assert fleet.deadly_received <= ALLOWED_SENDS
            # The seventh request has ended two engines itself.
            assert set(map(tuple, list_quarantined(fleet))) == {("desk/dead", "desk//70")}

        run_rig(test)

    def test_requests_that_are_never_repeated_count_too(self):
        """Guards against a part of a route whose streams cannot be resumed."""

        async def test(rig: Rig) -> None:
            fleet = await start_fleet(rig)
            for _ in range(6):
                await fleet.call(SOUND)
            for _ in range(12):
                await fleet.call(DEADLY, path="/stream/x")
            assert fleet.deadly_received <= ALLOWED_SENDS

        run_rig(test)

    def test_request_without_shared_parts_ends_two_engines_at_most(self):
        """Guards against a request that ends as many engines as its route has attempts."""

        async def test(rig: Rig) -> None:
            fleet = await start_fleet(rig)
            status, _, _ = await fleet.call("c0ffee:500,dead:60", entry=0, path="/many/x")
            assert status == 502
            assert fleet.ends == 2

        routes = [build_route("many", "stream", attempts=6, affinity=True, resumable=True)]
        run_rig(test, build_config(routes=routes))


class TestLongPrompt:
    """Tests a deadly part among many others."""

    @pytest.mark.parametrize("count", [64, 65, 300, 1200])
    @pytest.mark.parametrize("place", ["first", "middle", "last"])
    def test_part_is_recognized_wherever_it_stands(self, count, place):
        """Guards against a deadly part that is in no evidence because others come after it."""
        sound = [f"{number:x}:4" for number in range(count)]
        index = {"first": 0, "middle": count // 2, "last": count}[place]
        deadly = [*sound[:index], "0,dead:4", *sound[index:]]
        sound_prompt, deadly_prompt = ",".join(sound), ",".join(deadly)

        async def test(rig: Rig) -> None:
            fleet = await start_fleet(rig)
            for _ in range(6):
                assert (await fleet.call(sound_prompt))[:2] == (200, WHOLE)
            for _ in range(12):
                await fleet.call(deadly_prompt)
                await asyncio.sleep(0.05)
            assert fleet.deadly_received <= ALLOWED_SENDS
            await wait_until(lambda: all(list_quarantined(fleet)))
            for _ in range(3):
                await wait_until(lambda: all_up(fleet))
                assert (await fleet.call(sound_prompt))[:2] == (200, WHOLE)

        run_rig(test)

    def test_new_instance_learns_which_part_of_a_long_prompt(self):
        """Guards against a restarted instance that is told only of some suspects."""
        prompt = ",".join(["dead:4", *(f"{number:x}:4" for number in range(900))])

        async def test(rig: Rig) -> None:
            fleet = await start_fleet(rig, entries=2)
            await fleet.call(f"0:4,{prompt}", entry=0)
            await wait_until(lambda: all("desk/dead" in found for found in list_quarantined(fleet)))
            seeds = tuple(entry.instance.settings.peer_address for entry in fleet.entries)
            rig.store.fault = Fault.RESET
            entry = await rig.add_entry("entry-9", seeds)
            await wait_until(lambda: "desk/dead" in entry.instance.quarantine.list_quarantined())

        run_rig(test)


def all_up(fleet: Fleet) -> bool:
    """Tell whether all engines accept connections and no instance avoids one."""
    for entry in fleet.entries:
        tracker = entry.instance.placement.tracker
        for upstream in entry.instance.view.upstreams.values():
            if tracker.get(upstream.incarnation).is_suspended(entry.instance.forwarder._now_s()):
                return False
    return True


class TestSoundParts:
    """Tests what must not be refused."""

    def test_engines_that_end_by_themselves_accuse_no_hot_part(self):
        """Guards against a hot part that is refused since it was in each of many ends."""

        async def test(rig: Rig) -> None:
            fleet = await start_fleet(rig)
            calls: list[asyncio.Task] = []
            for step in range(50):
                if step % 10 == 5:
                    for number in (0, 1):
                        fleet.engines[(step + number) % 6].end()
                calls += [asyncio.create_task(fleet.call(SOUND)) for _ in range(3)]
                await asyncio.sleep(0.05)
            found = await asyncio.gather(*calls)
            assert sum(answer[1] == b"part-quarantined" for answer in found) == 0
            assert list_quarantined(fleet) == [[], [], []]
            assert fleet.ends == 10

        run_rig(test)

    def test_stream_that_was_being_written_goes_on(self):
        """Guards against sound streams that end with the second engine lost under them."""

        async def test(rig: Rig) -> None:
            fleet = await start_fleet(rig)
            for engine in fleet.engines:
                engine.gap_s, engine.events = 0.15, 12
            call = asyncio.create_task(fleet.call(SOUND, entry=0))
            for lost in range(2):
                await wait_until(lambda lost=lost: fleet.received > lost)
                await asyncio.sleep(0.12 + 0.45)
                (running,) = (found for found in fleet.engines if found.running)
                running.end()
            status, body, _ = await call
            assert (status, body) == (200, b"".join(format_event(n) for n in range(1, 13)))

        run_rig(test)


class TestRestart:
    """Tests what outlasts instances."""

    def test_restart_of_all_instances_keeps_the_part(self):
        """Guards against engines that end again after a restart of the fleet."""

        async def test(rig: Rig) -> None:
            fleet = await start_fleet(rig, entries=2)
            await fleet.call(DEADLY, entry=0)
            await wait_until(lambda: rig.store.list_keys("quarantine"))
            await rig.stop_entries()
            entry = await rig.add_entry("entry-9")
            await wait_ready(entry, 6)
            fleet.entries = [entry]
            await wait_until(lambda: all(list_quarantined(fleet)))
            assert (await fleet.call(DEADLY))[:2] == (503, b"part-quarantined")
            assert fleet.deadly_received == 2

        run_rig(test)

    def test_new_instance_learns_from_others_while_the_store_is_away(self):
        """Guards against an instance that has to see the ends itself."""

        async def test(rig: Rig) -> None:
            fleet = await start_fleet(rig, entries=2)
            await fleet.call(DEADLY, entry=0)
            await wait_until(lambda: all(list_quarantined(fleet)))
            seeds = tuple(entry.instance.settings.peer_address for entry in fleet.entries)
            rig.store.fault = Fault.RESET
            entry = await rig.add_entry("entry-9", seeds)
            await wait_until(lambda: entry.instance.quarantine.list_quarantined())
            await wait_ready(entry, 6)
            fleet.entries = [entry]
            assert (await fleet.call(DEADLY))[:2] == (503, b"part-quarantined")

        run_rig(test)
