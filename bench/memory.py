"""In-memory table and object store, and an event loop with virtual time, for models and tests."""

from __future__ import annotations

import asyncio
import random
import selectors
from collections.abc import Sequence

from jayyoke.core.error import Conflict, Effect, StoreUnavailable
from jayyoke.platform.table import Put, Row

LATENCY_S = 0.005
MAX_DELAY_S = 20.0


class _VirtualTimeSelector(selectors.DefaultSelector):
    """Advances the virtual time instead of waiting."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = 1000.0

    def select(self, timeout: float | None = None):
        if timeout:
            self.now_s += timeout
        return super().select(0)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Runs timers without waiting, in order of their virtual time."""

    def __init__(self) -> None:
        self._selector_with_time = _VirtualTimeSelector()
        super().__init__(self._selector_with_time)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._selector_with_time.now_s

    def now_s(self) -> float:
        """Return the virtual time in seconds, as a Clock does."""
        return self.time()


class MemoryTable:
    """Keeps rows in memory; `fault_rate` is the share of commits whose answer is lost.

    Half that share of all calls is refused. A deleted row starts again at version 1, the worst case
    that the protocol allows.
    """

    def __init__(self, rng: random.Random, fault_rate: float = 0.0):
        self.rows: dict[str, tuple[bytes, int]] = {}
        self.rng = rng
        self.fault_rate = fault_rate
        self.down = False
        self.commits = 0
        self.scans = 0
        self.rows_read = 0

    async def get(self, key: str) -> Row | None:
        """Return a row or None; raise StoreUnavailable."""
        await self._wait_or_refuse()
        row = self.rows.get(key)
        return None if row is None else Row(key, *row)

    async def scan(self, prefix: str, after: str = "", limit: int = 100) -> list[Row]:
        """Return rows in key order; raise StoreUnavailable."""
        await self._wait_or_refuse()
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        self.scans += 1
        self.rows_read += len(keys[:limit])
        return [Row(key, *self.rows[key]) for key in keys[:limit]]

    async def commit(self, puts: Sequence[Put]) -> None:
        """Write all puts or none; raise Conflict or StoreUnavailable."""
        await self._wait_or_refuse()
        if self.rng.random() >= self.fault_rate:
            self._apply(puts)
            await asyncio.sleep(LATENCY_S)
            return
        match self.rng.randrange(3):
            case 0:  # The answer is lost after the write.
                self._apply_unless_conflict(puts)
            case 1:  # The request is lost.
                pass
            case 2:  # The request takes effect long after the caller gave up.
                delay_s = self.rng.uniform(0.0, MAX_DELAY_S)
                asyncio.get_running_loop().call_later(
                    delay_s, self._apply_unless_conflict, list(puts)
                )
        await asyncio.sleep(1.0)
        raise StoreUnavailable("answer lost", Effect.UNKNOWN)

    async def _wait_or_refuse(self) -> None:
        await asyncio.sleep(LATENCY_S)
        if self.down or self.rng.random() < self.fault_rate / 2:
            raise StoreUnavailable("refused")

    def _apply_unless_conflict(self, puts: Sequence[Put]) -> None:
        try:
            self._apply(puts)
        except Conflict:
            pass

    def _apply(self, puts: Sequence[Put]) -> None:
        self.commits += 1
        conflicts = []
        for index, put in enumerate(puts):
            version = self.rows[put.key][1] if put.key in self.rows else 0
            if put.expect is not None and put.expect != version:
                conflicts.append(index)
        if conflicts:
            raise Conflict(conflicts)
        for put in puts:
            version = self.rows[put.key][1] if put.key in self.rows else 0
            if put.value is None:
                self.rows.pop(put.key, None)
                continue
            self.rows[put.key] = (put.value, version + 1)


class MemoryObjects:
    """Keeps objects in memory."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}

    async def get(self, key: str) -> bytes | None:
        """Return an object or None."""
        await asyncio.sleep(LATENCY_S)
        return self.objects.get(key)

    async def put(self, key: str, value: bytes) -> None:
        """Write an object."""
        await asyncio.sleep(LATENCY_S)
        self.objects[key] = value
