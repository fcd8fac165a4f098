"""Bounded memory of the engine that caches each chat."""

from __future__ import annotations

import xxhash

# 3.3 M chats over 410 nodes are 8,050 per node; the limit holds twice that and a lost peer's share.
MAX_ENTRIES = 20_000
MAX_AGE_S = 6 * 3600.0
# Engines report cache events up to this late, so an eviction removes no placement newer than this.
EVENT_LAG_S = 10.0
_TOKEN_BITS = 24
_TIME_BITS = 32
_MAX_TOKENS = (1 << _TOKEN_BITS) - 1


def hash_chat(chat: str) -> int:
    """Return the 63-bit key of a chat, as carried in Ask."""
    return xxhash.xxh3_64_intdigest(chat.encode()) >> 1


class CacheLocations:
    """Maps a chat to an engine and the number of tokens cached there.

    Each entry is one packed integer: index of the engine, time and tokens.
    """

    def __init__(self, max_entries: int = MAX_ENTRIES, max_age_s: float = MAX_AGE_S):
        self._max_entries = max_entries
        self._max_age_s = max_age_s
        self._entries: dict[int, int] = {}
        self._indexes: dict[str, int] = {}
        self._engines: list[str] = []
        self._counts_valid_from_s: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self._entries)

    def learn(self, chat: int, engine: str, tokens: int, now_s: float) -> None:
        """Record which engine caches a chat; drop the oldest entry if there are too many."""
        index = self._indexes.setdefault(engine, len(self._engines))
        if index == len(self._engines):
            self._engines.append(engine)
        packed = (index << _TIME_BITS | int(max(now_s, 0.0))) << _TOKEN_BITS
        self._entries.pop(chat, None)
        self._entries[chat] = packed | min(max(tokens, 0), _MAX_TOKENS)
        if len(self._entries) > self._max_entries:
            del self._entries[next(iter(self._entries))]

    def find(self, chat: int, now_s: float) -> tuple[str, int] | None:
        """Return the engine and the tokens cached there, or None."""
        packed = self._entries.get(chat)
        if packed is None:
            return None
        seen_s = packed >> _TOKEN_BITS & ((1 << _TIME_BITS) - 1)
        if now_s - seen_s > self._max_age_s:
            del self._entries[chat]
            return None
        engine = self._engines[packed >> (_TOKEN_BITS + _TIME_BITS)]
        if seen_s < self._counts_valid_from_s.get(engine, -1):
            return engine, 0
        return engine, packed & _MAX_TOKENS

    def restore(self, chat: int, engine: str, tokens: int, now_s: float) -> None:
        """Record a late cache event unless the chat is known on another engine."""
        known = self.find(chat, now_s)
        if known is None or known[0] == engine:
            self.learn(chat, engine, max(tokens, known[1] if known else 0), now_s)

    def discard_counts_before(self, engine: str, now_s: float) -> None:
        """Treat an engine's token counts recorded before now as 0, since cache events were lost."""
        self._counts_valid_from_s[engine] = int(max(now_s, 0.0))

    def evict(self, chat: int, engine: str, now_s: float) -> None:
        """Remove an entry that the engine evicted, unless it is newer than EVENT_LAG_S."""
        packed = self._entries.get(chat)
        if packed is None:
            return
        if now_s - (packed >> _TOKEN_BITS & ((1 << _TIME_BITS) - 1)) < EVENT_LAG_S:
            return
        if self._engines[packed >> (_TOKEN_BITS + _TIME_BITS)] == engine:
            del self._entries[chat]

    def forget_engine(self, engine: str) -> None:
        """Remove every chat of an engine whose cache is lost."""
        index = self._indexes.get(engine)
        if index is None:
            return
        shift = _TOKEN_BITS + _TIME_BITS
        forgotten = [chat for chat, packed in self._entries.items() if packed >> shift == index]
        for chat in forgotten:
            del self._entries[chat]
