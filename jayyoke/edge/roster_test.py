"""Tests of which instances are alive and which follow the store for others."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from jayyoke.edge.roster import Roster
from jayyoke.edge.storeclock import StoreClock
from jayyoke.edge.view import MEMBER_TABLE, FleetView
from jayyoke.platform.rowstore import RowPage
from jayyoke.platform.table import Put, Row

NOW_S = 100.0
ADDRESS = "10.0.0.1:7000"
NARROW = 1.25e6
WIDE = 25e6


def build(
    links: dict[str, float],
    own: str,
    now_s: Callable[[], float] = lambda: NOW_S,
    clock_known: bool = True,
) -> Roster:
    """Return an instance's roster once all rows of its domain are known."""
    view = FleetView(now_s)
    clock = StoreClock(now_s)
    if clock_known:
        clock.update(50_000, NOW_S)
    rows = []
    for name, link in links.items():
        row = {"domain": "a", "address": ADDRESS, "renewed_ms": 50_000, "link_bytes_per_s": link}
        rows.append(Row(name, json.dumps(row).encode(), 1))
    view.merge(MEMBER_TABLE, rows, (), 1, whole=True, confirmed_s=NOW_S, source="store")
    return Roster(view, None, clock, own, "a", own, links[own])  # type: ignore[arg-type]


class TestFollowers:
    def test_instances_with_the_widest_links_follow(self):
        """Guards against rows that reach a domain through a link of 10 Mbit/s."""
        links = {f"i{number}": NARROW for number in range(14)} | {"w1": WIDE, "w2": WIDE}
        for own in links:
            roster = build(links, own)
            assert {found.name for found in roster.find_followers()} == {"w1", "w2"}
            assert roster.is_follower() == (own in {"w1", "w2"})

    def test_instances_with_equal_links_agree(self):
        links = {f"i{number}": NARROW for number in range(9)}
        found = {tuple(f.name for f in build(links, own).find_followers()) for own in links}
        assert len(found) == 1

    def test_row_without_a_link_is_read(self):
        """Guards against instances of an older release that do not count as alive."""
        roster = build({"i1": NARROW, "i2": WIDE}, "i1")
        row = {"domain": "a", "address": ADDRESS, "renewed_ms": 50_000}
        row = Row("old", json.dumps(row).encode(), 2)
        roster._view.merge(
            MEMBER_TABLE, (row,), (), 2, whole=False, confirmed_s=NOW_S, source="store"
        )
        assert {found.name for found in roster.find_followers()} == {"i1", "i2"}
        assert "old" in roster.list_alive()


class TestStoreOutage:
    def test_instances_keep_their_share_of_the_budgets(self):
        """Guards against each instance using the whole budget of repeats and of cold upstreams."""
        now_s = NOW_S
        names = {f"i{number}": WIDE for number in range(6)}
        roster = build(names, "i0", lambda: now_s)
        now_s = NOW_S + 60.0
        assert set(roster.list_alive()) == set(names)

    def test_instance_that_stopped_before_the_outage_is_not_counted(self):
        now_s = NOW_S
        roster = build({"i0": WIDE, "i1": WIDE}, "i0", lambda: now_s)
        now_s = NOW_S + 60.0
        row = {"domain": "a", "address": ADDRESS, "renewed_ms": 110_000}
        roster._view.merge(
            MEMBER_TABLE,
            (Row("i0", json.dumps(row).encode(), 2),),
            (),
            2,
            whole=False,
            confirmed_s=now_s,
            source="store",
        )
        assert roster.list_alive() == ["i0"]

    def test_instance_that_starts_meanwhile_takes_its_share(self):
        """Guards against an instance that sends what a limit allows to all of them."""
        links = {f"i{number}": NARROW for number in range(9)}
        assert build(links, "i1", clock_known=False).list_sharing() == list(links)
        assert build(links, "i1").list_sharing() == list(links)


