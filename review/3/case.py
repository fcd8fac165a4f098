"""A part that crashes engines is not recognized in a prompt of many parts."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import time

from review.rig import Client, Rig, build_config, build_route, build_service, has_trouble, run_case
from standin.entryupstream import (
    EntryUpstream,
    ReceivedRequest,
    format_chunk,
    format_event,
    format_stream_head,
)

SERVICE = "guide-assist"
INSTANCES = 3
ENGINES = 6
SLOTS = 64
DOWN_S = 2.0
FIRST_EVENT_S = 0.06
EVENTS = 8
EVENT_INTERVAL_S = 0.03
# Parts of a prompt before its last one; the header stays under a tenth of `maxHeaderBytes`.
SHARED_PARTS = int(os.environ.get("SHARED_PARTS", "100"))
SESSIONS = 20
SOUND_INTERVAL_S = 0.05
DEADLY_PART = "dead0001"
DEADLY_INTERVAL_S = 1.5
PLAYED_S = 30.0
# More requests may not reach engines later than `contactMs` after the fifth crash.
CRASHES = 5
CONTACT_S = 3.0
ALLOWED = 3


class Engine:
    """Runs streams, and crashes when it begins to answer on the deadly part."""

    def __init__(self, name: str, domain: str, rig: Rig, crashes_s: list[float]):
        self.server = EntryUpstream(name, self._answer)
        self._domain = domain
        self._rig = rig
        self._crashes_s = crashes_s
        self._restart: asyncio.Task[None] | None = None
        self.deadly_s: list[float] = []

    async def start(self) -> None:
        """Start the engine and write its entry."""
        await self._rig.add_worker(self.server, SERVICE, az=self._domain, slots=SLOTS)

    async def _answer(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        name = self.server.name
        deadly = DEADLY_PART in request.get("prefix-hash")
        self._rig.record.add(f"{name}: {request.id} arrives")
        if deadly:
            self.deadly_s.append(time.monotonic())
        await asyncio.sleep(FIRST_EVENT_S)
        writer.write(format_stream_head(request))
        first = int(request.get("last-event-id") or 0) + 1
        if deadly:
            if self._restart is None:
                self._rig.record.add(f"{name}: crashes as it begins to answer {request.id}")
                self._crashes_s.append(time.monotonic())
                self._restart = asyncio.create_task(self._crash())
            await asyncio.sleep(1.0)
        for number in range(first, EVENTS + 1):
            writer.write(format_chunk(format_event(number)))
            await asyncio.sleep(EVENT_INTERVAL_S)
        writer.write(format_chunk(b""))
        with contextlib.suppress(ConnectionError):
            await writer.drain()

    async def _crash(self) -> None:
        port = int(self.server.address.rpartition(":")[2])
        await self.server.close()
        await asyncio.sleep(DOWN_S)
        await self.server.start(port)
        entry = self.server.describe(SERVICE, az=self._domain, slots=SLOTS)
        entry["born"] = time.time_ns() // 1_000_000
        self._rig.store.put("servers", self.server.name, entry)
        self._rig.record.add(f"{self.server.name}: is back")
        self._restart = None


class Caller:
    """Sends requests of sessions, with or without the deadly part."""

    def __init__(self, rig: Rig):
        self._rig = rig
        self._source = random.Random(1)
        self._calls: set[asyncio.Task[None]] = set()
        self._idle: list[list[Client]] = [[] for _ in rig.instances]
        self._number = 0

    async def run(self, interval_s: float, deadly: bool) -> None:
        """Send requests at a constant rate until cancelled."""
        while True:
            await asyncio.sleep(interval_s)
            call = asyncio.create_task(self._call(deadly))
            self._calls.add(call)
            call.add_done_callback(self._calls.discard)

    async def _call(self, deadly: bool) -> None:
        self._number += 1
        request_id = f"{'deadly' if deadly else 'sound'}-{self._number}"
        session = self._source.randrange(SESSIONS)
        parts = [f"{session:04x}{number:04x}:100" for number in range(SHARED_PARTS)]
        if deadly:
            parts[0] = f"{DEADLY_PART}:100"
        parts.append(f"e44{self._number:05x}:100")
        place = self._source.randrange(len(self._idle))
        idle = self._idle[place]
        client = idle.pop() if idle else Client(self._rig, place)
        await client.call(
            request_id,
            "/brief/x",
            Model="m",
            Token_Usage=f"{100 * len(parts)},100",
            Prefix_Hash=",".join(parts),
        )
        idle.append(client)


async def play(rig: Rig) -> bool:
    """Return whether few requests with the part reach engines after the fifth crash."""
    route = build_route("brief", "stream", SERVICE, attempts=2, affinity=True, resumable=True)
    rig.put_config(build_config(1, [route], [build_service(SERVICE, SLOTS)]))
    crashes_s: list[float] = []
    engines = []
    for number in range(ENGINES):
        engine = Engine(f"i-{number}", f"zone-{'abc'[number % 3]}", rig, crashes_s)
        await engine.start()
        engines.append(engine)
    await rig.add_instances(INSTANCES)
    caller = Caller(rig)
    tasks = [asyncio.create_task(caller.run(SOUND_INTERVAL_S, False))]
    await asyncio.sleep(4.0)
    if has_trouble():
        tasks.append(asyncio.create_task(caller.run(DEADLY_INTERVAL_S, True)))
    await asyncio.sleep(PLAYED_S)
    for task in tasks:
        task.cancel()
    late = 0
    if len(crashes_s) >= CRASHES:
        from_s = crashes_s[CRASHES - 1] + CONTACT_S
        late = sum(at_s > from_s for engine in engines for at_s in engine.deadly_s)
    rig.record.add(
        f"{len(crashes_s)} crashes; {late} requests with the part reached engines later than"
        f" {CONTACT_S} s after the fifth, {ALLOWED} are allowed"
    )
    return late <= ALLOWED


if __name__ == "__main__":
    run_case(play)
