"""Tests the count of input that is no request."""

from __future__ import annotations

from jayyoke.inputlimits.meter import InputMeter
from jayyoke.inputlimits.refusals import LOG_INTERVAL_S, Reason, RefusalLog

HEADER_BYTES = 1000
READ_BYTES = 100


def add_lines(meter: InputMeter, count: int) -> None:
    """Add reads of which the parser makes nothing."""
    for _ in range(count):
        meter.add(b"\r\n" * (READ_BYTES // 2), 0, progressed=False, ended=False)


class TestPending:
    """Tests bytes that belong to no request and to no body."""

    def test_input_without_progress_exceeds_the_limit(self):
        """Guards against empty lines, trailers and extensions without end."""
        meter = InputMeter(HEADER_BYTES, READ_BYTES)
        add_lines(meter, 21)
        assert not meter.exceeded
        add_lines(meter, 1)
        assert meter.exceeded

    def test_progress_leaves_only_what_was_read_last(self):
        """Guards against long bodies in many chunks that are taken for an endless head."""
        meter = InputMeter(HEADER_BYTES, READ_BYTES)
        for _ in range(1000):
            meter.add(b"1\r\nx\r\n" * 16, 16, progressed=True, ended=False)
        assert meter.pending_bytes <= READ_BYTES

    def test_end_of_a_request_leaves_nothing(self):
        """Guards against idle connections that count as if they held input."""
        meter = InputMeter(HEADER_BYTES, READ_BYTES)
        add_lines(meter, 3)
        meter.add(b"x\r\n\r\n", 2, progressed=True, ended=True)
        assert meter.pending_bytes == 0 and meter.held_bytes == 0

    def test_head_with_one_field_of_the_limit_is_allowed(self):
        """Guards against the refusal of a request whose one field is as large as allowed."""
        meter = InputMeter(HEADER_BYTES, READ_BYTES)
        assert meter.allows_head(HEADER_BYTES + 500)
        assert not meter.allows_head(2 * HEADER_BYTES + 1)


class TestRefusalLog:
    """Tests how often refusals are logged."""

    def test_one_line_stands_for_a_crowd(self):
        """Guards against a log line for each connection of a crowd."""
        log = RefusalLog()
        assert log.note(Reason.MEMORY, 0.0) == 1
        assert [log.note(Reason.MEMORY, 0.5) for _ in range(9)] == [0] * 9
        assert log.note(Reason.CONNECTIONS, 0.5) == 1
        assert log.note(Reason.MEMORY, LOG_INTERVAL_S) == 10
