"""Structured log on standard output: one line of JSON per event, rate-limited, never blocking."""

from __future__ import annotations

import json
import os
import time

from jayyoke.utils.bucket import TokenBucket

# A line costs about 0.05 ms; a node serves about 25 requests/s at the peak.
LINES_PER_S = 60.0
BURST_LINES = 300.0
STANDARD_OUTPUT = 1


class EventLog:
    """Writes events to a file descriptor and counts the lines that are dropped."""

    def __init__(self, descriptor: int, lines_per_s: float = LINES_PER_S):
        self._descriptor = descriptor
        self._bucket = TokenBucket(lines_per_s, max(BURST_LINES, lines_per_s), time.monotonic())
        self._reported = 0
        self.dropped = 0

    def write(self, event: str, **fields: object) -> None:
        """Write one line, or drop it if the rate is exceeded or the reader is too slow."""
        if not self._bucket.take(time.monotonic()):
            self.dropped += 1
            return
        line: dict[str, object] = {"event": event, "at": round(time.time(), 3)}
        line.update(fields)
        if self.dropped != self._reported:
            line["dropped_lines"] = self.dropped - self._reported
        data = json.dumps(line, default=str).encode() + b"\n"
        try:
            os.write(self._descriptor, data)
        except OSError:
            # The reader is slow or gone; the count appears in the next line and the metrics.
            self.dropped += 1
            return
        self._reported = self.dropped


_log = EventLog(STANDARD_OUTPUT)


def start_log(descriptor: int = STANDARD_OUTPUT, lines_per_s: float = LINES_PER_S) -> None:
    """Write to a descriptor at a limited rate, so that a slow reader never delays requests."""
    global _log
    os.set_blocking(descriptor, False)
    _log = EventLog(descriptor, lines_per_s)


def log_event(event: str, **fields: object) -> None:
    """Write an event to the log of this process."""
    _log.write(event, **fields)


def count_dropped_lines() -> int:
    """Return the number of lines dropped since the start."""
    return _log.dropped
