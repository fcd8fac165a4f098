"""Tests of which instances are alive and which follow the store for others."""

from __future__ import annotations

import json
from collections.abc import Callable

from jayyoke.edge.roster import Roster
from jayyoke.edge.storeclock import StoreClock
from jayyoke.edge.view import MEMBER_TABLE, FleetView
from jayyoke.platform.table import Row

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
