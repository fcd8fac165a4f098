"""Takes, renews and gives back the lease of the duties, and fences the calls of its holder.

Designed for 28 candidates and one holder: 1 write a second of the holder, and 1 to 2 reads of all
candidates together. The store's answers count only in the era that the row was read in.
"""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable, Sequence

from jayyoke.core.entrysettings import Bounds, DutyService
from jayyoke.core.error import Conflict, DutyCallFailed, StoreUnavailable
from jayyoke.duties.lease import (
    LeaseKeeper,
    LeaseRow,
    build_era_key,
    encode_lease,
    find_lease_key,
    find_poll_s,
)
from jayyoke.edge.log import log_event
from jayyoke.edge.roster import Roster
from jayyoke.edge.storeera import StoreEra
from jayyoke.platform.dutyservice import Fence
from jayyoke.platform.rowstore import EraChanged, RowStore
from jayyoke.platform.table import Put, Row
from jayyoke.utils.bucket import TokenBucket

DUTY_TABLE = "duties"
RETRY_S = 0.3
IDLE_S = 1.0
MIN_WAIT_S = 0.05
# A third of the lease, so that calls can begin at any time between two renewals.
MAX_CALL_S = 1.0
# Calls of one holder leave room for those of a holder before it.
RATE_PART = 0.5


