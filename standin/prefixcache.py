"""Prefix cache of the stand-in engine: blocks of tokens with least-recently-used eviction."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from collections.abc import Iterable

BLOCK_TOKENS = 16


def split_tokens(text: str) -> list[str]:
    """Return the tokens of a text; the stand-in counts one token per word."""
    return text.split()


def hash_blocks(tokens: list[str]) -> list[str]:
    """Return one hash per full block; each depends on all blocks before it."""
    hashes = []
    chain = ""
    for start in range(0, len(tokens) - BLOCK_TOKENS + 1, BLOCK_TOKENS):
        block = " ".join(tokens[start : start + BLOCK_TOKENS])
        chain = hashlib.sha256(f"{chain}|{block}".encode()).hexdigest()[:16]
        hashes.append(chain)
    return hashes


class PrefixCache:
    """Keeps at most `capacity_tokens` of prefixes and tells which chats lost blocks."""

    def __init__(self, capacity_tokens: int):
        self._capacity_blocks = max(1, capacity_tokens // BLOCK_TOKENS)
        self._blocks: OrderedDict[str, str] = OrderedDict()

    def count_cached(self, hashes: list[str]) -> int:
        """Return the number of leading tokens that the cache holds, and mark them as used."""
        count = 0
        for block in hashes:
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            count += 1
        return count * BLOCK_TOKENS

    def store(self, chat: str, hashes: Iterable[str]) -> list[str]:
        """Add the blocks of a chat and return the chats that lost a block."""
        evicted = []
        for block in hashes:
            self._blocks[block] = chat
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity_blocks:
            _, evicted_chat = self._blocks.popitem(last=False)
            if evicted_chat not in evicted:
                evicted.append(evicted_chat)
        return evicted

    def export(self, chat: str) -> list[str]:
        """Return the blocks that belong to a chat."""
        return [block for block, owner in self._blocks.items() if owner == chat]

    def clear(self) -> None:
        """Remove all blocks, as a restart of the engine does."""
        self._blocks.clear()
