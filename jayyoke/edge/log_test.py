"""Tests of the event log."""

from __future__ import annotations

import json
import os
import select

from jayyoke.edge.log import BURST_LINES, MAX_WAITING_LINES, EventLog


class TestEventLog:
    def test_never_waits_for_its_reader(self):
        """Guards against requests that block because nobody reads the log."""
        reader, writer = os.pipe()
        os.set_blocking(writer, False)
        log = EventLog(writer, lines_per_s=1e9)
        for _ in range(int(BURST_LINES)):
            log.write("placed", text="x" * 2000)
        assert log.dropped > 0
        os.read(reader, 1 << 20)
        log.write("placed")
        line = os.read(reader, 1 << 16).decode().splitlines()[-1]
        assert json.loads(line)["dropped_lines"] == log.dropped
        os.close(reader)
        os.close(writer)

    def test_volume_is_bounded(self):
        """Guards against a burst of requests that causes a burst of lines."""
        reader, writer = os.pipe()
        os.set_blocking(writer, False)
        log = EventLog(writer, lines_per_s=0.0)
        for _ in range(int(BURST_LINES) + 50):
            log.write("placed")
        assert log.dropped == 50
        os.close(reader)
        os.close(writer)

    def test_routine_lines_leave_room_for_others(self):
        """Guards against a failed request that has no line, since others filled the rate."""
        reader, writer = os.pipe()
        os.set_blocking(writer, False)
        log = EventLog(writer, lines_per_s=0.0)
        for _ in range(int(BURST_LINES) + 50):
            log.write("placed")
        log.write("stream-cut", request_id="r1")
        assert log.dropped == 50
        assert b"stream-cut" in os.read(reader, 1 << 16)
        os.close(reader)
        os.close(writer)

    def test_lines_wait_for_a_slow_reader(self):
        """Guards against losing what a process says of its end, while its reader is slow."""
        reader, writer = os.pipe()
        os.set_blocking(writer, False)
        log = EventLog(writer, lines_per_s=1e9)
        while not log.dropped:
            log.write("placed", text="x" * 2000)
        for number in range(MAX_WAITING_LINES + 1):
            log.write("ended-by-stop", request_id=f"r{number}", text="x" * 2000)
        assert log.dropped == 2
        received = b""
        while select.select((reader,), (), (), 0.0)[0]:
            received += os.read(reader, 1 << 20)
            log.flush(0.0)
        events = [json.loads(line) for line in received.splitlines()]
        ended = [event["request_id"] for event in events if event["event"] == "ended-by-stop"]
        assert ended == [f"r{number}" for number in range(MAX_WAITING_LINES)]
        os.close(reader)
        os.close(writer)
