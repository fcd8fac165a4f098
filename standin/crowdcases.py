"""Crowds whose requests are inside the limits one by one, with the upstreams that they reach."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from standin.abusiveclients import BLOCK_BYTES, Form
from standin.crowdupstream import EarlyUpstream, LongUpstream, StreamingUpstream, StuckUpstream
from standin.entryconfig import HOST, KEY
from standin.entryupstream import EntryUpstream

BODY_BYTES = 4_000_000
FIELDS = f"Host: {HOST}\r\nAuthorization: Bearer {KEY}\r\nDeadline-Ms: 8000\r\nRequest-Id: a\r\n"
POST = f"POST /crowd/x HTTP/1.1\r\n{FIELDS}".encode()
KEYLESS = POST.replace(KEY.encode(), b"unknown")
LENGTH = b"Content-Length: %d\r\n\r\n" % BODY_BYTES
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"
BLOCK = b"b" * BLOCK_BYTES
CHUNK = b"%x\r\n%s\r\n" % (BLOCK_BYTES, BLOCK)
ASK = b"Content-Length: 1\r\n\r\nx"
BEHIND = b"Content-Length: 15000\r\n\r\n" + b"b" * 15_000


@dataclass(frozen=True, slots=True)
class Case:
    """Holds a crowd on the callers' port and its upstream; `kind` is the kind of the route.

    Answers that nobody reads fill the system's buffers first, which takes longer.
    """

    build_upstream: Callable[[str], EntryUpstream]
    form: Form
    bytes_each: int = BODY_BYTES
    kind: str = "unsafe"
    limit_s: float = 5.0


CASES = {
    "bodies-that-no-upstream-reads": Case(StuckUpstream, Form(POST + LENGTH, BLOCK)),
    "chunked-bodies-that-no-upstream-reads": Case(StuckUpstream, Form(POST + CHUNKED, CHUNK)),
    "bodies-that-do-not-end": Case(
        StuckUpstream, Form(POST + LENGTH, BLOCK), BODY_BYTES - 2 * BLOCK_BYTES
    ),
    "bodies-without-a-key": Case(
        StuckUpstream, Form(KEYLESS + b"Content-Length: 100000\r\n\r\n", b"b", 0.5)
    ),
    "requests-that-no-upstream-answers": Case(StuckUpstream, Form(POST + ASK, b"", 1.0), 1),
    "bodies-after-an-early-answer": Case(EarlyUpstream, Form(POST + LENGTH, BLOCK)),
    "bodies-behind-a-request-in-progress": Case(
        StuckUpstream, Form(POST + ASK, POST + BEHIND), 300_000
    ),
    "answers-that-nobody-reads": Case(
        LongUpstream, Form(b"", POST + ASK, reading=False), 40 * len(POST + ASK), limit_s=12.0
    ),
    "streams-that-nobody-reads": Case(
        StreamingUpstream, Form(b"", POST + ASK, reading=False), 1, "stream", limit_s=12.0
    ),
}
