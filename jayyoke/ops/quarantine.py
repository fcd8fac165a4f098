"""Keeps parts of prompts from engines that end when they begin to answer on them.

An engine that ends cuts all its requests, and one of them may be the cause. Those whose answer had
not begun, or only just, are suspects. A part of their prompts that is in the suspects of several
ends, with no complete answer on it since, is quarantined: requests with it are refused until a hold
has passed. Then a few instances may send one as a trial; an answer clears the part, another end
makes the next hold longer.

Sound parts are in many ends too, since most requests have them. Three things keep them free: an
answer after the end, a higher limit for parts that have had answers before, and that ends at the
same moment, as in a loss of power, count once.

Parts that were in the same ends cannot be told apart by them. A request with at most half of such a
group is sent at once, one at a time: its answer clears its parts, and an end tells them from the
others (group testing, Dorfman, 1943).

A request that callers send again and again may end engines itself, while all its parts are sound.
So what identifies it is judged like a part, but not together with them.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable, Collection, Iterable, Sequence

from reactivex import Observable
from reactivex.subject import Subject

from jayyoke.ops.partkeys import is_request_key
from jayyoke.ops.partrecord import EngineEnd, PartEvidence, PartRecord
from jayyoke.ops.rendezvous import rank

# How long a request waits for the trial of another one that tells parts apart.
TRIAL_WAIT_S = 1.0
# The answer to a suspect has been written for less than this time.
SUSPECT_WRITING_S = 0.25
# An answer that has been written for this time shows that its parts are sound.
GOOD_WRITING_S = 0.5
# A part is forgotten this long after its last end, and earlier if that led to no quarantine.
KEPT_S = 86_400.0
UNPROVEN_KEPT_S = 600.0
MAX_SUSPECTED = 8192
MAX_GOOD = 32768
# Parts with earlier answers of which an end is told to others; an answer mostly clears them soon.
MAX_KNOWN_TOLD = 64


def is_suspect(writing_s: float | None) -> bool:
    """Tell whether a request may have ended its engine, given how long it was being answered."""
    return writing_s is None or writing_s < SUSPECT_WRITING_S


class Quarantine:
    """Holds the evidence about parts from this and other instances, in seconds of the given clock.

    `list_instances` names the live instances, of which each in turn may send trials.
    """

    def __init__(
        self,
        now_s: Callable[[], float],
        instance: str = "",
        list_instances: Callable[[], Iterable[str]] = tuple,
    ):
        self._now_s = now_s
        self._instance = instance
        self._list_instances = list_instances
        self._records: dict[str, PartRecord] = {}
        self._good_s: dict[str, float] = {}
        self._changes: Subject[str] = Subject()
        self._told_from = 0

    @property
    def changes(self) -> Observable[str]:
        """Return the stream of keys of parts of which something new is known."""
        return self._changes

    @property
    def suspected(self) -> int:
        """Return how many parts were in an end and have had no answer since."""
        return len(self._records)

    @property
    def last_end_s(self) -> float:
        """Return when an engine last ended under a part that has had no answer since."""
        return max((found.last_end_s for found in self._records.values()), default=float("-inf"))

    def list_quarantined(self) -> list[str]:
        """Return the parts that are held back or on trial."""
        return [key for key, record in self._records.items() if record.hold_s is not None]

    def is_quarantined(self, key: str) -> bool:
        """Tell whether a part is held back or on trial."""
        record = self._records.get(key)
        return record is not None and record.hold_s is not None

    def find_wait_s(self, keys: Iterable[str]) -> float | None:
        """Return after how many seconds a request with these parts may be sent, or None for now."""
        if not self._records:
            return None
        held = {}
        for key in keys:
            record = self._records.get(key)
            if record is not None and record.hold_s is not None:
                held[key] = record
        held_parts = [record for key, record in held.items() if not is_request_key(key)]
        telling = self._list_telling(held_parts)
        found_s = []
        for key, record in held.items():
            wait_s = self._find_part_wait_s(key, record, telling)
            if wait_s is not None:
                found_s.append(wait_s)
        return max(found_s, default=None)

    def begin(self, keys: Iterable[str]) -> None:
        """Record that a request with these parts is sent, so that trials go one at a time."""
        self._mark_trial(keys, True)

    def finish(self, keys: Iterable[str]) -> None:
        """Record that a request with these parts has ended, whatever its outcome."""
        self._mark_trial(keys, False)

    def record_end(self, keys: Iterable[str], end: EngineEnd) -> list[str]:
        """Record that an engine ended under a suspect; return the parts quarantined by that."""
        known = [key for key in keys if key in self._good_s]
        untold = set(known[:-MAX_KNOWN_TOLD])
        # Another engine mostly answers the request; if not, `tell_requests` follows.
        untold.update(key for key in keys if is_request_key(key))
        return [key for key in keys if self._add_end(key, end, key not in untold)]

    def tell_requests(self, keys: Iterable[str]) -> None:
        """Tell others of the ends under a request whose call is over, unless it was answered."""
        for key in keys:
            record = self._records.get(key)
            if record is None or record.told or not is_request_key(key):
                continue
            record.told = True
            self._changes.on_next(key)

    def record_good(self, keys: Iterable[str]) -> list[str]:
        """Record an answer on these parts; return those that were quarantined until now."""
        now_s = self._now_s()
        cleared = []
        for key in keys:
            record = self._records.pop(key, None)
            if record is not None or not is_request_key(key):
                # Most requests are never seen again.
                self._remember_good(key, now_s)
            if record is None:
                continue
            if record.told:
                self._changes.on_next(key)
            if record.hold_s is not None:
                cleared.append(key)
        return cleared

    def merge(self, evidence: Iterable[PartEvidence]) -> list[str]:
        """Merge what another instance knows; return the parts quarantined by that."""
        quarantined = []
        for found in evidence:
            if found.good_s is not None:
                self._merge_good(found.key, found.good_s)
            for end in found.ends:
                if self._add_end(found.key, end, True) and found.key not in quarantined:
                    quarantined.append(found.key)
        return quarantined

    def describe(self, key: str) -> PartEvidence:
        """Return what is known of a part."""
        record = self._records.get(key)
        return PartEvidence(key, tuple(record.ends) if record else (), self._good_s.get(key))

    def list_evidence(self, limit: int) -> list[PartEvidence]:
        """Return what is known of suspected parts: the quarantined ones and the newest others.

        If there are too many quarantined ones, each call returns the next of them in turn.
        """
        records = self._records
        held = [key for key in self.list_quarantined() if records[key].told]
        if len(held) > limit:
            first = self._told_from % len(held)
            self._told_from = first + limit
            held = (held[first:] + held[:first])[:limit]
        chosen = set(held)
        others = (key for key, record in records.items() if record.told and key not in chosen)
        newest = heapq.nlargest(limit - len(held), others, key=lambda key: records[key].last_end_s)
        return [self.describe(key) for key in held + newest]

    def list_unknown_to(
        self, told: Iterable[PartEvidence], limit: int, added: int
    ) -> list[PartEvidence]:
        """Return what another instance does not know, given what it has told.

        Of the parts that it has not told, at most `added` are looked at.
        """
        by_key = {found.key: found for found in told}
        unknown = []
        for found in by_key.values():
            known = self.describe(found.key)
            if _adds_to(known, found):
                unknown.append(known)
        for known in self.list_evidence(added):
            if known.key not in by_key:
                unknown.append(known)
        return unknown[:limit]

    def forget_old(self) -> None:
        """Forget the parts whose last end was long ago."""
        now_s = self._now_s()
        for key, record in list(self._records.items()):
            kept_s = UNPROVEN_KEPT_S if record.hold_s is None else KEPT_S
            if now_s - record.last_end_s > kept_s:
                del self._records[key]

    def _add_end(self, key: str, end: EngineEnd, tell: bool) -> bool:
        """Add an end; return True if the part is quarantined by it.

        Others are told of it if `tell` is set, if they know of the part, or if it is quarantined.
        """
        good_s = self._good_s.get(key)
        if good_s is not None and good_s >= end.at_s:
            return False
        record = self._records.get(key)
        if record is None:
            record = self._records[key] = PartRecord(good_s)
        held = record.hold_s is not None
        if not record.add(end):
            return False
        self._forget_excess()
        quarantined = record.hold_s is not None
        record.told = record.told or tell or quarantined
        if record.told:
            self._changes.on_next(key)
        return quarantined and not held

    def _merge_good(self, key: str, good_s: float) -> None:
        if good_s <= self._good_s.get(key, float("-inf")):
            return
        self._remember_good(key, good_s)
        record = self._records.get(key)
        if record is None:
            return
        record.good_s = good_s
        record.ends = [end for end in record.ends if end.at_s > good_s]
        if not record.ends:
            del self._records[key]
        if record.told:
            self._changes.on_next(key)

    def _remember_good(self, key: str, at_s: float) -> None:
        self._good_s.pop(key, None)
        self._good_s[key] = at_s
        if len(self._good_s) > MAX_GOOD:
            del self._good_s[next(iter(self._good_s))]

    def _find_part_wait_s(
        self, key: str, record: PartRecord, telling: Sequence[PartRecord]
    ) -> float | None:
        """Return how long a request waits for a held part, given the groups that it tells apart."""
        hold_s = record.hold_s or 0.0
        if not is_request_key(key) and any(found.has_same_ends(record) for found in telling):
            return TRIAL_WAIT_S if record.on_trial else None
        beyond_s = self._now_s() - record.last_end_s - hold_s
        if beyond_s < 0.0:
            return -beyond_s
        if record.on_trial or not self._may_try(key, beyond_s / hold_s):
            return hold_s
        return None

    def _list_telling(self, held: Collection[PartRecord]) -> list[PartRecord]:
        """Return a record of each group with the same ends of which a request has at most half."""
        groups: list[PartRecord] = []
        telling = []
        for record in held:
            if any(found.has_same_ends(record) for found in groups):
                continue
            groups.append(record)
            size = 0
            for key, other in self._records.items():
                if not is_request_key(key) and other.has_same_ends(record):
                    size += other.hold_s is not None
            present = sum(other.has_same_ends(record) for other in held)
            if 2 * present <= size:
                telling.append(record)
        return telling

    def _may_try(self, key: str, share: float) -> bool:
        """Tell whether this instance may try a part; their share of all instances grows."""
        ranked = rank(key, {self._instance, *self._list_instances()})
        return ranked.index(self._instance) < 1 + int(share * len(ranked))

    def _mark_trial(self, keys: Iterable[str], running: bool) -> None:
        if not self._records:
            return
        for key in keys:
            record = self._records.get(key)
            if record is not None:
                record.on_trial = running

    def _forget_excess(self) -> None:
        """Forget the parts with the fewest ends, which are the easiest to learn again."""
        records = self._records
        if len(records) <= MAX_SUSPECTED:
            return
        # Some more at once, since each search looks at all of them.
        weakest = heapq.nsmallest(
            MAX_SUSPECTED // 16,
            records,
            key=lambda key: (len(records[key].ends), records[key].last_end_s),
        )
        for key in weakest:
            del records[key]


def _adds_to(known: PartEvidence, told: PartEvidence) -> bool:
    """Tell whether this instance knows an answer or an end that another has not told."""
    if known.good_s is not None and (told.good_s is None or known.good_s > told.good_s):
        return any(end.at_s < known.good_s for end in told.ends) or told.good_s is None
    return any(not any(end.matches(other) for other in told.ends) for end in known.ends)
