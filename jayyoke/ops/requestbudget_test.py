"""Tests the room for requests in progress."""

from __future__ import annotations

import contextlib

from jayyoke.ops.requestbudget import RequestBudget


def fill(budget: RequestBudget, stack: contextlib.ExitStack, route: str) -> int:
    """Begin as many requests of a route as are allowed; return how many."""
    count = 0
    while budget.allows(route):
        stack.enter_context(budget.running(route))
        count += 1
    return count


class TestRequestBudget:
    """Tests requests of a route that do not end."""

    def test_other_routes_keep_room(self):
        """Guards against a silent service that keeps callers of all others out."""
        budget = RequestBudget(80)
        with contextlib.ExitStack() as stack:
            assert fill(budget, stack, "silent") == 60
            assert fill(budget, stack, "first") == 10
            assert fill(budget, stack, "second") == 10
            assert not budget.allows("third")

    def test_room_is_free_once_requests_end(self):
        """Guards against a budget that shrinks with each request."""
        budget = RequestBudget(8)
        for _ in range(3):
            with contextlib.ExitStack() as stack:
                assert fill(budget, stack, "route") == 6
        assert budget.allows("route")
