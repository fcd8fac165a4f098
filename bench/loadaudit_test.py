"""Tests of the audit of real loads."""

from __future__ import annotations

import json

from bench.loadaudit import audit, find_worst_window, read_log

FACTOR = 2.0


def write_line(at_s: float, event: str, instance: str = "i1", **fields: object) -> str:
    return f"   {at_s:.4f} {instance} {json.dumps({'event': event, **fields})}"


def write_live(*upstreams: str) -> list[str]:
    return [
        write_line(0.0, "upstream", upstream=name, state="live", service="pool")
        for name in upstreams
    ]


def write_placed(at_s: float, request_id: str, upstream: str, instance: str = "i1") -> str:
    return write_line(
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
    def test_counts_what_all_instances_sent(self):
        text = [
            *write_live("e1", "e2"),
            write_placed(1.0, "r1", "e1", "i1"),
            write_placed(1.1, "r2", "e1", "i2"),
            write_placed(1.2, "r3", "e1", "i1"),
            *(write_line(2.0, "answered", "i1", request_id=name) for name in ("r1", "r3")),
            write_line(2.0, "answered", "i2", request_id="r2"),
        ]
        found = audit(list(read_log(text)))
        assert [placed.held for placed in found] == [0, 1, 2]
        assert [placed.mean for placed in found] == [0.0, 0.5, 1.0]

    def test_request_ends_with_its_line(self):
        text = [
            *write_live("e1", "e2"),
            write_placed(1.0, "r1", "e1"),
            write_line(1.5, "attempt-failed", request_id="r1"),
            write_placed(1.6, "r1", "e2"),
            write_placed(1.7, "r2", "e2"),
            write_line(2.0, "answered", request_id="r1"),
            write_line(2.0, "answered", request_id="r2"),
        ]
        assert [placed.held for placed in audit(list(read_log(text)))] == [0, 0, 1]

    def test_request_whose_end_was_not_logged_is_left_out(self):
        text = [*write_live("e1"), write_placed(1.0, "r1", "e1")]
        assert audit(list(read_log(text))) == []

    def test_entry_that_comes_back_counts_in_the_mean_while_away(self):
        text = [
            *write_live("e1", "e2"),
            write_line(0.5, "upstream-gone", upstream="e2"),
            write_placed(1.0, "r1", "e1"),
            write_placed(1.1, "r2", "e1"),
            write_line(1.5, "upstream", upstream="e2", state="live", service="pool"),
            *(write_line(2.0, "answered", request_id=name) for name in ("r1", "r2")),
        ]
        assert [placed.mean for placed in audit(list(read_log(text)))] == [0.0, 0.5]

    def test_worst_window(self):
        text = write_live(*(f"e{number}" for number in range(4)))
        text += [write_placed(6.0 + number / 100, f"r{number}", "e0") for number in range(30)]
        text += [write_line(8.0, "answered", request_id=f"r{number}") for number in range(30)]
        window = find_worst_window(audit(list(read_log(text))), FACTOR, 0.0)
        assert window.placed == 30
        # With n of n requests at one of four engines, n + 1 > n / 2 + 3 from the fifth held on.
        assert len(window.beyond) == 25


class TestReadLog:
    def test_other_lines_are_passed_over(self):
        assert list(read_log(["built in 1 s", "  1.0 i1 {broken", "  1.0 i1 more {}"])) == []
