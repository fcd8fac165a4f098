"""Replay of known caches to new owners: a steward's table of the chats that its engines hold."""

from __future__ import annotations

from collections import deque
from collections.abc import Iterable

from jayyoke.core.clock import Clock
from jayyoke.core.member import Member
from jayyoke.core.peering import Peers
from jayyoke.ops.rendezvous import choose
from jayyoke.wire.gen.ttypes import CacheEvent, CacheEvents

# 3.3 M chats over 3,600 engines are 917 each; the limit leaves room for four times that.
MAX_CHATS_PER_ENGINE = 4096
MAX_CHATS = 20_000
# An event takes about 17 bytes, so that a replay adds at most 1.7 KB/s to the traffic of an
# instance.
REPLAYED_PER_S = 100.0
EXAMINED_PER_STEP = 500
MAX_STEP_S = 1.0


class Replay:
    """Keeps chats and tokens by engine, and sends those whose owner changed to the new owner."""

    def __init__(self, peers: Peers, clock: Clock):
        self._peers = peers
        self._clock = clock
        self._chats: dict[str, dict[int, tuple[int, Member]]] = {}
        self._count = 0
        self._view = peers.members()
        self._member_joined = False
        self._queue: deque[tuple[str, int]] = deque()
        self._stepped_s = clock.now_s()

    def __len__(self) -> int:
        return self._count

    @property
    def pending(self) -> int:
        """Return the number of chats that are still to be examined."""
        return len(self._queue)

    def record(self, engine: str, event: CacheEvent, owner: Member) -> None:
        """Record an event that was sent to the owner."""
        chats = self._chats.setdefault(engine, {})
        if chats.pop(event.chat, None) is not None:
            self._count -= 1
        if event.tokens <= 0:
            return
        if len(chats) >= MAX_CHATS_PER_ENGINE:
            del chats[next(iter(chats))]
            self._count -= 1
        if self._count >= MAX_CHATS:
            return
        chats[event.chat] = (event.tokens, owner)
        self._count += 1

    def forget(self, engine: str) -> None:
        """Drop the chats of an engine whose cache is lost or that has another steward."""
        self._count -= len(self._chats.pop(engine, ()))

    def step(self) -> int:
        """Send what the rate allows and return the number of events; call it every 250 ms."""
        now_s = self._clock.now_s()
        budget = int(min(now_s - self._stepped_s, MAX_STEP_S) * REPLAYED_PER_S)
        view = self._peers.members()
        if view != self._view:
            self._member_joined = self._member_joined or not set(view) <= set(self._view)
            self._view = view
            self._queue = deque(self._list_newest())
        if not self._queue:
            self._member_joined = False
            self._stepped_s = now_s
            return 0
        if budget < 1:
            return 0
        self._stepped_s = now_s
        return self._send(self._collect(budget))

    def _list_newest(self) -> Iterable[tuple[str, int]]:
        """Yield the newest chats of each engine first, since those continue soonest."""
        iterators = [(engine, iter(reversed(list(chats)))) for engine, chats in self._chats.items()]
        while iterators:
            left = []
            for engine, newest in iterators:
                chat = next(newest, None)
                if chat is None:
                    continue
                yield engine, chat
                left.append((engine, newest))
            iterators = left

    def _collect(self, budget: int) -> dict[tuple[str, str], list[CacheEvent]]:
        by_name = {member.name: member for member in self._view}
        live = set(self._view)
        groups: dict[tuple[str, str], list[CacheEvent]] = {}
        for _ in range(min(EXAMINED_PER_STEP, len(self._queue))):
            engine, chat = self._queue.popleft()
            known = self._chats.get(engine, {}).get(chat)
            # Only chats of lost members, and those that a new member takes over, change owners.
            if known is None or (known[1] in live and not self._member_joined):
                continue
            tokens, previous_owner = known
            owner = by_name[choose(str(chat), by_name) or self._peers.me.name]
            if owner == previous_owner:
                continue
            self._chats[engine][chat] = (tokens, owner)
            groups.setdefault((owner.name, engine), []).append(CacheEvent(chat, tokens))
            budget -= 1
            if budget <= 0:
                break
        return groups

    def _send(self, groups: dict[tuple[str, str], list[CacheEvent]]) -> int:
        sent = 0
        for (owner, engine), events in groups.items():
            self._peers.tell(owner, CacheEvents(engine, events, False, True))
            sent += len(events)
        return sent
