"""Cache events of engines, forwarded by the steward to the owners of the chats."""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any

from jayyoke.core.peering import Peers
from jayyoke.ops.cachelocations import hash_chat
from jayyoke.ops.rendezvous import choose
from jayyoke.ops.replay import Replay
from jayyoke.wire.gen.ttypes import CacheEvent, CacheEvents

MAX_EVENTS = 1000
MAX_TOKENS = 1 << 24


class CacheFollower:
    """Keeps a cursor per engine and reports gaps in the event numbers to the owners."""

    def __init__(self, peers: Peers, replay: Replay):
        self._peers = peers
        self._replay = replay
        self._cursors: dict[str, int] = {}

    def cursor(self, engine: str) -> int:
        """Return the number of the last event seen of an engine."""
        return self._cursors.get(engine, 0)

    def forget(self, engine: str) -> None:
        """Start again with the first event, for a new incarnation or a new steward."""
        self._cursors.pop(engine, None)
        self._replay.forget(engine)

    def replay(self) -> None:
        """Send chats known before a membership change to new owners; call it every 250 ms."""
        self._replay.step()

    def accept(self, engine: str, body: Mapping[str, Any]) -> bool:
        """Forward the events of one answer to the owners; return True if there was a gap.

        Events are `{"n": 7, "kind": "stored" | "evicted", "chat": key, "tokens": 120}`.
        """
        expected = self.cursor(engine) + 1
        gap = False
        groups: dict[str, list[CacheEvent]] = {}
        members = {member.name: member for member in self._peers.members()}
        for event in list(body.get("events") or ())[:MAX_EVENTS]:
            number = int(event["n"])
            if number < expected:
                continue
            gap = gap or number > expected
            expected = number + 1
            chat = hash_chat(str(event["chat"]))
            stored = event["kind"] == "stored"
            tokens = min(max(int(event.get("tokens", 0)), 1), MAX_TOKENS) if stored else 0
            owner = choose(str(chat), members) or self._peers.me.name
            groups.setdefault(owner, []).append(CacheEvent(chat, tokens))
            self._replay.record(engine, groups[owner][-1], members[owner])
        self._cursors[engine] = expected - 1
        for owner in members:
            if gap or owner in groups:
                self._peers.tell(owner, CacheEvents(engine, groups.get(owner, []), gap))
        return gap
