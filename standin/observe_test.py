"""Tests that the measures and rows of the demo can fail."""

from __future__ import annotations

from collections import Counter

from standin.calls import Call
from standin.checks import check_at_most_once, check_complete_answers, check_refusals, format_rows
from standin.observe import compute_skew
from standin.steps import Observations


def build_call(kind: str, number: int, **fields) -> Call:
    return Call(kind, f"{kind}-{number}", "i", 0.0, **fields)


class TestSkew:
    def test_window_over_the_rounded_bound_is_counted(self):
        """Guards against a check of the load bound that every load passes."""
        even = [(0.1 * step, [4, 4, 4, 4]) for step in range(10)]
        high = [(1.0 + 0.1 * step, [7, 3, 3, 3]) for step in range(10)]
        skew = compute_skew(even + high, 1.25)
        assert (skew.window_count, skew.windows_within_bound, skew.highest_ratio) == (2, 1, 1.75)


class TestRows:
    def test_faults_fail_their_rows(self):
        """Guards against rows that hold whatever was observed."""
        observed = Observations(
            once_calls_by_key={"stamp:a": [build_call("once", 1, status=200, body=b"1")]}
        )
        refused = build_call("once", 2, status=503, run_state="not-run", code="overloaded")
        rows = [
            check_at_most_once(observed, Counter({"stamp:a": 2})),
            check_refusals([refused], {refused.request_id: [1.0]}),
            check_complete_answers([build_call("chat", 3, status=200)]),
            check_complete_answers(
                [build_call("chat", 4, connection_error="ServerDisconnectedError")]
            ),
        ]
        assert [row.held for row in rows] == [False] * 4
        assert format_rows(rows).count("BROKEN") == 4

    def test_correct_answers_pass_their_rows(self):
        """Guards against rows that fail whatever was observed."""
        observed = Observations(
            once_calls_by_key={"stamp:a": [build_call("once", 1, status=200, body=b"1")]}
        )
        refused = build_call("once", 2, status=503, run_state="not-run", code="overloaded")
        rows = [
            check_at_most_once(observed, Counter({"stamp:a": 1})),
            check_refusals([refused], {}),
            check_complete_answers([build_call("chat", 3, status=200, complete=True)]),
        ]
        assert [row.held for row in rows] == [True] * 3
