"""Decides which instance holds the duties, by one row that is written under conditions.

Designed for 28 candidates, two in each of 14 domains, and a lease of 3 s. No machine's time of day
decides: a candidate measures on its own steady clock for how long the row is unchanged, and a
holder counts its lease from before it sent the last renewal that the store confirmed.

A store that comes back from an older copy names a new era. Each era has a row of its own: it is not
in the older copy, and a write of an older era that takes effect late, on a condition that holds by
chance, changes nothing. A new era's row is taken after it was missing for a whole lease, in which
every holder of the older era lapses.
"""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, replace

from jayyoke.ops.rendezvous import rank
from jayyoke.utils.jsontext import parse_unique_json

# Steady clocks differ by less than 1 in 1,000, and bytes sent just before a call was aborted take
# part of a second. Holders stop earlier and candidates wait longer by this part of the lease.
MARGIN = 0.05
RENEWALS_PER_LEASE = 3.0
# The first candidate looks once in this time, each further one half as often, up to the number of
# candidates in seconds: all together at most 2 calls a second.
FIRST_POLL_S = 2.0
MIN_LONGEST_POLL_S = 8.0
COUNTER_RANGE = 1 << 32
MAX_ROW_BYTES = 4096
MAX_FORMER = 2
_RANK_KEY = "duties"
_KEY = "lease"


@dataclass(frozen=True, slots=True)
class LeaseRow:
    """Holds the lease's row; an empty holder means that it was given back.

    `incarnation` names the holder's process. `era` is that of the store when the row was written.
    `former` are the holders before. `reported` is the newest usage window of which all reports up
    to it are settled, and `barred` the newest one whose report an older era may hold.
    """

    holder: str
    incarnation: str
    counter: int
    era: int
    sequence: int = 0
    former: tuple[str, ...] = ()
    reported: int = -1
    barred: int = -1


def encode_lease(row: LeaseRow) -> bytes:
    """Return the value of the lease's row."""
    return json.dumps(
        {
            "holder": row.holder,
            "incarnation": row.incarnation,
            "counter": row.counter,
            "era": row.era,
            "sequence": row.sequence,
            "former": list(row.former),
            "reported": row.reported,
            "barred": row.barred,
        }
    ).encode()


def decode_lease(value: bytes) -> LeaseRow:
    """Return the lease of a row; raise ValueError."""
    body = parse_unique_json(value, MAX_ROW_BYTES)
    try:
        numbers = [body[name] for name in ("counter", "era", "sequence", "reported", "barred")]
        texts = [body["holder"], body["incarnation"], *body["former"]]
    except (KeyError, TypeError) as error:
        raise ValueError(f"no lease: {error!r}") from error
    if not all(type(number) is int for number in numbers):
        raise ValueError("a number of the lease is not whole")
    if not all(isinstance(text, str) for text in texts):
        raise ValueError("a name in the lease is no text")
    counter, era, sequence, reported, barred = numbers
    if not 0 <= counter < COUNTER_RANGE or era < 0:
        raise ValueError("the counter or the era is out of range")
    holder, incarnation, *former = texts
    return LeaseRow(holder, incarnation, counter, era, sequence, tuple(former), reported, barred)


def build_era_key(key: str, era: int) -> str:
    """Return the key that a row of the duties has in an era; 0 stands for a store without eras."""
    return f"{key}@{era}" if era else key


def find_lease_key(era: int) -> str:
    """Return the key of the lease's row in an era."""
    return build_era_key(_KEY, era)


def build_token(era: int, counter: int) -> int:
    """Return the fencing token of a holder; it rises with each change and each era."""
    return era * COUNTER_RANGE + counter


def find_poll_s(name: str, candidates: Iterable[str], holder: str) -> float:
    """Return how often a candidate looks at the lease while another instance holds it."""
    ranked = [found for found in rank(_RANK_KEY, candidates) if found != holder]
    longest_s = max(MIN_LONGEST_POLL_S, float(len(ranked)))
    if name not in ranked:
        return longest_s
    return min(longest_s, FIRST_POLL_S * 2.0 ** min(ranked.index(name), 10))


@dataclass(frozen=True, slots=True)
class _Seen:
    """Holds the row as it was read last, and since when it has been the same in this era."""

    era: int
    revision: int
    lease: LeaseRow | None
    readable: bool
    since_s: float


@dataclass(frozen=True, slots=True)
class _Tenure:
    """Holds the own lease; without a confirmed renewal `until_s` has passed.

    `found_s` is when the row was found to be the own one.
    """

    lease: LeaseRow
    revision: int
    until_s: float
    found_s: float


