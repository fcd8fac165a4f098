"""Log event of a request's placement."""

from __future__ import annotations

from jayyoke.edge.call import Call
from jayyoke.edge.choose import (
    Candidate,
    Choice,
    count_shared_tokens,
    find_home_key,
    list_shared_parts,
)
from jayyoke.edge.log import log_event
from jayyoke.ops.endobserver import MAX_LOGGED_PARTS


def log_placed(
    call: Call,
    service: str,
    found: Candidate,
    choice: Choice,
    mean: float,
    candidates: int,
    fetch_from: str,
    now_s: float,
    crosses_domains: bool,
) -> None:
    """Log the upstream that a call goes to, and what decided."""
    fields = {}
    if found.figure is not None:
        fields["slowness"] = round(found.slowness, 2)
        fields["slowness_age_ms"] = round((now_s - found.figure.reported_at_s) * 1000)
    log_event(
        "placed",
        request_id=call.head.request_id,
        route=call.route.name,
        service=service,
        upstream=found.upstream.name,
        reason=choice.reason,
        home_key=find_home_key(call.head.parts) if call.route.prefix_affinity else "",
        shared_tokens=count_shared_tokens(call.head.parts),
        parts=list_shared_parts(call.head.parts)[-MAX_LOGGED_PARTS:],
        part_count=len(call.head.parts),
        load=round(found.load, 1),
        load_age_ms=None if found.load_age_s is None else round(found.load_age_s * 1000),
        own=found.own,
        mean_load=round(mean, 1),
        load_limit=None if choice.limit is None else round(choice.limit, 1),
        candidates=candidates,
        suspended=choice.suspended,
        fetch_from=fetch_from,
        crosses_domains=crosses_domains,
        **fields,
    )
