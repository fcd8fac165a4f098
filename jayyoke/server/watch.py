"""Server-sent events of configuration versions, domain states, move states and members."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from aiohttp import web

from jayyoke.core.member import MemberChange
from jayyoke.ops.node import Node
from jayyoke.server.moves import describe_move
from jayyoke.server.operatorproblem import OperatorProblem

MAX_WATCHERS = 32
MAX_QUEUED_EVENTS = 256
# Also the longest delay of move events, since moves are compared whenever a stream wakes up.
KEEP_ALIVE_S = 1.0


class Watch:
    """Sends events to operators; a slow reader gets an `overflow` event and is disconnected."""

    def __init__(self, node: Node):
        self._node = node
        self._watchers = 0
        self._closing = asyncio.Event()

    def close(self) -> None:
        """End every stream, so that a shutdown does not wait for the watchers."""
        self._closing.set()

    async def serve(self, http_request: web.Request) -> web.StreamResponse:
        """Send the current state, then every change, until either side closes."""
        if self._watchers >= MAX_WATCHERS:
            detail = f"{MAX_WATCHERS} operators watch this instance already"
            raise OperatorProblem(503, "too-many-watchers", detail)
        self._watchers += 1
        response = web.StreamResponse(headers={"Cache-Control": "no-store"})
        response.content_type = "text/event-stream"
        feed = Feed(self._node)
        try:
            await response.prepare(http_request)
            while not self._closing.is_set():
                data = await self._next_data(feed)
                feed.queue_changed_moves()
                await response.write(data)
                if feed.overflowed:
                    await response.write(format_event("overflow", {"detail": "read too slowly"}))
                    break
        finally:
            feed.close()
            self._watchers -= 1
        return response

    async def _next_data(self, feed: Feed) -> bytes:
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
        self._domains_out: frozenset[str] = frozenset()
        self._moves: dict[str, dict[str, Any]] = {}
        self._subscriptions = [node.change_log.versions.subscribe(self._queue_version)]
        if node.peers is not None:
            for member in node.peers.members():
                self._queue_event("member", _describe_member(member, "live"))
            self._subscriptions.append(node.peers.changes.subscribe(self._queue_member))
        self._queue_version(node.change_log.configuration.version)
        self.queue_changed_moves()

    def queue_changed_moves(self) -> None:
        """Queue an event for each move whose state, step or share changed."""
        if self._node.moves is None:
            return
        for move in self._node.moves.moves:
            described = describe_move(move) | {"deadline_in_s": None}
            if self._moves.get(move.id) != described:
                self._moves[move.id] = described
                self._queue_event("move", describe_move(move))

    def close(self) -> None:
        """End the subscriptions."""
        for subscription in self._subscriptions:
            subscription.dispose()

    def _queue_version(self, version: int) -> None:
        self._queue_event("configuration", {"version": version})
        out = self._node.change_log.configuration.domains_out
        for name in sorted(out ^ self._domains_out):
            self._queue_event("domain", {"domain": name, "state": "out" if name in out else "in"})
        self._domains_out = out

    def _queue_member(self, change: MemberChange) -> None:
        self._queue_event("member", _describe_member(change.member, change.state.value))

    def _queue_event(self, event: str, data: dict[str, Any]) -> None:
        try:
            self.queue.put_nowait(format_event(event, data))
        except asyncio.QueueFull:
            self.overflowed = True


def format_event(event: str, data: dict[str, Any]) -> bytes:
    """Return one server-sent event."""
    return f"event: {event}\ndata: {json.dumps(data)}\n\n".encode()


def _describe_member(member: Any, state: str) -> dict[str, Any]:
    return {
        "instance": member.name,
        "domain": member.domain,
        "incarnation": member.incarnation,
        "state": state,
    }
