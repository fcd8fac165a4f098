"""Ends of engines under one part of prompts, or one request, and what follows from them."""

from __future__ import annotations

from dataclasses import dataclass, field

# Ends after which a part is quarantined: one that has never had an answer, and one that has. A
# request is sent once more after an end, so two ends are the work of one request.
NEW_PART_LIMIT = 2
KNOWN_PART_LIMIT = 4
# Ends closer together have one cause, such as the loss of a rack. A repeated request needs longer
# to reach its first token at the next engine.
SAME_CAUSE_S = 0.1
# Messages give ages, so one that a peer read late, after it had stood still, gives a later time.
SAME_END_S = 30.0
# How long a part is held back, by the number of ends at or beyond its limit.
HOLDS_S = (15.0, 120.0, 600.0, 3600.0)
MAX_ENDS_PER_PART = 8


@dataclass(frozen=True, slots=True)
class EngineEnd:
    """Holds when an engine ended; `engine` is its incarnation, or its name if that is not known."""

    engine: str
    at_s: float

    def matches(self, other: EngineEnd) -> bool:
        """Tell whether both are one end, which two instances have seen."""
        return self.engine == other.engine and abs(self.at_s - other.at_s) < SAME_END_S


@dataclass(frozen=True, slots=True)
class PartEvidence:
    """Holds the ends under a part, and when it last had an answer, or None if that is not known."""

    key: str
    ends: tuple[EngineEnd, ...]
    good_s: float | None = None


@dataclass(slots=True)
class PartRecord:
    """Holds the ends under a part since its last answer, which was at `good_s`."""

    good_s: float | None = None
    ends: list[EngineEnd] = field(default_factory=list)
    # Whether a trial request of this instance is running.
    on_trial: bool = False
    # Whether other instances have been, or are to be, told of the part.
    told: bool = False

    @property
    def last_end_s(self) -> float:
        """Return when the last end was."""
        return max((end.at_s for end in self.ends), default=float("-inf"))

    @property
    def separate_ends(self) -> int:
        """Return the number of ends that have causes of their own."""
        count = 0
        previous_s = float("-inf")
        for end in sorted(self.ends, key=lambda end: end.at_s):
            if end.at_s - previous_s < SAME_CAUSE_S:
                continue
            count += 1
            previous_s = end.at_s
        return count

    @property
    def hold_s(self) -> float | None:
        """Return how long the part is held back after its last end, or None if it is not."""
        limit = NEW_PART_LIMIT if self.good_s is None else KNOWN_PART_LIMIT
        if len(self.ends) < limit:
            return None
        beyond = self.separate_ends - limit
        return None if beyond < 0 else HOLDS_S[min(beyond, len(HOLDS_S) - 1)]

    def has_same_ends(self, other: PartRecord) -> bool:
        """Tell whether the ends do not tell this part from another one."""
        if len(self.ends) != len(other.ends):
            return False
        return all(any(end.matches(known) for known in other.ends) for end in self.ends)

    def add(self, end: EngineEnd) -> bool:
        """Add an end; return False if it is known."""
        for index, known in enumerate(self.ends):
            if not known.matches(end):
                continue
            if end.at_s < known.at_s:
                self.ends[index] = end
            return False
        if len(self.ends) >= MAX_ENDS_PER_PART:
            oldest = min(self.ends, key=lambda known: known.at_s)
            if end.at_s <= oldest.at_s:
                return False
            self.ends.remove(oldest)
        self.ends.append(end)
        return True
