"""Keeps parts of prompts from engines that end when they begin to answer on them.

An engine that ends cuts all its requests, and one of them may be the cause. Those whose answer had
not begun, or only just, are suspects. A part of their prompts that is in the suspects of several
ends, with no complete answer on it since, is quarantined: requests with it are refused until a hold
has passed. Then a few instances may send one as a trial; a complete answer clears the part, another
end makes the next hold longer.

Sound parts are in many ends too, since most requests have them. Three things clear them: a complete
answer after the end, a higher limit for parts that have had complete answers before, and that ends
at the same moment, as in a loss of power, count once.

Parts are named by keys, see `build_part_keys`. The caller's clock counts seconds.
"""

from __future__ import annotations

import hashlib
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field

from jayyoke.ops.rendezvous import rank

# Distinct ends after which a part is quarantined: one that has never had a complete answer, and one
# that has had some. A request is sent once more after an end, so two ends are one request's work.
NEW_PART_LIMIT = 2
KNOWN_PART_LIMIT = 4
# Ends closer together have one cause, such as the loss of a rack. A repeated request needs longer
# to reach its first token at the next engine.
SAME_CAUSE_S = 0.1
# How long a part is held back, by the number of ends at or above its limit.
HOLDS_S = (5.0, 60.0, 600.0, 3600.0)
# A suspect's answer has been written for less than this time.
SUSPECT_WRITING_S = 0.25
# A part is forgotten this long after its last end.
KEPT_S = 86_400.0
# An end that did not lead to a quarantine is forgotten earlier.
UNPROVEN_KEPT_S = 600.0
MAX_SUSPECTED = 1024
MAX_ENDS_PER_PART = 16
MAX_GOOD = 8192
MAX_PARTS_PER_REQUEST = 64
MAX_KEY_CHARACTERS = 96


def build_part_keys(service: str, parts: Sequence[str]) -> tuple[str, ...]:
    """Return the keys of the parts of a prompt that other requests to a service may have too.

    The last part belongs to the request alone. Ids come from callers, so long ones are hashed.
    """
    keys = []
    for part in parts[:-1][-MAX_PARTS_PER_REQUEST:]:
        key = f"{service}/{part}"
        if len(key) > MAX_KEY_CHARACTERS:
            key = "sha256/" + hashlib.sha256(key.encode()).hexdigest()
        keys.append(key)
    return tuple(keys)


def is_suspect(writing_s: float | None) -> bool:
    """Tell whether a request may have ended its engine, given for how long it was answered."""
    return writing_s is None or writing_s < SUSPECT_WRITING_S


@dataclass(frozen=True, slots=True)
class PartEvidence:
    """Holds the ends of engines under a part, and when it last had a complete answer, if known.

    `ends` maps the incarnations of engines to the times of their ends.
    """

    key: str
    ends: dict[str, float]
    good_s: float | None


@dataclass(slots=True)
class _Record:
    ends: dict[str, float] = field(default_factory=dict)
    good_s: float | None = None
    # Whether a trial request of this instance is running.
    on_trial: bool = False

    @property
    def last_end_s(self) -> float:
        return max(self.ends.values(), default=float("-inf"))

    @property
    def limit(self) -> int:
        return NEW_PART_LIMIT if self.good_s is None else KNOWN_PART_LIMIT

    @property
    def strikes(self) -> int:
        """Return how many ends with causes of their own there were."""
        count = 0
        previous_s = float("-inf")
        for at_s in sorted(self.ends.values()):
            if at_s - previous_s < SAME_CAUSE_S:
                continue
            count += 1
            previous_s = at_s
        return count

    def find_hold_s(self) -> float | None:
        """Return how long the part is held back after its last end, or None if it is not."""
        beyond = self.strikes - self.limit
        return None if beyond < 0 else HOLDS_S[min(beyond, len(HOLDS_S) - 1)]


