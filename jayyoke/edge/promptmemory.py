"""Remembers at which engines this instance lately placed the parts of prompts."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable

# About 300 bytes an entry.
MAX_PARTS = 8192
MAX_ENGINES = 8
# Engines drop prompts that nobody asks for; the users' chats mostly return within minutes.
VALID_S = 120.0


class PromptMemory:
    """Holds the newest placements of each part, the latest last."""

    __slots__ = ("_places",)

    def __init__(self) -> None:
        self._places: OrderedDict[str, dict[str, float]] = OrderedDict()

    def note(self, parts: Iterable[str], incarnation: str, now_s: float) -> None:
        """Remember a placement; the oldest ones go if there are too many."""
        for part in parts:
            places = self._places.setdefault(part, {})
            places.pop(incarnation, None)
            places[incarnation] = now_s
            if len(places) > MAX_ENGINES:
                del places[next(iter(places))]
            self._places.move_to_end(part)
        while len(self._places) > MAX_PARTS:
            self._places.popitem(last=False)

    def find(self, part: str, now_s: float) -> list[str]:
        """Return the incarnations of engines that have read the part, the latest first."""
        places = self._places.get(part, {})
        return [name for name, at_s in reversed(places.items()) if now_s - at_s < VALID_S]
