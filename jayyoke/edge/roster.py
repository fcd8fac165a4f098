"""Membership of instances: each renews its own row, and rows that are not renewed are removed."""

from __future__ import annotations

import asyncio
import json
import math
import random
from collections.abc import Iterable
from dataclasses import dataclass

from jayyoke.core.error import Conflict, StoreUnavailable
from jayyoke.edge.log import log_event
from jayyoke.edge.storeclock import StoreClock
from jayyoke.edge.view import MEMBER_TABLE, FleetView
from jayyoke.ops.rendezvous import rank
from jayyoke.platform.address import is_address
from jayyoke.platform.decode import MAX_NUMBER
from jayyoke.platform.rowstore import RowStore
from jayyoke.platform.table import Put
from jayyoke.utils.jsontext import parse_unique_json

# Each instance makes one write and one read per period. More instances renew less often, so that
# they use at most a fiftieth of the store's rate (400 writes/s).
MIN_PERIOD_S = 4.0
PERIOD_S_PER_INSTANCE = 0.125
# Budgets are divided among the alive instances, so one that stops renewing counts for a while.
ALIVE_PERIODS = 4.0
REMOVE_PERIODS = 20.0
RETRY_S = 0.5
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


class Roster:
    """Renews this instance's row and reads those of the others."""

    def __init__(
        self,
        view: FleetView,
        store: RowStore,
        clock: StoreClock,
        name: str,
        domain: str,
        address: str,
        link_bytes_per_s: float = 0.0,
    ):
        self._view = view
        self._store = store
        self._clock = clock
        self._name = name
        self._domain = domain
        self._address = address
        self._link_bytes_per_s = link_bytes_per_s
        self._parsed: list[Member] = []
        self._parsed_revision = -1

    @property
    def period_s(self) -> float:
        """Return the time between two renewals, in seconds."""
        return max(MIN_PERIOD_S, PERIOD_S_PER_INSTANCE * len(self.list_members()))

    def list_members(self) -> list[Member]:
        """Return every readable row."""
        revision = self._view.tables[MEMBER_TABLE].revision
        if revision != self._parsed_revision:
            self._parsed = self._parse_members()
            self._parsed_revision = revision
        return self._parsed

    def _parse_members(self) -> list[Member]:
        found = []
        for row in self._view.tables[MEMBER_TABLE].rows.values():
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
        return _choose_followers(self._domain, self._find_alive())

    def list_followers(self) -> list[str]:
        """Return the addresses of the other followers of all domains."""
        alive = self._find_alive()
        found = []
        for domain in sorted({member.domain for member in alive}):
            found.extend(_choose_followers(domain, alive))
        return [member.address for member in found if member.name != self._name]

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

    async def run(self) -> None:
        """Renew the row and read the table until cancelled."""
        while True:
            try:
                await self.renew()
            except (Conflict, StoreUnavailable) as error:
                log_event("roster-store-away", reason=str(error))
                await asyncio.sleep(RETRY_S * random.uniform(1.0, 3.0))
                continue
            await asyncio.sleep(self.period_s * random.uniform(0.9, 1.1))

    async def renew(self) -> None:
        """Write the own row, read all rows, and remove those that are no longer renewed."""
        if not self._clock.known:
            known = await self._store.read(MEMBER_TABLE)
            self._clock.update(known.now_ms, known.answered_s)
        row = {
            "domain": self._domain,
            "address": self._address,
            "renewed_ms": self._clock.read_ms(),
            "link_bytes_per_s": self._link_bytes_per_s,
        }
        written = await self._store.write(MEMBER_TABLE, [Put(self._name, json.dumps(row).encode())])
        self._clock.update(written.now_ms, written.answered_s)
        if not self.is_follower():
            # The followers send the table.
            return
        page = await self._store.read(MEMBER_TABLE)
        self._clock.update(page.now_ms, page.answered_s)
        self._view.merge(
            MEMBER_TABLE,
            page.rows,
            (),
            page.revision,
            whole=True,
            confirmed_s=self._view.now_s(),
            source="store",
        )
        limit_ms = page.now_ms - REMOVE_PERIODS * 1000 * self.period_s
        for row in page.rows:
            member = _parse_member(row.key, row.value)
            if member is not None and member.renewed_ms >= limit_ms:
                continue
            log_event("member-removed", member=row.key, revision=row.version)
            await self._store.write(MEMBER_TABLE, [Put(row.key, None, row.version)])


def _choose_followers(domain: str, alive: Iterable[Member]) -> list[Member]:
    members = {found.name: found for found in alive if found.domain == domain}
    ranked = [members[name] for name in rank(domain, members)]
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
