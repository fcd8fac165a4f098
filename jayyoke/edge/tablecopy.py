"""An instance's copy of one table of the store."""

from __future__ import annotations

import dataclasses
import hashlib
import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from jayyoke.eras.fact import KeptFact, is_replaced, keep_fact
from jayyoke.platform import names
from jayyoke.platform.decode import MAX_NUMBER
from jayyoke.platform.table import Row

# Removals remembered for peers; a peer that lacks older ones gets the whole table.
MAX_REMOVALS = 500
# Removals that are told to a peer which keeps other rows; about 10 KB.
MAX_TOLD = 50
# Changes of the operator that are remembered.
MAX_SEEN = 500


@dataclass(slots=True)
class TableCopy:
    """Holds a table's rows as of `revision`; `confirmed_s` is when that was last the newest.

    `removed` holds the revisions of removals, so that older rows from peers do not restore them.
    All revisions are of `era`. Rows up to revision `base` may be from the older copy from which the
    store came back; `kept` holds facts of older eras that are in force in their place.
    """

    name: str = ""
    rows: dict[str, Row] = field(default_factory=dict)
    removed: dict[str, int] = field(default_factory=dict)
    revision: int = -1
    # Revision of the newest change, and the one since which `removed` holds every removal.
    changed_revision: int = -1
    removed_since: int = -1
    confirmed_s: float = float("-inf")
    era: int = 0
    base: int = -1
    kept: dict[str, KeptFact] = field(default_factory=dict)
    # The last rows of removed keys; an older copy may have them again.
    departed: dict[str, KeptFact] = field(default_factory=dict)
    # Digests of the operator's changes by key and revision, empty for a removal. What the store has
    # and this instance has not seen was written after the store's return.
    seen: dict[tuple[str, int], bytes] = field(default_factory=dict)
    # A revision that the older copy certainly has.
    copied: int = 0
    # Whether the kept rows still have to be compared with removals.
    doubted: bool = False

    def find(self, key: str) -> Row | None:
        """Return the row in force, or None."""
        fact = self.kept.get(key)
        if fact is not None:
            return None if fact.gone else fact.row
        return self.rows.get(key)

    def list_in_force(self) -> Mapping[str, Row]:
        """Return the rows in force by key."""
        if not self.kept:
            return self.rows
        found = dict(self.rows)
        for key, fact in self.kept.items():
            if fact.gone:
                found.pop(key, None)
            else:
                found[key] = fact.row
        return found

    def apply_changes(self, rows: Iterable[Row], removed: Iterable[Row], revision: int) -> set[str]:
        """Apply the changes up to a revision; return the keys that differ now."""
        changed = set()
        for row in rows:
            self._note(row, False)
            known = self.rows.get(row.key)
            newest = max(known.version if known else -1, self.removed.get(row.key, -1))
            if row.version > newest:
                self.rows[row.key] = row
                self.removed.pop(row.key, None)
                self.departed.pop(row.key, None)
                changed.add(row.key)
                self.changed_revision = max(self.changed_revision, row.version)
                fact = self.kept.get(row.key)
                if fact is not None and self._is_replaced(row.key, fact):
                    del self.kept[row.key]
        for row in removed:
            self._note(row, True)
            known = self.rows.get(row.key)
            if known is None or row.version > known.version:
                self._remove(row, known)
                changed.add(row.key)
                self.changed_revision = max(self.changed_revision, row.version)
        self._forget_removals()
        self.revision = max(self.revision, revision)
        return changed

    def apply_snapshot(self, rows: Iterable[Row], revision: int) -> set[str]:
        """Replace the table by a snapshot as of a revision; return the keys that differ now."""
        if revision < self.revision:
            return set()
        if self.revision < 0:
            self.base = revision
        found = list(rows)
        present = {row.key for row in found}
        gone = [
            Row(key, b"", revision)
            for key, row in self.rows.items()
            if key not in present and row.version <= revision
        ]
        changed = self.apply_changes(found, gone, revision)
        self.removed = {}
        self.removed_since = revision
        return changed

    def begin_era(self, rows: Iterable[Row], revision: int, era: int, now_s: float) -> set[str]:
        """Replace the table by a snapshot of a newer era; return the keys that differ now."""
        before = self.list_in_force()
        facts = self._list_facts()
        self.rows = {row.key: row for row in rows}
        self.era, self.base = era, revision
        self.revision = self.changed_revision = self.removed_since = revision
        self.removed = {}
        self.kept = {}
        self.doubted = True
        for fact in facts:
            found = self.rows.get(fact.row.key)
            if found is None or fact.row.key == names.CONFIG_KEY or self._has_seen(found):
                self._keep(fact, now_s)
        # A single row that has been seen may have been written again under the same revision.
        seen = [row.version for row in self.rows.values() if self._has_seen(row)]
        self.copied = min(seen, default=0)
        for row in self.rows.values():
            self._note(row, False)
        after = self.list_in_force()
        return {key for key in before.keys() | after.keys() if before.get(key) != after.get(key)}

    def find_doubt(self) -> int | None:
        """Return the revision since which removals matter to kept rows, or None if none do.

        A row that the store lacks may have been removed since its return, or never written.
        """
        if not self.doubted or self.name != names.OPERATOR_TABLE:
            return None
        if all(fact.gone or key in self.rows for key, fact in self.kept.items()):
            return None
        return self.copied

    def settle_doubt(self, removed: Iterable[Row]) -> set[str]:
        """Drop the kept rows that were removed since the store's return; return their keys."""
        self.doubted = False
        dropped = set()
        for row in removed:
            fact = self.kept.get(row.key)
            if fact is None or fact.gone or row.key in self.rows:
                continue
            older = row.version <= fact.row.version
            if older and self.seen.get((row.key, row.version)) == b"":
                # It is from before the store's return, and so is the kept row, which is newer.
                continue
            del self.kept[row.key]
            dropped.add(row.key)
            # For peers that keep the row, or a newer one from before the store's return.
            version = row.version if row.version > fact.row.version else MAX_NUMBER
            last = Row(row.key, fact.row.value, version)
            self.departed[row.key] = KeptFact(last, self.era - 1, gone=True)
        return dropped

    def merge_facts(
        self, facts: Iterable[KeptFact], removed: Iterable[Row], base: int, now_s: float
    ) -> set[str]:
        """Keep the facts that a peer of the same era keeps; return the keys that may differ now.

        `base` is that of the peer, or -1 if it names none; `removed` are removals that it knows.
        """
        if 0 <= base < self.base:
            # The peer read this era's table earlier, so fewer rows may be from the older copy.
            self.base = base
        changed = self._drop_replaced(removed)
        for fact in facts:
            key = fact.row.key
            if fact.era >= self.era or self.removed.get(key, -1) > self.base:
                continue
            if self._is_replaced(key, fact):
                continue
            known = self.kept.get(key)
            gone = self.departed.get(key)
            if any(other is not None and not fact.is_newer_than(other) for other in (known, gone)):
                continue
            if known is not None and fact.gone:
                # The row was removed before the store's return.
                del self.kept[key]
                changed.add(key)
            if self._keep(fact, now_s):
                # The peer may have kept it for some time.
                kept = self.kept[key]
                until_s = min(kept.until_s, fact.until_s)
                self.kept[key] = dataclasses.replace(kept, until_s=until_s)
                self.doubted = True
                changed.add(key)
        return changed

    def list_gone(self) -> list[KeptFact]:
        """Return what was removed in older eras and is in no row now."""
        found = []
        for key, fact in self.departed.items():
            if fact.era < self.era and key not in self.rows and key not in self.kept:
                found.append(fact)
        return found[-MAX_TOLD:]

    def list_removed_after_base(self) -> list[Row]:
        """Return the newest removals that were certainly made in the present era."""
        found = []
        for key, fact in self.departed.items():
            if fact.era == self.era and fact.row.version > self.base and key not in self.rows:
                found.append(Row(key, b"", fact.row.version))
        return found[-MAX_TOLD:]

    def pop_expired(self, now_s: float) -> set[str]:
        """Drop the facts whose time has passed; return their keys."""
        if not self.kept:
            return set()
        expired = {key for key, fact in self.kept.items() if fact.until_s <= now_s}
        for key in expired:
            fact = self.kept.pop(key)
            if key not in self.rows:
                self.departed[key] = dataclasses.replace(fact, gone=True, until_s=math.inf)
        return expired

    def list_changes(self, revision: int) -> tuple[list[Row], list[Row]] | None:
        """Return the rows and removals after a revision, or None if older removals are missing."""
        if revision < self.removed_since:
            return None
        rows = [row for row in self.rows.values() if row.version > revision]
        removed = [Row(key, b"", at) for key, at in self.removed.items() if at > revision]
        return rows, removed

    def _list_facts(self) -> list[KeptFact]:
        """Return what is known of each key, with the era in which it was written."""
        facts = {key: KeptFact(row, self.era) for key, row in self.rows.items()}
        return list((self.departed | facts | self.kept).values())

    def _note(self, row: Row, removed: bool) -> None:
        if self.name != names.OPERATOR_TABLE:
            return
        self.seen[(row.key, row.version)] = b"" if removed else _digest(row)
        while len(self.seen) > MAX_SEEN:
            del self.seen[next(iter(self.seen))]

    def _has_seen(self, row: Row) -> bool:
        """Tell whether a row may be from before the store's return."""
        if self.name != names.OPERATOR_TABLE:
            return True
        return self.seen.get((row.key, row.version)) == _digest(row)

    def _is_replaced(self, key: str, fact: KeptFact) -> bool:
        """Tell whether a fact's row was written again in the present era."""
        row = self.rows.get(key)
        if row is None or row.version <= self.base:
            return False
        return is_replaced(self.name, fact, row)

    def _drop_replaced(self, removed: Iterable[Row]) -> set[str]:
        """Drop the facts whose rows were written or removed in the present era."""
        if not self.kept:
            return set()
        dropped = {key for key, fact in self.kept.items() if self._is_replaced(key, fact)}
        for row in removed:
            if row.key in self.kept and row.key not in self.rows and row.version > self.base:
                dropped.add(row.key)
                value = self.kept[row.key].row.value
                last = Row(row.key, value, row.version)
                self.departed[row.key] = KeptFact(last, self.era, gone=True)
        for key in dropped:
            del self.kept[key]
        return dropped

    def _keep(self, fact: KeptFact, now_s: float) -> bool:
        key = fact.row.key
        kept = keep_fact(self.name, fact, self.rows.get(key), now_s)
        if kept is None:
            return False
        self.kept[key] = kept
        return True

    def _remove(self, row: Row, known: Row | None) -> None:
        self.rows.pop(row.key, None)
        self.removed[row.key] = row.version
        fact = self.kept.get(row.key)
        if fact is not None and fact.gone:
            self.departed[row.key] = fact
        elif known is not None or fact is not None:
            value = known.value if known is not None else fact.row.value
            last = Row(row.key, value, row.version)
            self.departed[row.key] = KeptFact(last, self.era, gone=True)
        if row.version > self.base:
            self.kept.pop(row.key, None)

    def _forget_removals(self) -> None:
        while len(self.removed) > MAX_REMOVALS:
            oldest = min(self.removed, key=lambda key: self.removed[key])
            self.removed_since = max(self.removed_since, self.removed.pop(oldest))
        while len(self.departed) > MAX_REMOVALS:
            del self.departed[next(iter(self.departed))]


def _digest(row: Row) -> bytes:
    return hashlib.blake2b(row.value, digest_size=16).digest()
