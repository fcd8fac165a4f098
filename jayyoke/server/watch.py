"""Server-sent events of configuration versions, domain states, move states and members."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from aiohttp import web

from jayyoke.core.member import MemberChange
from jayyoke.ops.node import Node
from jayyoke.server.reply import OperatorProblem

MAX_WATCHERS = 32
MAX_QUEUED_EVENTS = 256
KEEP_ALIVE_S = 10.0


class Watch:
    """Sends events to operators; a watcher that reads too slowly is told so and disconnected."""

    def __init__(self, node: Node):
        self._node = node
        self._watchers = 0
        self._closing = asyncio.Event()

    def close(self) -> None:
        """End every stream, so that a shutdown does not wait for the watchers."""
        self._closing.set()

    async def serve(self, http: web.Request) -> web.StreamResponse:
        """Send the present state, then every change, until either side closes."""
        if self._watchers >= MAX_WATCHERS:
            detail = f"{MAX_WATCHERS} operators watch this instance already"
            raise OperatorProblem(503, "too-many-watchers", detail)
        self._watchers += 1
        response = web.StreamResponse(headers={"Cache-Control": "no-store"})
        response.content_type = "text/event-stream"
        feed = Feed(self._node)
        try:
            await response.prepare(http)
            while not self._closing.is_set():
                await response.write(await self._next(feed))
                if feed.overflowed:
                    await response.write(format_event("overflow", {"detail": "read too slowly"}))
                    break
        finally:
            feed.close()
            self._watchers -= 1
        return response

    async def _next(self, feed: Feed) -> bytes:
        pending = asyncio.ensure_future(feed.queue.get())
        closing = asyncio.ensure_future(self._closing.wait())
        try:
            await asyncio.wait(
                (pending, closing),
                timeout=KEEP_ALIVE_S,
                return_when=asyncio.FIRST_COMPLETED,
            )
            return pending.result() if pending.done() else b": keep-alive\n\n"
        finally:
            pending.cancel()
            closing.cancel()


class Feed:
    """Queues the events of one watcher."""

    def __init__(self, node: Node):
        self.queue: asyncio.Queue[bytes] = asyncio.Queue(MAX_QUEUED_EVENTS)
        self.overflowed = False
        self._node = node
        self._out: frozenset[str] = frozenset()
        self._subscriptions = [node.control.versions.subscribe(self._see_version)]
        if node.peers is not None:
            for member in node.peers.members():
                self._put("member", _describe(member, "live"))
            self._subscriptions.append(node.peers.changes.subscribe(self._see_member))
        self._see_version(node.control.configuration.version)

    def close(self) -> None:
        """Stop listening."""
        for subscription in self._subscriptions:
            subscription.dispose()

    def _see_version(self, version: int) -> None:
        self._put("configuration", {"version": version})
        out = self._node.control.configuration.domains_out
        for name in sorted(out ^ self._out):
            self._put("domain", {"domain": name, "state": "out" if name in out else "in"})
        self._out = out

    def _see_member(self, change: MemberChange) -> None:
        self._put("member", _describe(change.member, change.state.value))

    def _put(self, event: str, data: dict[str, Any]) -> None:
        try:
            self.queue.put_nowait(format_event(event, data))
        except asyncio.QueueFull:
            self.overflowed = True


def format_event(event: str, data: dict[str, Any]) -> bytes:
    """Return one server-sent event."""
    return f"event: {event}\ndata: {json.dumps(data)}\n\n".encode()


def _describe(member: Any, state: str) -> dict[str, Any]:
    return {
        "instance": member.name,
        "domain": member.domain,
        "incarnation": member.incarnation,
        "state": state,
    }
