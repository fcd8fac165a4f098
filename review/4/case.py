"""Streams that a sound engine has preempted are cut while their instance stops."""

from __future__ import annotations

import asyncio
import signal
import time

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
    format_event,
    format_stream_head,
)

# The large deployment's engines run so many requests at once.
SLOTS = 12
EVENTS = 30
EVENT_INTERVAL_S = 0.1
# An engine preempts its newest requests when its memory runs out, also in the middle of a stream.
PREEMPTED = 3
# Clients abandon a stream after a gap of 2.4 s here (four times the objective of 600 ms).
PAUSE_S = 1.5
# Long enough for all streams to have begun, and before the first of them ends.
STOP_AFTER_S = 0.3
PREEMPT_AFTER_S = 0.3
CALL_INTERVAL_S = 0.02


class Engine:
    """Runs up to SLOTS streams at once and can preempt the newest of them."""

    def __init__(self, name: str, rig: Rig):
        self.server = EntryUpstream(name, self._answer)
        self._rig = rig
        self._running: list[str] = []
        self._paused_until_s: dict[str, float] = {}

    def preempt(self) -> None:
        """Take the newest requests off the batch until their memory is free again."""
        until_s = time.monotonic() + PAUSE_S
        for request_id in self._running[-PREEMPTED:]:
            self._paused_until_s[request_id] = until_s
            self._log(f"{request_id} is preempted for {PAUSE_S} s")

    def _log(self, text: str) -> None:
        self._rig.record.add(f"{self.server.name}: {text}")

    async def _answer(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        if len(self._running) >= SLOTS:
            self._log(f"{request.id} gets 503 (not executed), all slots are taken")
            writer.write(
                b"HTTP/1.1 503 Service Unavailable\r\nRequest-Id: %s\r\nNot-Executed: 1\r\n"
                b"Content-Length: 0\r\n\r\n" % request.id.encode()
            )
            await writer.drain()
            return
        self._running.append(request.id)
        first = int(request.get("last-event-id") or 0) + 1
        self._log(f"{request.id} runs from event {first}")
        try:
            load = f"Worker-Load: {len(self._running)},0,{SLOTS}\r\n\r\n".encode()
            writer.write(format_stream_head(request)[:-2] + load)
            for number in range(first, EVENTS + 1):
                pause_s = self._paused_until_s.pop(request.id, 0.0) - time.monotonic()
                if pause_s > 0.0:
                    await asyncio.sleep(pause_s)
                    self._log(f"{request.id} goes on at event {number}")
                writer.write(format_chunk(format_event(number)))
                await writer.drain()
                await asyncio.sleep(EVENT_INTERVAL_S)
            writer.write(format_chunk(b""))
            await writer.drain()
            self._log(f"{request.id} has run to its end")
        except asyncio.CancelledError:
            self._log(f"{request.id} is dropped, since the instance closed its connection")
            raise
        finally:
            self._running.remove(request.id)


async def send(rig: Rig, number: int) -> Answer:
    """Send a request and return the answer; send it again if it was refused as not run."""
    while True:
        answer = await Client(rig).call(
            f"r{number}",
            "/brief/x",
            Model="m",
            Token_Usage="1460,330",
            Prefix_Hash=f"5c1e07a2:800,91bd{number:04x}:10410,e440{number:04x}:250",
        )
        if answer.status != 503:
            return answer
        await asyncio.sleep(float(answer.headers["retry-after"]))


async def play(rig: Rig) -> bool:
    """Return whether every stream that was read and passed on got its whole answer."""
    route = build_route(
        "brief", "stream", "guide-assist", attempts=2, affinity=True, resumable=True
    )
    rig.put_config(build_config(1, [route], [build_service("guide-assist", SLOTS)]))
    engines = [Engine("i-1", rig), Engine("i-2", rig)]
    for engine, domain in zip(engines, ("zone-a", "zone-b"), strict=True):
        await rig.add_worker(engine.server, "guide-assist", az=domain, slots=SLOTS)
    await rig.add_instances(1)
    # The instance has been in touch for `contactMs`.
    await asyncio.sleep(4.0)
    calls = []
    for number in range(2 * SLOTS):
        calls.append(asyncio.create_task(send(rig, number)))
        await asyncio.sleep(CALL_INTERVAL_S)
    await asyncio.sleep(STOP_AFTER_S)
    rig.record.add("platform: SIGTERM to entry-1, with a grace of 8 s")
    rig.instances[0].signal(signal.SIGTERM)
    await asyncio.sleep(PREEMPT_AFTER_S)
    if has_trouble():
        engines[0].preempt()
    answers = await asyncio.gather(*calls)
    if any(answer.status != 200 for answer in answers):
        raise RuntimeError("not every stream has begun")
    lost = [answer for answer in answers if not answer.complete]
    rig.record.add(f"{len(lost)} of {len(answers)} streams ended without a complete answer")
    return not lost


if __name__ == "__main__":
    run_case(play)
