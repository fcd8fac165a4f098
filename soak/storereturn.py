"""Lets the store come back from an older copy, and its writers write the lost rows again."""

from __future__ import annotations

import asyncio
import time

from soak import plan
from soak.record import KeyChange, Leaving, Record
from standin.rowstore import RowStoreServer


class StoreReturns:
    """Applies returns of a store, one at a time."""

    def __init__(self, store: RowStoreServer, record: Record):
        self._store = store
        self._record = record
        self._lock = asyncio.Lock()

    async def apply(self, fault: plan.StoreReturns) -> None:
        """Return the store to its contents of some time ago, and write the lost rows later."""
        async with self._lock:
            copy = self._store.save_copy()
            await asyncio.sleep(fault.older_by_s)
            lost = self._store.return_to(copy)
            await asyncio.sleep(fault.rewritten_after_s)
            self._store.write_again(lost)
            # What no instance had seen before the return is in force only from now on.
            now_s = time.monotonic()
            keys = {(change.table, change.key) for change in lost}
            if ("op", "config") in keys and self._record.key_changes:
                present = self._record.key_changes[-1].present
                self._record.key_changes.append(KeyChange(now_s, present))
            for leaving in list(self._record.leavings):
                if ("servers", leaving.upstream) in keys:
                    self._record.leavings.append(Leaving(leaving.upstream, now_s))
