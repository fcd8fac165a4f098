"""Decision log: one structured line for each routing or placement decision."""

from __future__ import annotations

import json
from collections.abc import Sequence

from absl import logging

from jayyoke.core.request import CallerRequest


def log_decision(
    request: CallerRequest, upstream: str, reason: str, passed_over: Sequence[str] = ()
) -> None:
    """Write the line of one decision at level info."""
    line = {
        "event": "placement",
        "request_id": request.request_id,
        "class": request.spec.name,
        "team": request.team.name,
        "upstream": upstream,
        "reason": reason,
        "passed_over": list(passed_over),
    }
    logging.info("%s", json.dumps(line))
