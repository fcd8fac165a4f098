"""Era of the store: how often it has come back from an older copy of its contents.

Revisions are unique only within an era, so whoever keeps a revision keeps its era as well.
"""

from __future__ import annotations

from reactivex import Observable
from reactivex.subject import Subject

from jayyoke.edge.log import log_event


class StoreEra:
    """Holds the newest era that the store or another instance has named."""

    __slots__ = ("_changes", "_named", "_risen", "_value")

    def __init__(self) -> None:
        self._value = 0
        # Eras may begin at 0, which is also the value of an unknown one.
        self._named = False
        self._risen = False
        self._changes: Subject[int] = Subject()

    @property
    def value(self) -> int:
        """Return the newest known era, or 0 if none has been named."""
        return self._value

    @property
    def risen(self) -> bool:
        """Tell whether the store has come back from an older copy since the start."""
        return self._risen

    @property
    def changes(self) -> Observable[int]:
        """Return the stream of newer eras, the first one included."""
        return self._changes

    def update(self, era: int, source: str = "store") -> None:
        """Record an era that an answer of the store, or another instance, has named."""
        if era <= self._value:
            self._named = True
            return
        known, self._value = self._value, era
        self._risen = self._named
        self._named = True
        log_event("store-era", era=era, known=known, source=source)
        self._changes.on_next(era)