class Quarantine:
    """Holds the evidence about parts, this instance's and that of others."""

    def __init__(
        self,
        now_s: Callable[[], float],
        instance: str = "",
        list_instances: Callable[[], Iterable[str]] = tuple,
    ):
        self._now_s = now_s
        self._instance = instance
        self._list_instances = list_instances
        self._records: dict[str, _Record] = {}
        self._good_s: dict[str, float] = {}
        self._news: dict[str, None] = {}

    @property
    def suspected(self) -> int:
        """Return how many parts were in an end without a complete answer since."""
        return len(self._records)

    @property
    def quarantined(self) -> int:
        """Return how many parts are held back or on trial."""
        return len(self.list_quarantined())

    def record_end(self, keys: Iterable[str], engine: str) -> list[str]:
        """Record that an engine ended under a suspect; return the parts quarantined by it."""
        now_s = self._now_s()
        return [key for key in keys if self._add_end(key, engine, now_s)]

    def record_good(self, keys: Iterable[str]) -> list[str]:
        """Record a complete answer; return the parts that were suspected until now."""
        now_s = self._now_s()
        cleared = []
        for key in keys:
            self._remember_good(key, now_s)
            record = self._records.pop(key, None)
            if record is None:
                continue
            self._news[key] = None
            cleared.append(key)
        return cleared

    def find_wait_s(self, keys: Iterable[str]) -> float | None:
        """Return after how many seconds a request with these parts may be sent; None for now."""
        if not self._records:
            return None
        waits_s = [self._find_part_wait_s(key) for key in keys if key in self._records]
        found_s = [wait_s for wait_s in waits_s if wait_s is not None]
        return max(found_s, default=None)

    def begin(self, keys: Iterable[str]) -> None:
        """Record that a request with these parts is sent, so that trials run one at a time."""
        self._mark_trial(keys, True)

    def end(self, keys: Iterable[str]) -> None:
        """Record that a request with these parts has ended, whatever its outcome."""
        self._mark_trial(keys, False)

    def list_quarantined(self) -> list[str]:
        """Return the parts that are held back or on trial."""
        return [key for key, record in self._records.items() if record.find_hold_s() is not None]

    def merge(self, evidence: Iterable[PartEvidence]) -> list[str]:
        """Merge what another instance knows; return the parts that are quarantined by it."""
        quarantined = []
        for found in evidence:
            if found.good_s is not None:
                self._merge_good(found.key, found.good_s)
            for engine, at_s in found.ends.items():
                if self._add_end(found.key, engine, at_s):
                    quarantined.append(found.key)
        return quarantined

    def take_news(self) -> list[PartEvidence]:
        """Return what has changed since the last call, for other instances."""
        news, self._news = self._news, {}
        return [self._describe(key) for key in news]

    def list_evidence(self, limit: int) -> list[PartEvidence]:
        """Return what is known of the parts with the most recent ends."""
        recent = sorted(self._records, key=lambda key: -self._records[key].last_end_s)
        return [self._describe(key) for key in recent[:limit]]

    def answer(self, evidence: Iterable[PartEvidence], limit: int) -> list[PartEvidence]:
        """Return what another instance does not know, given what it has told."""
        told = {found.key: found for found in evidence}
        answer = []
        for key, found in told.items():
            known = self._describe(key)
            newer = known.good_s is not None and known.good_s > (found.good_s or float("-inf"))
            if newer or known.ends.keys() - found.ends.keys():
                answer.append(known)
        for known in self.list_evidence(limit):
            if known.key not in told:
                answer.append(known)
        return answer[:limit]

    def forget(self, key: str) -> bool:
        """Clear a part by an operator's order; return True if it was suspected."""
        return bool(self.record_good([key]))

    def forget_old(self) -> None:
        """Forget the parts whose last end was long ago."""
        now_s = self._now_s()
        for key, record in list(self._records.items()):
            kept_s = UNPROVEN_KEPT_S if record.find_hold_s() is None else KEPT_S
            if now_s - record.last_end_s > kept_s:
                del self._records[key]

    def _add_end(self, key: str, engine: str, at_s: float) -> bool:
        """Add an end; return True if the part is quarantined by it."""
        good_s = self._good_s.get(key)
        if good_s is not None and good_s >= at_s:
            return False
        record = self._records.get(key)
        if record is None:
            record = self._records[key] = _Record(good_s=good_s)
        known_s = record.ends.get(engine)
        if known_s is not None:
            # Instances notice an end at slightly different times.
            record.ends[engine] = min(known_s, at_s)
            return False
        if len(record.ends) >= MAX_ENDS_PER_PART:
            return False
        held = record.find_hold_s() is not None
        record.ends[engine] = at_s
        self._news[key] = None
        self._forget_excess()
        return not held and record.find_hold_s() is not None

    def _merge_good(self, key: str, good_s: float) -> None:
        if good_s <= self._good_s.get(key, float("-inf")):
            return
        self._remember_good(key, good_s)
        record = self._records.get(key)
        if record is None:
            return
        self._news[key] = None
        record.good_s = good_s
        record.ends = {name: at_s for name, at_s in record.ends.items() if at_s > good_s}
        if not record.ends:
            del self._records[key]

    def _remember_good(self, key: str, at_s: float) -> None:
        self._good_s.pop(key, None)
        self._good_s[key] = at_s
        if len(self._good_s) > MAX_GOOD:
            del self._good_s[next(iter(self._good_s))]

    def _find_part_wait_s(self, key: str) -> float | None:
        record = self._records[key]
        hold_s = record.find_hold_s()
        if hold_s is None:
            return None
        since_s = self._now_s() - record.last_end_s - hold_s
        if since_s < 0.0:
            return -since_s
        if record.on_trial or not self._may_try(key, since_s / hold_s):
            return hold_s
        return None

    def _may_try(self, key: str, share: float) -> bool:
        """Tell whether this instance may try a part; their number grows with time."""
        ranked = rank(key, {self._instance, *self._list_instances()})
        return ranked.index(self._instance) < 1 + int(share * len(ranked))

    def _mark_trial(self, keys: Iterable[str], running: bool) -> None:
        if not self._records:
            return
        for key in keys:
            record = self._records.get(key)
            if record is not None:
                record.on_trial = running

    def _describe(self, key: str) -> PartEvidence:
        record = self._records.get(key)
        ends = dict(record.ends) if record is not None else {}
        return PartEvidence(key, ends, self._good_s.get(key))

    def _forget_excess(self) -> None:
        while len(self._records) > MAX_SUSPECTED:
            # Parts with few ends are the easiest to learn again.
            weakest = min(
                self._records,
                key=lambda key: (self._records[key].strikes, self._records[key].last_end_s),
            )
            del self._records[weakest]
