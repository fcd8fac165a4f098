"""Remembers to which engines this instance recently sent the parts of prompts."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

# About 300 bytes an entry.
MAX_PARTS = 8192
MAX_ENGINES = 8
# Engines evict prompts that are not used; the users' chats mostly continue within minutes.
VALID_S = 120.0


class PromptMemory:
    """Holds the newest placements of each part, the latest last."""

    __slots__ = ("_placements",)

    def __init__(self) -> None:
        self._placements: OrderedDict[str, dict[str, float]] = OrderedDict()

    def record(self, parts: Iterable[str], incarnation: str, now_s: float) -> None:
        """Record a placement; drop the oldest ones if there are too many."""
        for part in parts:
            engines = self._placements.setdefault(part, {})
            engines.pop(incarnation, None)
            engines[incarnation] = now_s
            if len(engines) > MAX_ENGINES:
                del engines[next(iter(engines))]
            self._placements.move_to_end(part)
        while len(self._placements) > MAX_PARTS:
            self._placements.popitem(last=False)

    def find(self, part: str, now_s: float) -> list[str]:
        """Return the incarnations of engines that got the part, the latest first."""
        engines = self._placements.get(part, {})
        return [name for name, at_s in reversed(engines.items()) if now_s - at_s < VALID_S]
