"""Tests of the audit of engines' loads."""

from __future__ import annotations

import json

from bench.loadaudit import audit, find_worst_window, read_log

FACTOR = 2.0


def format_line(at_s: float, event: str, instance: str = "i1", **fields: object) -> str:
    return f"   {at_s:.4f} {instance} {json.dumps({'event': event, **fields})}"


def format_live_lines(*upstreams: str) -> list[str]:
    return [
        format_line(0.0, "upstream", upstream=name, state="live", service="pool")
        for name in upstreams
    ]


def format_placed_line(at_s: float, request_id: str, upstream: str, instance: str = "i1") -> str:
    return format_line(
        at_s,
        "placed",
        instance,
        request_id=request_id,
        service="pool",
        upstream=upstream,
        reason="home",
        load=1.0,
        load_age_ms=None,
        mean_load=1.0,
        load_limit=4.2,
        candidates=2,
    )


class TestAudit:
    def test_requests_of_all_instances_count(self):
        text = [
            *format_live_lines("e1", "e2"),
            format_placed_line(1.0, "r1", "e1", "i1"),
            format_placed_line(1.1, "r2", "e1", "i2"),
            format_placed_line(1.2, "r3", "e1", "i1"),
            *(format_line(2.0, "answered", "i1", request_id=name) for name in ("r1", "r3")),
            format_line(2.0, "answered", "i2", request_id="r2"),
        ]
        found = audit(list(read_log(text)))
        assert [placed.requests for placed in found] == [0, 1, 2]
        assert [placed.mean_requests for placed in found] == [0.0, 0.5, 1.0]

    def test_request_counts_until_its_attempt_ends(self):
        text = [
            *format_live_lines("e1", "e2"),
            format_placed_line(1.0, "r1", "e1"),
            format_line(1.5, "attempt-failed", request_id="r1"),
            format_placed_line(1.6, "r1", "e2"),
            format_placed_line(1.7, "r2", "e2"),
            format_line(2.0, "answered", request_id="r1"),
            format_line(2.0, "answered", request_id="r2"),
        ]
        assert [placed.requests for placed in audit(list(read_log(text)))] == [0, 0, 1]

    def test_request_without_a_logged_end_is_left_out(self):
        text = [*format_live_lines("e1"), format_placed_line(1.0, "r1", "e1")]
        assert audit(list(read_log(text))) == []

    def test_engine_counts_in_the_mean_while_its_entry_is_missing(self):
        text = [
            *format_live_lines("e1", "e2"),
            format_line(0.5, "upstream-gone", upstream="e2"),
            format_placed_line(1.0, "r1", "e1"),
            format_placed_line(1.1, "r2", "e1"),
            format_line(1.5, "upstream", upstream="e2", state="live", service="pool"),
            *(format_line(2.0, "answered", request_id=name) for name in ("r1", "r2")),
        ]
        assert [placed.mean_requests for placed in audit(list(read_log(text)))] == [0.0, 0.5]

    def test_worst_window_lists_placements_beyond_the_bound(self):
        text = format_live_lines(*(f"e{number}" for number in range(4)))
        text += [format_placed_line(6.0 + number / 100, f"r{number}", "e0") for number in range(30)]
        text += [format_line(8.0, "answered", request_id=f"r{number}") for number in range(30)]
        window = find_worst_window(audit(list(read_log(text))), FACTOR, 0.0)
        assert window.placed == 30
        # With n requests, all at one of four engines, n + 1 > n / 2 + 3 holds from n = 5 on.
        assert len(window.beyond) == 25


class TestReadLog:
    def test_other_lines_are_skipped(self):
        assert list(read_log(["built in 1 s", "  1.0 i1 {broken", "  1.0 i1 more {}"])) == []
