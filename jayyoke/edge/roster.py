"""Membership of instances: rows that are renewed, and removed once they no longer are.

Each instance writes its row when it starts. From then on the followers of its domain renew the
rows of all instances that ask them for changes, in one call for the domain: 76 instances that
renewed their rows themselves made a third of the store's calls on a calm day. An instance whose row
is not renewed by a follower renews it itself.
"""

from __future__ import annotations

import asyncio
import json
import math
import random
from dataclasses import dataclass, replace

from jayyoke.core.error import Conflict, StoreUnavailable
from jayyoke.edge.log import log_event
from jayyoke.edge.storeclock import StoreClock
from jayyoke.edge.storeera import StoreEra
from jayyoke.edge.view import MEMBER_TABLE, FleetView
from jayyoke.ops.rendezvous import rank
from jayyoke.platform.address import is_address
from jayyoke.platform.decode import MAX_NUMBER
from jayyoke.platform.rowstore import RowPage, RowStore
from jayyoke.platform.table import MAX_PUTS_PER_COMMIT, Put, Row
from jayyoke.utils.jsontext import parse_unique_json

# More instances renew less often, so that they use at most a fiftieth of the store's rate
# (400 writes/s) even if each renews its own row.
MIN_PERIOD_S = 4.0
PERIOD_S_PER_INSTANCE = 0.125
# Budgets are divided among the alive instances, so one that stops renewing counts for a while.
ALIVE_PERIODS = 4.0
REMOVE_PERIODS = 20.0
# A follower renews rows older than this, so that the other follower need not.
RENEW_PERIODS = 0.5
# An instance whose row is older than this renews it itself.
OVERDUE_PERIODS = 1.5
# Instances ask a follower every 0.4 s, so one that has not asked for longer may have ended.
CONTACT_S = 2.0
MAX_CONTACTS = 512
# Instances that start together see only the first rows, and each would follow the store until its
# next renewal. So they read the table again soon.
SETTLE_READS = 2
SETTLE_S = 1.0
# The first reads of other tables tell the store's time as well.
CLOCK_WAIT_S = 0.3
CLOCK_POLL_S = 0.02
RETRY_S = 0.5
# All instances write their rows again after the store's return: 410 within this time make a sixth
# of its rate (1,200 writes/s).
ERA_SPREAD_S = 2.0
# Each follower costs the store a call a second and one for each change. With two, the loss of one
# leaves no gap.
FOLLOWERS_PER_DOMAIN = 2
# A member's row has about 150 bytes.
MAX_ROW_BYTES = 4096


@dataclass(frozen=True, slots=True)
class Member:
    """Holds an instance's row; `renewed_ms` is a time of the store's monotonic clock."""

    name: str
    domain: str
    address: str
    renewed_ms: int
    link_bytes_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class _Contact:
    """Holds an instance of the own domain that has asked this one for changes, and when."""

    member: Member
    value: bytes
    heard_s: float


