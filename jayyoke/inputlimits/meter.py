"""Counts what one connection has sent and its parser has not turned into requests.

It addresses input that is no request: heads over the limit or without end, empty lines, trailers
and the sizes and extensions of chunks.
"""

from __future__ import annotations

# A head may hold a field of the largest size, and as much beside it.
HEAD_SHARE = 2
# Memory of a header field or a trailer beside its bytes, and of a request.
FIELD_BYTES = 300
REQUEST_BYTES = 4 << 10
# The parser refuses more fields than these.
MAX_FIELDS = 128
# A parsed byte is held as bytes and as text.
COPIES = 2


class InputMeter:
    """Counts the bytes that were read since the last progress of a request."""

    __slots__ = ("_limit_bytes", "_lines", "_pending_bytes", "_read_bytes", "_unfinished")

    def __init__(self, header_bytes: int, read_bytes: int):
        self._limit_bytes = HEAD_SHARE * header_bytes
        self._read_bytes = read_bytes
        self._pending_bytes = 0
        self._lines = 0
        self._unfinished = False

    @property
    def unfinished(self) -> bool:
        """Tell whether bytes have come that are certainly part of no request so far.

        After progress that is uncertain, since white space around values is not counted as used.
        """
        return self._unfinished

    @property
    def pending_bytes(self) -> int:
        """Return how many bytes belong to no request yet, and to no body."""
        return self._pending_bytes

    @property
    def held_bytes(self) -> int:
        """Return the memory of the pending bytes."""
        return COPIES * self._pending_bytes + FIELD_BYTES * min(self._lines, MAX_FIELDS)

    @property
    def exceeded(self) -> bool:
        """Tell whether more is pending than a head may hold; the last read may not be pending."""
        return self._pending_bytes > self._limit_bytes + self._read_bytes

    def allows_head(self, head_bytes: int) -> bool:
        """Tell whether a whole head is within the limit."""
        return head_bytes <= self._limit_bytes

    def add(self, data: bytes, used_bytes: int, progressed: bool, ended: bool) -> None:
        """Count bytes that were read, of which the parser used some for heads and bodies.

        `ended` tells that they end with the end of a request. After progress only the bytes of the
        last read can be pending; the rest framed what has been parsed.
        """
        self._unfinished = not progressed and (bool(data) or self._unfinished)
        if ended:
            self._pending_bytes = self._lines = 0
            return
        pending_bytes = max(0, self._pending_bytes + len(data) - used_bytes)
        if not progressed:
            self._pending_bytes = pending_bytes
            self._lines += data.count(b"\n")
            return
        self._pending_bytes = min(pending_bytes, len(data) or self._read_bytes)
        self._lines = data.count(b"\n") if self._pending_bytes else 0


def estimate_request(head_bytes: int, fields: int) -> int:
    """Return the memory of a parsed request without its body."""
    return REQUEST_BYTES + COPIES * head_bytes + FIELD_BYTES * fields
