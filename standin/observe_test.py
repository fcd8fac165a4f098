"""Tests of the demo's own measures; a measure that cannot fail shows nothing."""

from __future__ import annotations

from collections import Counter

from standin.calls import Call
from standin.checks import check_once, check_refusals, check_whole, format_rows
from standin.observe import compute_skew
from standin.steps import Seen


def build_call(kind: str, number: int, **fields) -> Call:
    return Call(kind, f"{kind}-{number}", "i", 0.0, **fields)


class TestSkew:
    def test_window_over_the_rounded_bound_is_counted(self):
        """Guards against a check of the load bound that any load passes."""
        even = [(0.1 * step, [4, 4, 4, 4]) for step in range(10)]
        high = [(1.0 + 0.1 * step, [7, 3, 3, 3]) for step in range(10)]
        skew = compute_skew(even + high, 1.25)
        assert (skew.windows, skew.within_bound, skew.highest_ratio) == (2, 1, 1.75)


class TestRows:
    def test_faults_break_their_rows(self):
        """Guards against rows that hold whatever was seen."""
        seen = Seen(once_keys={"stamp:a": [build_call("once", 1, status=200, body=b"1")]})
        refused = build_call("once", 2, status=503, run="not-run", code="overloaded")
        rows = [
            check_once(seen, Counter({"stamp:a": 2})),
            check_refusals([refused], {refused.request_id: [1.0]}),
            check_whole([build_call("chat", 3, status=200)]),
            check_whole([build_call("chat", 4, broken="ServerDisconnectedError")]),
        ]
        assert [row.held for row in rows] == [False] * 4
        assert format_rows(rows).count("BROKEN") == 4

    def test_true_answers_hold(self):
        """Guards against rows that break whatever was seen."""
        seen = Seen(once_keys={"stamp:a": [build_call("once", 1, status=200, body=b"1")]})
        refused = build_call("once", 2, status=503, run="not-run", code="overloaded")
        rows = [
            check_once(seen, Counter({"stamp:a": 1})),
            check_refusals([refused], {}),
            check_whole([build_call("chat", 3, status=200, whole=True)]),
        ]
        assert [row.held for row in rows] == [True] * 3