class LeaseKeeper:
    """Follows the lease's row and the own tenure; all times are of the own steady clock."""

    def __init__(self, name: str, incarnation: str, lease_s: float, now_s: float):
        self._name = name
        self._incarnation = incarnation
        self._lease_s = lease_s
        self._seen: _Seen | None = None
        self._era_since_s = now_s
        self._tenure: _Tenure | None = None
        # The era and counter of a tenure whose renewals were not confirmed for a whole lease.
        self._given_up = (0, 0)
        # This process, or an earlier one of its name, may have acted until then.
        self._acted_until_s = now_s

    @property
    def holds(self) -> bool:
        """Tell whether the row names this process, although its lease may have run out."""
        return self._tenure is not None

    @property
    def lease(self) -> LeaseRow | None:
        """Return the own row, or None while another instance holds the lease."""
        return None if self._tenure is None else self._tenure.lease

    @property
    def holder(self) -> str:
        """Return the holder by the row seen last, or an empty text."""
        seen = self._seen
        return "" if seen is None or seen.lease is None else seen.lease.holder

    @property
    def renew_s(self) -> float:
        """Return the time between two renewals in seconds."""
        return self._lease_s / RENEWALS_PER_LEASE

    @property
    def wait_s(self) -> float:
        """Return for how long a candidate sees the same row before it takes the lease."""
        return self._lease_s * (1.0 + MARGIN)

    @property
    def era_since_s(self) -> float:
        """Return when this process first read the row in the present era."""
        return self._era_since_s

    def may_act(self, now_s: float, era: int, needed_s: float = 0.0) -> bool:
        """Tell whether the lease lasts for another `needed_s` seconds, in the era given."""
        tenure = self._tenure
        if tenure is None or tenure.lease.era != era:
            return False
        return now_s + needed_s < tenure.until_s

    def find_token(self, now_s: float, era: int, needed_s: float = 0.0) -> int | None:
        """Return the token of a call that may last `needed_s` seconds, or None."""
        if self._tenure is None or not self.may_act(now_s, era, needed_s):
            return None
        return build_token(era, self._tenure.lease.counter)

    def observe(self, revision: int, value: bytes | None, era: int, now_s: float) -> bool:
        """Record an era's row as it was read; revision 0 and None mean that there is none.

        Return True if it is the same as when it was read before.
        """
        lease, readable = None, True
        if value is not None:
            try:
                lease = decode_lease(value)
            except ValueError:
                pass
            readable = lease is not None and lease.era == era
        seen = self._seen
        if seen is None or seen.era != era:
            self._era_since_s = now_s
        known = None if seen is None else (seen.era, seen.revision, seen.lease, seen.readable)
        changed = known != (era, revision, lease, readable)
        if changed:
            self._seen = _Seen(era, revision, lease, readable, now_s)
        self._match_tenure(revision, lease, era, now_s)
        return not changed

    def _match_tenure(self, revision: int, lease: LeaseRow | None, era: int, now_s: float) -> None:
        own = (
            lease is not None
            and lease.holder == self._name
            and lease.incarnation == self._incarnation
            and lease.era == era
            and (era, lease.counter) != self._given_up
        )
        if lease is None or not own:
            self._tenure = None
            return
        tenure = self._tenure
        if tenure is None or tenure.lease.counter != lease.counter:
            # A write whose answer was lost has taken effect; the next renewal starts the lease.
            self._tenure = _Tenure(lease, revision, float("-inf"), now_s)
        elif tenure.revision != revision:
            self._tenure = replace(tenure, lease=lease, revision=revision)

    def give_up_late(self, now_s: float) -> None:
        """End the tenure if no renewal was confirmed for a whole lease after it ran out.

        Renewals whose answers are lost would keep others from the lease and give this process none.
        """
        tenure = self._tenure
        if tenure is None or now_s < max(tenure.until_s, tenure.found_s) + self._lease_s:
            return
        self._given_up = (tenure.lease.era, tenure.lease.counter)
        self._tenure = None

    def find_take_s(self, era: int) -> float | None:
        """Return when the lease may be taken if its row stays as it is, or None if never."""
        seen = self._seen
        if seen is None or seen.era != era or not seen.readable or self._tenure is not None:
            return None
        if self._is_free(seen):
            return self._acted_until_s + self.wait_s
        return seen.since_s + self.wait_s

    def _is_free(self, seen: _Seen) -> bool:
        """Tell whether the row was given back in this era by a holder other than this instance."""
        lease = seen.lease
        return lease is not None and not lease.holder and self._name not in lease.former

    def build_take(self, barred: int) -> tuple[LeaseRow, int]:
        """Return the row that takes the lease, and the revision that is its condition.

        `barred` is the newest usage window that had ended when this process met the present era;
        the first holder of an era enters it for those after it.
        """
        seen = self._seen
        assert seen is not None
        before = seen.lease
        if before is None:
            lease = LeaseRow(self._name, self._incarnation, 1, seen.era, barred=barred)
            return lease, seen.revision
        former = (before.holder,) if before.holder else before.former
        lease = LeaseRow(
            self._name,
            self._incarnation,
            before.counter + 1,
            seen.era,
            former=former[:MAX_FORMER],
            reported=before.reported,
            barred=before.barred,
        )
        return lease, seen.revision

    def build_renewal(self, reported: int) -> tuple[LeaseRow, int]:
        """Return the row that renews the own lease, and the revision that is its condition."""
        tenure = self._tenure
        assert tenure is not None
        lease = replace(
            tenure.lease,
            sequence=tenure.lease.sequence + 1,
            reported=max(reported, tenure.lease.reported),
        )
        return lease, tenure.revision

    def build_release(self, reported: int) -> tuple[LeaseRow, int]:
        """Return the row that gives the lease back, and end the own tenure."""
        lease, revision = self.build_renewal(reported)
        self._tenure = None
        former = (self._name, *lease.former)[:MAX_FORMER]
        return replace(lease, holder="", incarnation="", former=former), revision

    def confirm(self, lease: LeaseRow, revision: int, sent_s: float, era: int) -> None:
        """Record that the store confirmed the own row, sent at `sent_s`, in an era."""
        if lease.era != era:
            self._tenure = None
            return
        until_s = sent_s + self._lease_s * (1.0 - MARGIN)
        self._acted_until_s = max(self._acted_until_s, until_s)
        self._tenure = _Tenure(lease, revision, until_s, sent_s)
        self._seen = _Seen(era, revision, lease, True, sent_s)

    def suspend(self) -> None:
        """Stop acting until a renewal is confirmed, since the row is not as it was written."""
        tenure = self._tenure
        if tenure is not None:
            self._tenure = replace(tenure, until_s=float("-inf"))
