"""Shares of a machine's memory for what clients and their requests hold.

It addresses crowds of clients whose requests are inside the limits one by one: each share has a
bound, and all of them together fit beside the process itself.
"""

from __future__ import annotations

from dataclasses import dataclass

from jayyoke.core.machine import DEFAULT_MEMORY_BYTES

# Code, the configuration and the tables of upstreams.
PROCESS_BYTES = 70_000_000
# On machines on which that leaves less than this, the shares are the smallest that work.
MIN_CLIENT_BYTES = 20_000_000
# The rest covers what the allocator does not give back.
BODY_SHARE = 0.37
CONNECTION_SHARE = 0.25
REQUEST_SHARE = 0.12
INPUT_SHARE = 0.075
ANSWER_SHARE = 0.05
# Bodies beyond the size that most requests have may not use this part of the bodies' share.
SMALL_BODY_SHARE = 0.2
MAX_BODY_BYTES = 64 << 20
MAX_SMALL_BODY_BYTES = 16 << 20
MAX_INPUT_BYTES = 16 << 20
MAX_ANSWER_BYTES = 16 << 20
# Bytes that the system keeps of a client until the process has read them.
RECEIVE_BYTES = 16 << 10
# Objects of an open connection, and what the system keeps of it.
CONNECTION_BYTES = (10 << 10) + RECEIVE_BYTES
# Objects of a request in progress, and of the connection to its upstream.
REQUEST_BYTES = 40 << 10


@dataclass(frozen=True, slots=True)
class MemoryPlan:
    """Holds the most that each use may take; sizes are in bytes.

    `body_bytes` is for the bodies of all requests in progress, `small_body_bytes` for small ones
    beyond that, `input_bytes` for unfinished heads, unread bodies and unread answers, and
    `answer_bytes` for answers that have not come whole.
    """

    body_bytes: int
    small_body_bytes: int
    input_bytes: int
    answer_bytes: int
    connections: int
    requests: int


def plan_memory(memory_bytes: int = DEFAULT_MEMORY_BYTES) -> MemoryPlan:
    """Return the shares of a machine that has this much memory."""
    client_bytes = max(MIN_CLIENT_BYTES, memory_bytes - PROCESS_BYTES)
    body_bytes = client_bytes * BODY_SHARE
    return MemoryPlan(
        body_bytes=min(MAX_BODY_BYTES, int(body_bytes * (1 - SMALL_BODY_SHARE))),
        small_body_bytes=min(MAX_SMALL_BODY_BYTES, int(body_bytes * SMALL_BODY_SHARE)),
        input_bytes=min(MAX_INPUT_BYTES, int(client_bytes * INPUT_SHARE)),
        answer_bytes=min(MAX_ANSWER_BYTES, int(client_bytes * ANSWER_SHARE)),
        connections=int(client_bytes * CONNECTION_SHARE) // CONNECTION_BYTES,
        requests=int(client_bytes * REQUEST_SHARE) // REQUEST_BYTES,
    )