class MemberStore:
    """Stands in for the store and keeps what is written to the table of instances."""

    def __init__(self, view: FleetView):
        self._view = view
        self.revision = 1
        self.writes: list[list[str]] = []

    async def write(self, table: str, puts: list[Put], era: int | None = None) -> RowPage:
        self.revision += 1
        self.writes.append([put.key for put in puts])
        rows = [Row(put.key, put.value or b"", self.revision) for put in puts]
        self._view.merge(
            table, rows, (), self.revision, whole=False, confirmed_s=NOW_S, source="store"
        )
        return RowPage((), self.revision, 50_000, answered_s=NOW_S)

    async def read(self, table: str) -> RowPage:
        rows = tuple(self._view.tables[table].rows.values())
        return RowPage(rows, self.revision, 50_000, answered_s=NOW_S)


class TestRenewal:
    """Tests who renews the rows of instances that ask a follower for changes."""

    LINKS = {"w1": WIDE, "w2": WIDE} | {f"i{number}": NARROW for number in range(150)}

    def renew(self, own: str, contacts: list[str], renewed_ms: int, heard_s: float = NOW_S):
        """Return the writes of an instance's second renewal, after these contacts."""
        now_s = heard_s
        roster = build(self.LINKS, own, lambda: now_s)
        view = roster._view
        store = MemberStore(view)
        roster._store = store  # type: ignore[assignment]
        asyncio.run(roster.renew())
        for name in contacts:
            row = {"domain": "a", "address": ADDRESS, "renewed_ms": 0, "link_bytes_per_s": NARROW}
            roster.record_contact(Row(name, json.dumps(row).encode(), 0))
        rows = []
        for name, link in self.LINKS.items():
            body = {"domain": "a", "address": ADDRESS, "renewed_ms": renewed_ms}
            rows.append(Row(name, json.dumps(body | {"link_bytes_per_s": link}).encode(), 90))
        view.merge(MEMBER_TABLE, rows, (), 90, whole=True, confirmed_s=NOW_S, source="store")
        store.revision = 90
        store.writes.clear()
        now_s = NOW_S
        asyncio.run(roster.renew())
        return store.writes

    def test_instance_writes_its_row_when_it_starts(self):
        """Guards against a restarted instance that leaves the address of its predecessor."""
        roster = build(self.LINKS, "i5")
        store = MemberStore(roster._view)
        roster._store = store  # type: ignore[assignment]
        asyncio.run(roster.renew())
        assert store.writes == [["i5"]]

    def test_follower_renews_the_rows_of_its_contacts_in_few_calls(self):
        """Guards against one call to the store for each instance."""
        contacts = [f"i{number}" for number in range(150)]
        writes = self.renew("w1", contacts, 35_000)
        assert [len(keys) for keys in writes] == [100, 51]
        assert {key for keys in writes for key in keys} == {"w1", *contacts}

    def test_follower_leaves_rows_to_the_other_follower(self):
        """Guards against two followers that both renew every row."""
        assert self.renew("w1", ["i1", "i2"], 49_000) == []

    def test_instance_that_no_longer_asks_is_not_renewed(self):
        """Guards against a member that counts as alive although its process has ended."""
        assert self.renew("w1", ["i1"], 25_000, heard_s=NOW_S - 5.0) == [["w1"]]

    def test_instance_without_a_renewal_writes_its_own_row(self):
        """Guards against an instance that drops out of the list while followers are away."""
        assert self.renew("i5", [], 20_000) == [["i5"]]
        assert self.renew("i5", [], 40_000) == []

    def test_contact_of_another_domain_is_not_renewed(self):
        """Guards against rows that the followers of two domains write in turn."""
        roster = build(self.LINKS, "w1")
        row = {"domain": "b", "address": ADDRESS, "renewed_ms": 0}
        roster.record_contact(Row("i1", json.dumps(row).encode(), 0))
        assert [found.name for found in roster._list_due()] == ["w1"]
