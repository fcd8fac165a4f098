"""Bounded cache of lookups' last good answers, served when no upstream answers."""

from __future__ import annotations

import hashlib
from collections import OrderedDict
from dataclasses import dataclass

from jayyoke.core.clock import Clock
from jayyoke.core.request import CallerRequest
from jayyoke.ops.forward import Answer

MAX_ENTRIES = 4096
MAX_TOTAL_BYTES = 8 << 20  # An eighth of the 64 MB that a node may use.
MAX_ENTRY_BYTES = 256 << 10


@dataclass(frozen=True, slots=True)
class StaleAnswer:
    """Holds an earlier answer and its age in seconds."""

    answer: Answer
    age_s: float


class StaleCache:
    """Keeps the most recently used answers, limited in number and total size."""

    def __init__(self, clock: Clock):
        self._clock = clock
        self._entries: OrderedDict[bytes, tuple[float, Answer]] = OrderedDict()
        self._bytes = 0

    def store(self, request: CallerRequest, answer: Answer) -> None:
        """Keep a successful answer; ignore others and those that are too large."""
        if not 200 <= answer.status < 300 or len(answer.body) > MAX_ENTRY_BYTES:
            return
        key = _compute_key(request)
        self._drop(key)
        self._entries[key] = (self._clock.now_s(), answer)
        self._bytes += len(answer.body)
        while len(self._entries) > MAX_ENTRIES or self._bytes > MAX_TOTAL_BYTES:
            self._drop(next(iter(self._entries)))

    def find(self, request: CallerRequest) -> StaleAnswer | None:
        """Return the answer of an equal lookup if it is no older than the class allows."""
        key = _compute_key(request)
        entry = self._entries.get(key)
        if entry is None:
            return None
        stored_s, answer = entry
        age_s = self._clock.now_s() - stored_s
        if age_s > request.class_spec.stale_for_s:
            self._drop(key)
            return None
        self._entries.move_to_end(key)
        return StaleAnswer(answer, age_s)

    def _drop(self, key: bytes) -> None:
        entry = self._entries.pop(key, None)
        if entry is not None:
            self._bytes -= len(entry[1].body)


def _compute_key(request: CallerRequest) -> bytes:
    """Return the cache key of a lookup; it contains the team, so teams never share answers."""
    key_hash = hashlib.sha256()
    parts = (
        request.team.name,
        request.class_spec.name,
        request.method,
        request.path,
        request.query,
    )
    for part in parts:
        key_hash.update(f"{len(part)}:{part}".encode())
    key_hash.update(request.body)
    return key_hash.digest()