class DutyHolder:
    """Keeps the lease of this process; `on_begin` is called with the row of each new tenure."""

    def __init__(
        self,
        name: str,
        incarnation: str,
        service: DutyService,
        bounds: Bounds,
        store: RowStore,
        era: StoreEra,
        roster: Roster,
        now_s: Callable[[], float],
        find_barred: Callable[[float], int],
        on_begin: Callable[[LeaseRow], None],
        read_reported: Callable[[], int],
    ):
        self._name = name
        self._lease_s = bounds.lease_s
        self._store = store
        self._era = era
        self._roster = roster
        self._now_s = now_s
        self._find_barred = find_barred
        self._on_begin = on_begin
        self._read_reported = read_reported
        self._keeper = LeaseKeeper(name, incarnation, bounds.lease_s, now_s())
        self._call_s = min(MAX_CALL_S, bounds.lease_s / 3)
        rate = max(1.0, RATE_PART * service.calls_per_s)
        self._bucket = TokenBucket(rate, rate, now_s())
        self._open_calls = 0
        self._aborted_s = float("-inf")
        self._stopped = False
        self._had_lease = False
        self.changes = 0
        self.calls = 0

    @property
    def active(self) -> bool:
        """Tell whether this instance may act as the holder now."""
        return not self._stopped and self._keeper.may_act(self._now_s(), self._era.value)

    @property
    def tenure(self) -> tuple[int, int] | None:
        """Return what names the own tenure: its era and counter, or None without one."""
        lease = self._keeper.lease
        return None if lease is None else (lease.era, lease.counter)

    async def run(self) -> None:
        """Keep the lease, or look whether it can be taken, until cancelled."""
        while True:
            try:
                wait_s = await self._step()
            except EraChanged:
                wait_s = 0.0
            except (Conflict, StoreUnavailable):
                # The roster logs a store that is away.
                wait_s = RETRY_S if self._keeper.holds else self._find_poll_s()
            self._log_change()
            await asyncio.sleep(max(MIN_WAIT_S, wait_s))

    async def call(self, send: Callable[[Fence], Awaitable[int]]) -> int | None:
        """Make a call as the holder; return its status, or None if this process may not act.

        Raise DutyCallFailed if the call may have arrived but was not answered.
        """
        now_s = self._now_s()
        era = self._era.value
        token = self._keeper.find_token(now_s, era, self._call_s)
        if token is None or self._stopped or not self._bucket.take(now_s):
            return None
        fence = Fence(self._name, token, self._call_s, self._now_s, lambda: self._may_send(token))
        self._open_calls += 1
        answered = False
        try:
            status = await send(fence)
            answered = True
            self.calls += 1
            return status
        except DutyCallFailed as error:
            answered = not error.begun
            raise
        finally:
            self._open_calls -= 1
            if not answered:
                self._aborted_s = self._now_s()

    async def read_row(self, key: str) -> Row | None:
        """Return a row of the present era; raise StoreUnavailable."""
        era = self._era.value
        page = await self._store.read_row(DUTY_TABLE, build_era_key(key, era))
        if page.era != era or self._era.value != era:
            raise EraChanged("the row was read in an older era")
        return page.rows[0] if page.rows else None

    async def read_former_row(self, key: str) -> Row | None:
        """Return a row as the era before has left it, or None; raise StoreUnavailable."""
        era = self._era.value
        if era < 2:
            return None
        page = await self._store.read_row(DUTY_TABLE, build_era_key(key, era - 1))
        return page.rows[0] if page.rows else None

    async def write_row(self, key: str, value: bytes | None, expect: int | None) -> int:
        """Write a row of the present era while this process may act; return its revision.

        Raise Conflict or StoreUnavailable.
        """
        era = self._era.value
        if not self.active:
            raise StoreUnavailable("this instance does not hold the duties")
        put = Put(build_era_key(key, era), value, expect)
        page = await self._store.write(DUTY_TABLE, [put], era)
        return page.revision

    async def remove_rows(self, keys: Sequence[str]) -> None:
        """Remove rows that nobody needs, also those of the era before; raise StoreUnavailable."""
        era = self._era.value
        eras = (era, era - 1) if era > 1 else (era,)
        puts = [Put(build_era_key(key, found), None) for key in keys for found in eras]
        await self._store.write(DUTY_TABLE, puts, era)

    async def release(self) -> None:
        """Stop acting, and give the lease back if no call can arrive any more."""
        self._stopped = True
        keeper = self._keeper
        quiet_s = self._now_s() - self._aborted_s
        if not keeper.may_act(self._now_s(), self._era.value):
            return
        if self._open_calls or quiet_s < self._lease_s:
            # A call that was given up may still be on its way, so the lease runs out instead.
            return
        lease, expect = keeper.build_release(self._read_reported())
        try:
            put = Put(find_lease_key(lease.era), encode_lease(lease), expect)
            await self._store.write(DUTY_TABLE, [put], lease.era)
        except (Conflict, StoreUnavailable) as error:
            log_event("duty-lease", state="not-released", reason=str(error))
            return
        log_event("duty-lease", state="released", counter=lease.counter, era=lease.era)

    def _may_send(self, token: int) -> bool:
        return self._keeper.find_token(self._now_s(), self._era.value) == token

    async def _step(self) -> float:
        """Look at the lease, take or renew it; return the time until the next step."""
        if self._stopped:
            return IDLE_S
        self._keeper.give_up_late(self._now_s())
        if self._keeper.holds:
            return await self._renew()
        candidates = self._list_candidates()
        if self._name not in candidates:
            return IDLE_S
        unchanged = await self._look()
        if self._keeper.holds:
            return 0.0
        take_s = self._keeper.find_take_s(self._era.value)
        now_s = self._now_s()
        if take_s is not None and now_s >= take_s:
            await self._take()
            return self._keeper.renew_s
        poll_s = self._find_poll_s()
        if take_s is not None and (unchanged or not self._keeper.holder):
            return min(poll_s, take_s - now_s)
        return poll_s

    def _find_poll_s(self) -> float:
        return find_poll_s(self._name, self._list_candidates(), self._keeper.holder)

    def _list_candidates(self) -> list[str]:
        followers = self._roster.list_followers()
        return [found.name for members in followers.values() for found in members]

    async def _look(self) -> bool:
        """Read the lease's row; return True if it is the same as before."""
        era = self._era.value
        page = await self._store.read_row(DUTY_TABLE, find_lease_key(era))
        if page.era != era or self._era.value != era:
            raise EraChanged("the row was read in an older era")
        row = page.rows[0] if page.rows else None
        value, revision = (None, 0) if row is None else (row.value, row.version)
        return self._keeper.observe(revision, value, page.era, self._now_s())

    async def _take(self) -> None:
        lease, expect = self._keeper.build_take(self._find_barred(self._keeper.era_since_s))
        if await self._write(lease, expect):
            self.changes += 1
            self._on_begin(lease)

    async def _renew(self) -> float:
        began_s = self._now_s()
        lease, expect = self._keeper.build_renewal(self._read_reported())
        resumed = not self._keeper.may_act(began_s, lease.era)
        if not await self._write(lease, expect):
            # A renewal whose answer was lost has taken effect, or another instance has the lease.
            await self._look()
            return RETRY_S
        if resumed:
            self._on_begin(lease)
        return self._keeper.renew_s - (self._now_s() - began_s)

    async def _write(self, lease: LeaseRow, expect: int) -> bool:
        """Write the own row; return False if the store has another one than expected."""
        sent_s = self._now_s()
        put = Put(find_lease_key(lease.era), encode_lease(lease), expect)
        try:
            page = await self._store.write(DUTY_TABLE, [put], lease.era)
        except (Conflict, EraChanged):
            self._keeper.suspend()
            return False
        self._keeper.confirm(lease, page.revision, sent_s, self._era.value)
        return self._keeper.holds

    def _log_change(self) -> None:
        """Log when this process has got or lost the lease."""
        active = self.active
        if active == self._had_lease:
            return
        self._had_lease = active
        lease = self._keeper.lease
        log_event(
            "duty-lease",
            state="taken" if active else "lost",
            holder=self._name if active else self._keeper.holder,
            counter=None if lease is None else lease.counter,
            era=self._era.value,
        )
