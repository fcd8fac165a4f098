"""A resumed stream repeats its events if their ids have more than 15 digits."""

from __future__ import annotations

import asyncio
import os

from review.rig import (
    Answer,
    Client,
    Rig,
    build_config,
    build_route,
    build_service,
    has_trouble,
    run_case,
)
from standin.entryupstream import (
    EntryUpstream,
    ReceivedRequest,
    format_chunk,
    format_stream_head,
)

SERVICE = "guide-assist"
ENGINES = 3
SLOTS = 64
# Streams end well within 0.9 s, after which such a stream would be begun again without a crash.
EVENTS = 12
EVENT_INTERVAL_S = 0.03
FIRST_EVENT_S = 0.06
CLIENTS = 12
# Ids are 64-bit sequence numbers: the session in the upper bits, the event in the lower ones.
SESSION_BITS = int(os.environ.get("SESSION_BITS", "40"))
CRASH_AFTER_S = 0.2


def build_events(request_id: str) -> list[tuple[int, bytes]]:
    """Return the events of a request, which all engines make alike."""
    session = int(request_id.removeprefix("r"))
    events = []
    for number in range(1, EVENTS + 1):
        event_id = ((100_000 + session) << SESSION_BITS) + number if SESSION_BITS else number
        events.append((event_id, b"id: %d\ndata: piece %d\n\n" % (event_id, number)))
    return events


class Engine:
    """Streams the events after `Last-Event-Id`, or all without it."""

    def __init__(self, name: str, rig: Rig):
        self.server = EntryUpstream(name, self._answer)
        self.running = 0
        self._rig = rig

    async def _answer(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        last = int(request.get("last-event-id") or 0)
        self._rig.record.add(f"{self.server.name}: {request.id} runs, Last-Event-Id {last or None}")
        self.running += 1
        try:
            await asyncio.sleep(FIRST_EVENT_S)
            writer.write(format_stream_head(request))
            for event_id, event in build_events(request.id):
                if event_id <= last:
                    continue
                writer.write(format_chunk(event))
                await writer.drain()
                await asyncio.sleep(EVENT_INTERVAL_S)
            writer.write(format_chunk(b""))
            await writer.drain()
            self._rig.record.add(f"{self.server.name}: {request.id} has run to its end")
        finally:
            self.running -= 1


async def play(rig: Rig) -> bool:
    """Return whether no stream had a piece twice, missing or out of order."""
    route = build_route("brief", "stream", SERVICE, attempts=2, affinity=True, resumable=True)
    rig.put_config(build_config(1, [route], [build_service(SERVICE, SLOTS)]))
    engines = [Engine(f"i-{number}", rig) for number in range(ENGINES)]
    for engine, domain in zip(engines, ("zone-a", "zone-b", "zone-c"), strict=True):
        await rig.add_worker(engine.server, SERVICE, az=domain, slots=SLOTS)
    await rig.add_instances(1)
    await asyncio.sleep(4.0)

    async def call(number: int) -> Answer:
        return await Client(rig).call(
            f"r{number}",
            "/brief/x",
            Model="m",
            Token_Usage="1460,220",
            Prefix_Hash=f"5c1e07a2:800,91bd{number:04x}:410,e440{number:04x}:250",
        )

    calls = [asyncio.create_task(call(number)) for number in range(CLIENTS)]
    await asyncio.sleep(CRASH_AFTER_S)
    if has_trouble():
        busiest = max(engines, key=lambda engine: engine.running)
        rig.record.add(f"{busiest.server.name}: crashes")
        await busiest.server.close()
    broken = 0
    for number, answer in enumerate(await asyncio.gather(*calls)):
        expected = b"".join(event for _, event in build_events(f"r{number}"))
        sound = answer.body == expected if answer.complete else expected.startswith(answer.body)
        pieces = [line[6:].decode() for line in answer.body.split(b"\n") if line[:5] == b"data:"]
        rig.record.add(
            f"client: r{number} {answer.status} {'sound' if sound else 'BROKEN'}:"
            f" {', '.join(pieces)}"
        )
        broken += not sound
    rig.record.add(f"{broken} of {CLIENTS} streams had a piece twice, missing or out of order")
    return not broken


if __name__ == "__main__":
    run_case(play)