class Roster:
    """Renews the rows of this instance and of those that it serves, and reads all rows."""

    def __init__(
        self,
        view: FleetView,
        store: RowStore,
        clock: StoreClock,
        name: str,
        domain: str,
        address: str,
        link_bytes_per_s: float = 0.0,
        era: StoreEra | None = None,
    ):
        self._era_changed = asyncio.Event()
        self._remove_from_s = float("-inf")
        if era is not None:
            era.changes.subscribe(lambda _: self._begin_era())
        self._view = view
        self._store = store
        self._clock = clock
        self._name = name
        self._domain = domain
        self._address = address
        self._link_bytes_per_s = link_bytes_per_s
        self._parsed: list[Member] = []
        self._parsed_as_of: tuple[object, ...] = ()
        self._contacts: dict[str, _Contact] = {}
        # The own row may not be in the store, or not with this instance's values.
        self._must_write = True

    @property
    def period_s(self) -> float:
        """Return the time between two renewals, in seconds."""
        return max(MIN_PERIOD_S, PERIOD_S_PER_INSTANCE * len(self.list_members()))

    def list_members(self) -> list[Member]:
        """Return every readable row."""
        copy = self._view.tables[MEMBER_TABLE]
        as_of = (copy.era, copy.revision, frozenset(copy.kept))
        if as_of != self._parsed_as_of:
            self._parsed = self._parse_members()
            self._parsed_as_of = as_of
        return self._parsed

    def _parse_members(self) -> list[Member]:
        found = []
        for row in self._view.tables[MEMBER_TABLE].list_in_force().values():
            member = _parse_member(row.key, row.value)
            if member is not None:
                found.append(member)
        return found

    def list_alive(self) -> list[str]:
        """Return the names of instances that share the budgets, as of the last read."""
        return [found.name for found in self._find_alive()]

    def list_sharing(self) -> list[str]:
        """Return the alive instances, or all known ones before the store's clock is known."""
        return self.list_alive() or [found.name for found in self.list_members()]

    def find_followers(self) -> list[Member]:
        """Return the instances of the own domain that follow the store for the others.

        They are those with the widest links, since they send all rows on to the others. Among
        equals rendezvous hashing decides, the same on all instances. The list is empty if no alive
        instance of the domain is known.
        """
        own = [found for found in self._find_alive() if found.domain == self._domain]
        return _choose_followers(self._domain, own)

    def list_followers(self) -> dict[str, list[Member]]:
        """Return the followers of every domain with alive instances."""
        by_domain: dict[str, list[Member]] = {}
        for found in self._find_alive():
            by_domain.setdefault(found.domain, []).append(found)
        return {name: _choose_followers(name, by_domain[name]) for name in sorted(by_domain)}

    def list_other_followers(self) -> list[str]:
        """Return the addresses of the other followers of all domains."""
        found = []
        for members in self.list_followers().values():
            found += [member.address for member in members if member.name != self._name]
        return found

    def is_follower(self) -> bool:
        """Tell whether this instance follows the store itself."""
        followers = self.find_followers()
        if len(followers) < FOLLOWERS_PER_DOMAIN:
            return True
        return self._name in [found.name for found in followers]

    def _find_alive(self) -> list[Member]:
        # Time since the last confirmation does not count: no renewal could be read in it.
        confirmed_s = self._view.tables[MEMBER_TABLE].confirmed_s
        silent_s = max(0.0, self._view.now_s() - confirmed_s)
        if math.isinf(silent_s):
            return []
        now_ms = self._clock.read_ms() - silent_s * 1000
        members = self.list_members()
        limit_ms = ALIVE_PERIODS * 1000 * max(MIN_PERIOD_S, PERIOD_S_PER_INSTANCE * len(members))
        # A row that claims a later time than the store's would never lapse.
        return [found for found in members if abs(now_ms - found.renewed_ms) < limit_ms]

    def list_peers(self) -> list[str]:
        """Return the addresses of the other instances."""
        return [found.address for found in self.list_members() if found.name != self._name]

    def list_near(self) -> list[str]:
        """Return the addresses of the other instances of the own domain."""
        found = []
        for member in self.list_members():
            if member.name != self._name and member.domain == self._domain:
                found.append(member.address)
        return found

    def build_row(self) -> Row:
        """Return this instance's row without a time, for the follower that renews it."""
        return Row(self._name, self._encode_row(self._own_member(0)), 0)

    def record_contact(self, row: Row) -> None:
        """Record that an instance asked for changes, with its row."""
        known = self._contacts.pop(row.key, None)
        same = known is not None and known.value == row.value
        member = known.member if same else _parse_member(row.key, row.value)
        if member is None or member.domain != self._domain or member.name == self._name:
            return
        self._contacts[member.name] = _Contact(member, row.value, self._view.now_s())
        if len(self._contacts) > MAX_CONTACTS:
            del self._contacts[next(iter(self._contacts))]

    async def run(self) -> None:
        """Renew rows and read the table until cancelled."""
        await self._wait_for_clock()
        settle_reads = SETTLE_READS
        while True:
            try:
                await self.renew()
            except (Conflict, StoreUnavailable) as error:
                log_event("roster-store-away", reason=str(error))
                await asyncio.sleep(RETRY_S * random.uniform(1.0, 3.0))
                continue
            if settle_reads and self.is_follower():
                settle_reads -= 1
                await self._wait_for_era(SETTLE_S * random.uniform(0.9, 1.1))
                continue
            await self._wait_for_era(self.period_s * random.uniform(0.9, 1.1))

    async def _wait_for_clock(self) -> None:
        loop = asyncio.get_running_loop()
        end_s = loop.time() + CLOCK_WAIT_S
        while not self._clock.known and loop.time() < end_s:
            await asyncio.sleep(CLOCK_POLL_S)

    def _begin_era(self) -> None:
        self._era_changed.set()
        self._remove_from_s = self._view.now_s() + ALIVE_PERIODS * self.period_s

    async def _wait_for_era(self, period_s: float) -> None:
        """Wait for a period, or less if the store has come back without the own row."""
        try:
            async with asyncio.timeout(period_s):
                await self._era_changed.wait()
        except TimeoutError:
            return
        self._era_changed.clear()
        self._must_write = True
        await asyncio.sleep(random.uniform(0.0, ERA_SPREAD_S))

    async def renew(self) -> None:
        """Write the rows that are due, read all rows, and remove those that nobody renews."""
        if not self._clock.known:
            known = await self._store.read(MEMBER_TABLE)
            self._clock.update(known.now_ms, known.answered_s, known.era)
        due = self._list_due()
        for start in range(0, len(due), MAX_PUTS_PER_COMMIT):
            puts = [
                Put(member.name, self._encode_row(member))
                for member in due[start : start + MAX_PUTS_PER_COMMIT]
            ]
            written = await self._store.write(MEMBER_TABLE, puts)
            self._clock.update(written.now_ms, written.answered_s, written.era)
        self._must_write = False
        if not self.is_follower():
            # The followers send the table.
            return
        page = await self._store.read(MEMBER_TABLE)
        self._clock.update(page.now_ms, page.answered_s, page.era)
        self._view.merge(
            MEMBER_TABLE,
            page.rows,
            (),
            page.revision,
            whole=True,
            confirmed_s=self._view.now_s(),
            source="store",
            era=page.era,
        )
        if self._view.now_s() < self._remove_from_s:
            # The rows are older than their writers' last renewals.
            return
        await self._remove_unrenewed(page)

    def _list_due(self) -> list[Member]:
        """Return the members whose rows this instance has to write now."""
        now_ms = self._clock.read_ms()
        period_ms = 1000 * self.period_s
        renewed_ms = {found.name: found.renewed_ms for found in self.list_members()}
        own_age_ms = now_ms - renewed_ms.get(self._name, 0)
        follower = self.is_follower()
        due = []
        if self._must_write or own_age_ms > period_ms * (
            RENEW_PERIODS if follower else OVERDUE_PERIODS
        ):
            due.append(self._own_member(now_ms))
        if not follower:
            return due
        oldest_s = self._view.now_s() - CONTACT_S
        for contact in self._contacts.values():
            member = contact.member
            if contact.heard_s < oldest_s:
                continue
            if now_ms - renewed_ms.get(member.name, 0) > RENEW_PERIODS * period_ms:
                due.append(replace(member, renewed_ms=now_ms))
        return due

    def _own_member(self, renewed_ms: int) -> Member:
        return Member(self._name, self._domain, self._address, renewed_ms, self._link_bytes_per_s)

    def _encode_row(self, member: Member) -> bytes:
        row = {
            "domain": member.domain,
            "address": member.address,
            "renewed_ms": member.renewed_ms,
            "link_bytes_per_s": member.link_bytes_per_s,
        }
        return json.dumps(row).encode()

    async def _remove_unrenewed(self, page: RowPage) -> None:
        limit_ms = page.now_ms - REMOVE_PERIODS * 1000 * self.period_s
        for row in page.rows:
            member = _parse_member(row.key, row.value)
            if member is not None and member.renewed_ms >= limit_ms:
                continue
            log_event("member-removed", member=row.key, revision=row.version)
            await self._store.write(MEMBER_TABLE, [Put(row.key, None, row.version)], page.era)


def _choose_followers(domain: str, members: list[Member]) -> list[Member]:
    alive = {found.name: found for found in members}
    ranked = [alive[name] for name in rank(domain, alive)]
    ranked.sort(key=lambda found: -found.link_bytes_per_s)
    return ranked[:FOLLOWERS_PER_DOMAIN]


def _parse_member(key: str, value: bytes) -> Member | None:
    try:
        body = parse_unique_json(value, MAX_ROW_BYTES)
        address = str(body["address"])
        if not is_address(address):
            raise ValueError(f"{address[:80]!a} is not IP:PORT")
        renewed_ms = int(body["renewed_ms"])
        link_bytes_per_s = float(body.get("link_bytes_per_s", 0.0))
        if not 0 <= renewed_ms <= MAX_NUMBER or not 0.0 <= link_bytes_per_s <= MAX_NUMBER:
            raise ValueError("a number is out of range")
        return Member(key, str(body.get("domain", "")), address, renewed_ms, link_bytes_per_s)
    except (ValueError, TypeError, KeyError, AttributeError, OverflowError) as error:
        log_event("row-unusable", finding=f"{MEMBER_TABLE}/{key}: {error!r}")
        return None
