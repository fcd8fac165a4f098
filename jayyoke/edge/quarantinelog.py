"""Log lines about engines that ended and parts of prompts that are kept from engines."""

from __future__ import annotations

from jayyoke.edge.log import log_event
from jayyoke.ops.endobserver import MAX_LOGGED_PARTS, ObservedEnd
from jayyoke.ops.quarantine import Quarantine


def log_end(quarantine: Quarantine, end: ObservedEnd) -> None:
    """Log that an engine ended, under which suspects, and what is quarantined by that."""
    log_event(
        "engine-ended",
        request_id=end.request_id,
        upstream=end.upstream.name,
        suspect_parts=list(end.keys[:MAX_LOGGED_PARTS]),
        suspects=len(end.keys),
        quarantined=len(end.quarantined),
    )
    for key in end.quarantined[:MAX_LOGGED_PARTS]:
        log_quarantined(quarantine, key, request_id=end.request_id, source="own")


def log_quarantined(quarantine: Quarantine, key: str, **fields: object) -> None:
    """Log that a part is quarantined, and on what evidence."""
    known = quarantine.describe(key)
    log_event(
        "part-quarantined",
        part=key,
        ends=[end.engine for end in known.ends],
        answered_before=known.good_s is not None,
        wait_s=quarantine.find_wait_s([key]),
        **fields,
    )
