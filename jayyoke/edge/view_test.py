"""Tests of merging rows from the store and from peers."""

from __future__ import annotations

import json

from hypothesis import given
from hypothesis import strategies as st

from jayyoke.core.route import Route, RouteKind, ServiceShare
from jayyoke.edge.tablecopy import TableCopy
from jayyoke.edge.view import FleetView, RouteTable
from jayyoke.platform.table import Row

KEYS = ("a", "b", "c")


def build_route(prefix: str, host: str = "h") -> Route:
    return Route(prefix, host, prefix, RouteKind.SAFE, (ServiceShare("s", 1.0),), 1.0, 1.0)


class TestRouteTable:
    def test_longest_prefix_wins(self):
        table = RouteTable([build_route("/a/"), build_route("/a/b/"), build_route("/", "other")])
        assert table.find("h", "/a/b/c").prefix == "/a/b/"
        assert table.find("h", "/a/bc").prefix == "/a/"
        assert table.find("h", "/x") is None
        assert table.find("h", "/a/") is not None
        assert table.find("other", "/x/y").prefix == "/"
        assert table.find("none", "/a/") is None


class TestTableCopy:
    @given(
        writes=st.lists(st.tuples(st.sampled_from(KEYS), st.booleans()), max_size=12),
        order=st.randoms(use_true_random=False),
        snapshots=st.lists(st.integers(0, 12), max_size=4),
    )
    def test_changes_in_any_order_lead_to_the_newest_rows(self, writes, order, snapshots):
        """Guards against an older row or snapshot that replaces a newer one.

        The oracle is the rows of the store after every write; the changes arrive in any order.
        """
        states: list[dict[str, Row]] = [{}]
        changes = []
        for revision, (key, present) in enumerate(writes, start=1):
            state = dict(states[-1])
            row = Row(key, b"v%d" % revision if present else b"", revision)
            if present:
                state[key] = row
            else:
                state.pop(key, None)
            states.append(state)
            changes.append((revision, row, present))
        copy = TableCopy()
        steps = [("change", item) for item in changes] + [("snapshot", at) for at in snapshots]
        order.shuffle(steps)
        for kind, item in steps:
            if kind == "snapshot":
                at = min(item, len(states) - 1)
                copy.apply_snapshot(states[at].values(), at)
                continue
            revision, row, present = item
            rows, removed = ((row,), ()) if present else ((), (row,))
            copy.apply_changes(rows, removed, 0)
        copy.apply_snapshot(states[-1].values(), len(writes))
        assert copy.rows == states[-1]

    def test_removed_row_does_not_come_back_from_an_older_peer(self):
        copy = TableCopy()
        copy.apply_changes((Row("a", b"1", 3),), (), 3)
        copy.apply_changes((), (Row("a", b"", 5),), 5)
        copy.apply_snapshot((Row("a", b"1", 3),), 4)
        copy.apply_changes((Row("a", b"1", 3),), (), 4)
        assert "a" not in copy.rows


class TestFleetView:
    def test_unreadable_configuration_keeps_the_one_in_force(self):
        """Guards against a damaged row that removes every route."""
        view = FleetView(lambda: 0.0)
        good = json.dumps({"version": 1, "routes": [], "backends": []}).encode()
        for revision, value in ((1, good), (2, b"{"), (3, b"[]")):
            view.merge(
                "op",
                (Row("config", value, revision),),
                (),
                revision,
                whole=False,
                confirmed_s=0.0,
                source="store",
            )
        assert view.config.version == 1
