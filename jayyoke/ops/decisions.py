"""Decision log: one structured line for each routing or placement decision.

Lines hold names, ids and reasons only; bodies, keys and headers never reach this module.
"""

from __future__ import annotations

import json
import time
from collections.abc import Sequence

from absl import logging

from jayyoke.core.request import CallerRequest
from jayyoke.utils.bucket import TokenBucket

# A node sees about 17 requests/s; a burst of retries must not turn into a burst of lines.
LINES_PER_S = 50.0
BURST_LINES = 200.0
MAX_PASSED_OVER = 16


class DecisionLog:
    """Writes decisions up to a rate and reports how many lines were dropped."""

    def __init__(self, lines_per_s: float = LINES_PER_S, burst: float = BURST_LINES):
        self._bucket = TokenBucket(lines_per_s, burst, time.monotonic())
        self.dropped = 0
        self._reported = 0

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
        if level > logging.get_verbosity():
            return
        if not self._bucket.take(time.monotonic()):
            self.dropped += 1
            return
        line = {
            "event": event,
            "request_id": request.request_id,
            "class": request.spec.name,
            "team": request.team.name,
            "upstream": upstream,
            "reason": reason,
            "passed_over": list(passed_over[:MAX_PASSED_OVER]),
        }
        if self.dropped != self._reported:
            line["dropped_lines"] = self.dropped - self._reported
            self._reported = self.dropped
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


def count_dropped() -> int:
    """Return the number of decision lines dropped since the start."""
    return _log.dropped
