"""Tests of entry instances whose engines end when they answer on a certain part of a prompt."""

from __future__ import annotations

import asyncio

from standin.deadlyengine import EVENTS, DeadlyEngine
from standin.entryupstream import format_event
from tests.entryrig import Rig, RunningEntry, run_rig, wait_ready, wait_until

SOUND = "c0ffee:500,5e5510:900"
DEADLY = f"{SOUND},dead:60"
WHOLE = b"".join(format_event(number) for number in range(1, EVENTS + 1))
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
        except OSError:
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
