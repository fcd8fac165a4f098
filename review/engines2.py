"""Workers that crash on a part of a prompt, and the clients before them, for cases 6 and 8."""

from __future__ import annotations

import asyncio
import random
import time

from review.rig2 import (
    BORN_MS,
    CONTACT_S,
    Answer,
    Client,
    Fleet,
    Request,
    Worker,
    build_config,
    build_route,
    format_event,
)

SERVICE = "pool"
EVENTS = 35
EVENT_GAP_S = 0.06
# From the request to the first event: about 700 tokens at 140 a millisecond, and a step.
FIRST_EVENT_S = 0.01
# How long a crashed worker is away.
DOWN_S = 3.0
SYSTEM_PART = "c0ffee01:800"
DEADLY_PART = "dead0bad"
DEADLINE_MS = 8000
SOUND_PAUSE_S = 0.5
# The rule: more than three requests, later than `contactMs` after the fifth crash.
ALLOWED_ARRIVALS = 3
COUNTED_FROM_CRASH = 5


class Engines:
    """Runs the workers, and restarts those that crashed.

    A worker crashes `crash_after_s` after it began to write an answer on the deadly part.
    """

    def __init__(self, fleet: Fleet, workers: int, crash_after_s: float):
        self._fleet = fleet
        self._crash_after_s = crash_after_s
        self._restarts: dict[str, asyncio.Task[None]] = {}
        self._starts = 0
        self.crashes_s: list[float] = []
        self.deadly_arrivals_s: list[float] = []
        for number in range(workers):
            zone = ("zone-a", "zone-b", "zone-c")[number % 3]
            fleet.workers.append(Worker(f"w{number}", SERVICE, zone, fleet.record, self.serve))

    async def start(self) -> None:
        """Start the fleet with one route, whose streams may be resumed."""
        route = build_route("draft", "stream", SERVICE, attempts=2, resumable=True, affinity=True)
        config = build_config(1, [route], [SERVICE])
        config["backends"][0]["runtime"] = {"slots": 64, "kvCapacity": 444000}
        await self._fleet.start(config)

    async def serve(self, worker: Worker, request: Request) -> bool:
        """Answer a request with a stream of events, or crash on the deadly part."""
        deadly = f"{DEADLY_PART}:" in request.headers.get("prefix-hash", "")
        if deadly:
            self.deadly_arrivals_s.append(time.monotonic())
            worker.record.note(f"worker {worker.name} begins {request.id} with the deadly part")
        await request.reader.readexactly(request.body_bytes)
        head = request.format_head(Content_Type="text/event-stream", Transfer_Encoding="chunked")
        await asyncio.sleep(FIRST_EVENT_S)
        request.writer.write(head)
        began_s = time.monotonic()
        for number in range(int(request.headers.get("last-event-id", "0")) + 1, EVENTS + 1):
            if deadly and time.monotonic() - began_s >= self._crash_after_s:
                self._crash(worker)
                return False
            request.writer.write(format_event(number))
            await request.writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
        if deadly:
            self._crash(worker)
            return False
        request.writer.write(b"0\r\n\r\n")
        await request.writer.drain()
        return True

    async def close(self) -> None:
        """End the restarts that are under way."""
        for task in self._restarts.values():
            task.cancel()
        await asyncio.gather(*self._restarts.values(), return_exceptions=True)

    def is_broken(self) -> bool:
        """Tell whether too many requests with the deadly part reached workers, and record it."""
        if len(self.crashes_s) < COUNTED_FROM_CRASH:
            self._fleet.record.note(f"{len(self.crashes_s)} crashes of workers")
            return False
        from_s = self.crashes_s[COUNTED_FROM_CRASH - 1] + CONTACT_S
        late = sum(found > from_s for found in self.deadly_arrivals_s)
        self._fleet.record.note(
            f"{len(self.crashes_s)} crashes of workers; {late} requests with the deadly part"
            f" reached workers later than {CONTACT_S} s after crash {COUNTED_FROM_CRASH}"
        )
        return late > ALLOWED_ARRIVALS

    def _crash(self, worker: Worker) -> None:
        running = self._restarts.get(worker.name)
        if running is not None and not running.done():
            return
        self.crashes_s.append(time.monotonic())
        worker.record.note(f"worker {worker.name} crashes, crash {len(self.crashes_s)}")
        port = int(worker.address.rpartition(":")[2])
        worker.crash()
        self._restarts[worker.name] = asyncio.create_task(self._restart(worker, port))

    async def _restart(self, worker: Worker, port: int) -> None:
        await asyncio.sleep(DOWN_S)
        await worker.start(port)
        self._starts += 1
        entry = worker.describe(born=BORN_MS + self._starts)
        self._fleet.store.put("servers", worker.name, entry)
        worker.record.note(f"worker {worker.name} is back")


async def call(client: Client, request_id: str, prompt: str) -> Answer:
    """Send a request with a prompt."""
    headers = (("Model", "m"), ("Token-Usage", "1460,80"), ("Prefix-Hash", prompt))
    return await client.call(
        "/draft/x", request_id, body=b"x", deadline_ms=DEADLINE_MS, headers=headers
    )


async def send_sound(fleet: Fleet, number: int, until_s: float, counts: dict[str, int]) -> None:
    """Send sound requests of one session over a kept connection."""
    client = Client(fleet.instances[number % len(fleet.instances)])
    source = random.Random(number)
    sent = 0
    while time.monotonic() < until_s:
        sent += 1
        prompt = f"{SYSTEM_PART},5e5510{number:02x}:410,{number:04x}{sent:04x}:250"
        answer = await call(client, f"sound-{number}-{sent}", prompt)
        whole = answer.status == 200 and answer.complete
        what = "sound, whole" if whole else "sound, not whole"
        counts[what] = counts.get(what, 0) + 1
        await asyncio.sleep(SOUND_PAUSE_S * source.uniform(0.8, 1.2))


async def send_deadly(fleet: Fleet, number: int, counts: dict[str, int]) -> None:
    """Send one request with the deadly part over a new connection; no two are alike."""
    client = Client(fleet.instances[number % len(fleet.instances)])
    prompt = f"{SYSTEM_PART},{DEADLY_PART}:410,5e55dd{number:02x}:60,dd{number:06x}:250"
    fleet.record.note(f"client sends deadly-{number} to {client.instance.name}")
    answer = await call(client, f"deadly-{number}", prompt)
    fleet.record.note(f"client gets deadly-{number}: {answer.status} {answer.error}")
    what = f"deadly, {answer.status}"
    counts[what] = counts.get(what, 0) + 1
    client.close()
