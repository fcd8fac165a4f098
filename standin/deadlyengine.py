"""Stand-in of an engine that ends when it begins to answer a prompt with a certain part."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from standin.entryupstream import (
    EntryUpstream,
    ReceivedRequest,
    format_chunk,
    format_event,
    format_stream_head,
)

DEFAULT_EVENTS = 3


class DeadlyEngine:
    """Answers streams; `ends` counts how often it ended, `received` holds what it got in all lives.

    `running` is the number of requests that it answers now, `events` the number of events of an
    answer, `gap_s` the time between two of them.

    `is_deadly` tells whether a prompt, the value of its header, ends the engine, which is back at
    the same address after `down_s`. With `event_first` it ends within its answer and not before.
    `on_start` is called after each start but the first.
    """

    def __init__(
        self,
        name: str,
        is_deadly: Callable[[str], bool],
        down_s: float = 0.3,
        prefill_s: float = 0.12,
        event_first: bool = False,
        on_start: Callable[[DeadlyEngine], None] | None = None,
    ):
        self.name = name
        self.ends = 0
        self.received: list[ReceivedRequest] = []
        self.running = 0
        self.events = DEFAULT_EVENTS
        self.gap_s = 0.0
        self.upstream = EntryUpstream(name, self._answer)
        self._is_deadly = is_deadly
        self._down_s = down_s
        self._prefill_s = prefill_s
        self._event_first = event_first
        self._on_start = on_start
        self._restarting: asyncio.Task[None] | None = None

    @property
    def deadly_received(self) -> int:
        """Return how many requests came that end the engine."""
        return sum(self._is_deadly(found.get("prefix-hash")) for found in self.received)

    async def _answer(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        self.received.append(request)
        self.running += 1
        try:
            await self._write(request, writer)
        finally:
            self.running -= 1

    async def _write(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
        writer.write(format_stream_head(request))
        await writer.drain()
        await asyncio.sleep(self._prefill_s)
        if self._is_deadly(request.get("prefix-hash")):
            if self._event_first:
                writer.write(format_chunk(format_event(1)))
                await writer.drain()
                await asyncio.sleep(0.01)
            self.end()
            return
        for number in range(int(request.get("last-event-id") or 0) + 1, self.events + 1):
            writer.write(format_chunk(format_event(number)))
            await writer.drain()
            await asyncio.sleep(self.gap_s)
        writer.write(format_chunk(b""))
        await writer.drain()

    def end(self) -> None:
        """End at once, with all requests cut, and start again later."""
        if self._restarting is not None and not self._restarting.done():
            return
        self.ends += 1
        self._restarting = asyncio.get_running_loop().create_task(self._restart())

    async def _restart(self) -> None:
        port = int(self.upstream.address.rpartition(":")[2])
        await self.upstream.close()
        await asyncio.sleep(self._down_s)
        await self.upstream.start(port)
        if self._on_start is not None:
            self._on_start(self)

    async def close(self) -> None:
        """Stop for good."""
        if self._restarting is not None:
            self._restarting.cancel()
        await self.upstream.close()
