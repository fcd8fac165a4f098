"""Tests of the event log."""

from __future__ import annotations

import json
import os

from jayyoke.edge.log import BURST_LINES, EventLog


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
