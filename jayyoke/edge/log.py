"""Structured log on standard output: one line of JSON per event, rate-limited, never blocking."""

from __future__ import annotations

import json
import os
import select
import time
from collections import deque

from jayyoke.utils.bucket import TokenBucket

# A line costs about 0.05 ms; a node serves about 25 requests/s at the peak.
LINES_PER_S = 60.0
BURST_LINES = 300.0
# Every request has these; the other events have a rate of their own beside them.
ROUTINE_EVENTS = frozenset({"placed", "answered"})
RESERVED_LINES_PER_S = 30.0
RESERVED_BURST_LINES = 300.0
# Lines of other events that wait for a slow reader.
MAX_WAITING_LINES = 256
STANDARD_OUTPUT = 1


class EventLog:
    """Writes events to a file descriptor and counts the lines that are dropped."""

    def __init__(self, descriptor: int, lines_per_s: float = LINES_PER_S):
        now_s = time.monotonic()
        self._descriptor = descriptor
        self._bucket = TokenBucket(lines_per_s, max(BURST_LINES, lines_per_s), now_s)
        self._reserve = TokenBucket(RESERVED_LINES_PER_S, RESERVED_BURST_LINES, now_s)
        self._waiting: deque[bytes] = deque()
        self._reported = 0
        self.dropped = 0

    def write(self, event: str, **fields: object) -> None:
        """Write one line, or drop it if the rate is exceeded or the reader is too slow."""
        routine = event in ROUTINE_EVENTS
        now_s = time.monotonic()
        if not self._bucket.take(now_s) and (routine or not self._reserve.take(now_s)):
            self.dropped += 1
            return
        line: dict[str, object] = {"event": event, "at": round(time.time(), 3)}
        line.update(fields)
        if self.dropped != self._reported:
            line["dropped_lines"] = self.dropped - self._reported
        data = json.dumps(line, default=str).encode() + b"\n"
        if not self._write_waiting() or not self._write_data(data):
            # The reader is slow or gone; the count appears in the next line and the metrics.
            if routine or len(self._waiting) >= MAX_WAITING_LINES:
                self.dropped += 1
                return
            self._waiting.append(data)
        self._reported = self.dropped

    def flush(self, timeout_s: float) -> None:
        """Write the lines that wait for the reader, for at most `timeout_s` seconds."""
        until_s = time.monotonic() + timeout_s
        while not self._write_waiting():
            left_s = until_s - time.monotonic()
            if left_s <= 0.0 or not select.select((), (self._descriptor,), (), left_s)[1]:
                return

    def _write_waiting(self) -> bool:
        """Write the waiting lines; return False if some still wait."""
        while self._waiting:
            if not self._write_data(self._waiting[0]):
                return False
            self._waiting.popleft()
        return True

    def _write_data(self, data: bytes) -> bool:
        try:
            os.write(self._descriptor, data)
        except OSError:
            return False
        return True


_log = EventLog(STANDARD_OUTPUT)


def start_log(descriptor: int = STANDARD_OUTPUT, lines_per_s: float = LINES_PER_S) -> None:
    """Write to a descriptor at a limited rate, so that a slow reader never delays requests."""
    global _log
    os.set_blocking(descriptor, False)
    _log = EventLog(descriptor, lines_per_s)


def log_event(event: str, **fields: object) -> None:
    """Write an event to the log of this process."""
    _log.write(event, **fields)


def flush_log(timeout_s: float) -> None:
    """Write the lines that wait for the log's reader, for at most `timeout_s` seconds."""
    _log.flush(timeout_s)


def count_dropped_lines() -> int:
    """Return the number of lines dropped since the start."""
    return _log.dropped
