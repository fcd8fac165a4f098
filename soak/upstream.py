"""Upstreams of the soak: each records the requests it gets and misbehaves as its mode says."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable

from soak.caller import DEADLY_PART, STREAM_KINDS
from soak.plan import Mode
from soak.record import Record, Run
from standin.entryupstream import (
    EntryUpstream,
    ReceivedRequest,
    format_answer,
    format_chunk,
    format_event,
    format_stream_head,
)

EVENT_COUNT = 6
# Streams of the kind `long` slow down to this while an instance stops.
SLOW_EVENT_GAP_S = 0.8
# More than the buffers between an upstream and a slow reader hold.
BIG_BYTES = 1 << 20
EVENT_GAP_S = 0.02
SERVICE_TIME_S = 0.005
SLOW_SERVICE_TIME_S = 0.5
# Longer than every deadline of the soak.
SILENT_S = 60.0
IDLE_TIMEOUT_S = 0.05


def build_body(request_id: str, upstream: str, *, big: bool = False) -> bytes:
    """Return the body of an upstream's answer to a request."""
    body = f"answer to {request_id} by {upstream}".encode()
    return body.ljust(BIG_BYTES, b".") if big else body


class SoakUpstream:
    """Serves one address; `name` changes when another upstream takes over the address."""

    def __init__(self, name: str, record: Record, on_deadly: Callable[[SoakUpstream], None]):
        self.name = name
        self.mode = Mode.WELL
        self.long_event_gap_s = EVENT_GAP_S
        self._record = record
        self._on_deadly = on_deadly
        self.server = EntryUpstream(name, self._answer)

    async def _answer(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        mode, name = self.mode, self.name
        misdirected = request.get("expect-worker") not in ("", name)
        refuses = misdirected or mode is Mode.REFUSES
        run = self._record_run(request, name, ran=not refuses)
        if refuses:
            status = "421 Misdirected Request" if misdirected else "503 Service Unavailable"
            writer.write(format_answer(request, b"", status, Not_Executed="1"))
            await writer.drain()
            return
        match mode:
            case Mode.SILENT:
                await asyncio.sleep(SILENT_S)
                return
            case Mode.RESETS:
                writer.transport.abort()
                return
            case Mode.FAILS:
                writer.write(format_answer(request, b"failed", "500 Internal Server Error"))
                await writer.drain()
                return
            case Mode.SLOW:
                await asyncio.sleep(SLOW_SERVICE_TIME_S)
            case _:
                await asyncio.sleep(SERVICE_TIME_S)
        if any(f"/{kind}/" in request.line for kind in STREAM_KINDS):
            await self._send_stream(request, writer, mode)
            run.ended_s = time.monotonic()
        else:
            body = build_body(request.id, name, big="/big/" in request.line)
            run.ended_s = time.monotonic()
            answer = format_answer(request, body)
            writer.write(answer[: len(answer) // 2] if mode is Mode.CUTS else answer)
            await writer.drain()
        if mode is Mode.CUTS:
            writer.close()
        if mode is Mode.FORGETS_IDLE:
            asyncio.get_running_loop().call_later(IDLE_TIMEOUT_S, writer.transport.abort)

    async def _send_stream(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter, mode: Mode
    ) -> None:
        last_id = request.get("last-event-id")
        first = int(last_id) + 1 if last_id.isdigit() else 0
        writer.write(format_stream_head(request))
        if f",{DEADLY_PART}:" in request.get("prefix-hash"):
            await writer.drain()
            await asyncio.sleep(EVENT_GAP_S)
            self._on_deadly(self)
            return
        for number in range(first, EVENT_COUNT):
            if mode is Mode.CUTS and number == EVENT_COUNT // 2:
                return
            writer.write(format_chunk(format_event(number)))
            await writer.drain()
            gap_s = self.long_event_gap_s if "/long/" in request.line else EVENT_GAP_S
            await asyncio.sleep(SLOW_SERVICE_TIME_S / EVENT_COUNT if mode is Mode.SLOW else gap_s)
        writer.write(format_chunk(b""))
        await writer.drain()

    def _record_run(self, request: ReceivedRequest, name: str, *, ran: bool) -> Run:
        run = Run(
            id=request.id,
            upstream=name,
            at_s=time.monotonic(),
            line=request.line,
            body=request.body,
            team=request.get("tenant"),
            credentials=request.get("authorization"),
            expected=request.get("expect-worker"),
            ran=ran,
        )
        self._record.runs.append(run)
        return run
