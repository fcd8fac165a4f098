"""Decision log: one structured line for each routing or placement decision.

Lines hold names, ids and reasons only; bodies, keys and headers never reach this module.
"""

from __future__ import annotations

import json
import time
from collections.abc import Sequence
from typing import Any

from absl import logging

from jayyoke.core.error import Refusal
from jayyoke.core.request import CallerRequest
from jayyoke.utils.bucket import TokenBucket

# An instance gets about 17 requests/s. A line costs 0.15 ms, so the lines of a burst are limited.
LINES_PER_S = 25.0
BURST_LINES = 100.0
MAX_PASSED_OVER = 16


class DecisionLog:
    """Writes decisions up to a rate and reports how many lines were dropped.

    Lines on requests that failed have a rate of their own, which ordinary lines can't use up.
    """

    def __init__(self, lines_per_s: float = LINES_PER_S, burst: float = BURST_LINES):
        now_s = time.monotonic()
        self._bucket = TokenBucket(lines_per_s, burst, now_s)
        self._failure_bucket = TokenBucket(lines_per_s, burst, now_s)
        self.dropped = 0
        self._dropped_reported = 0

    def write(
        self,
        request: CallerRequest,
        upstream: str,
        reason: str,
        passed_over: Sequence[str] = (),
        event: str = "placement",
        level: int = logging.INFO,
    ) -> None:
        """Write the line of one decision unless the level is off or the rate is exceeded."""
        ordinary = event == "placement"
        if not self._allow(level, self._bucket if ordinary else self._failure_bucket):
            return
        line = {
            "event": event,
            "request_id": request.request_id,
            "class": request.class_spec.name,
            "team": request.team.name,
            "upstream": upstream,
            "reason": reason,
            "passed_over": list(passed_over[:MAX_PASSED_OVER]),
        }
        self._write_line(line, level)

    def write_refusal(self, request_id: str, refusal: Refusal, event: str = "refusal") -> None:
        """Write why a request was refused or failed unless the rate is exceeded."""
        if not self._allow(logging.INFO, self._failure_bucket):
            return
        line = {
            "event": event,
            "request_id": request_id,
            "status": refusal.status,
            "code": refusal.code,
            "run": refusal.run_state.value,
            "reason": refusal.detail,
        }
        self._write_line(line, logging.INFO)

    def write_end(self, event: str, request_id: str, stage: str) -> None:
        """Write how far a request without an answer came unless the rate is exceeded."""
        if not self._allow(logging.INFO, self._failure_bucket):
            return
        line = {"event": event, "request_id": request_id, "stage": stage}
        self._write_line(line, logging.INFO)

    def _allow(self, level: int, bucket: TokenBucket) -> bool:
        if level > logging.get_verbosity():
            return False
        if not bucket.take(time.monotonic()):
            self.dropped += 1
            return False
        return True

    def _write_line(self, line: dict[str, Any], level: int) -> None:
        if self.dropped != self._dropped_reported:
            line["dropped_lines"] = self.dropped - self._dropped_reported
            self._dropped_reported = self.dropped
        logging.log(level, "%s", json.dumps(line))


_log = DecisionLog()


def log_decision(
    request: CallerRequest,
    upstream: str,
    reason: str,
    passed_over: Sequence[str] = (),
    event: str = "placement",
    level: int = logging.INFO,
) -> None:
    """Write the line of one decision to the log of this process."""
    _log.write(request, upstream, reason, passed_over, event, level)


def log_refusal(request_id: str, refusal: Refusal, event: str = "refusal") -> None:
    """Write the line of one refused or failed request to the log of this process."""
    _log.write_refusal(request_id, refusal, event)


def log_end(event: str, request_id: str, stage: str) -> None:
    """Write the line of a request that ended without an answer to the log of this process."""
    _log.write_end(event, request_id, stage)


def count_dropped_lines() -> int:
    """Return the number of decision lines dropped since the start."""
    return _log.dropped
