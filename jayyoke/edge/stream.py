"""Relays the complete events of a stream, once each and in order, also across several runs."""

from __future__ import annotations

import re

from jayyoke.core.error import AnswerBroken
from jayyoke.utils.heldbytes import HeldBytes

MAX_EVENT_BYTES = 1 << 20
# The limit of an event while all streams together hold too much.
MAX_CROWDED_EVENT_BYTES = 32 << 10
# Comments and repeated events between two new events; beyond it the answer counts as broken.
MAX_BYTES_WITHOUT_EVENT = 1 << 20
# An id travels in a header of a resumption, whose size upstreams limit.
MAX_ID_DIGITS = 256
_ID = re.compile(rb"(?:^|\n)id: ?(\d{1,%d})\r?(?:\n|$)" % MAX_ID_DIGITS)


class EventRelay:
    """Splits an upstream's bytes into events, and drops those that were passed on before.

    `last_id` is the id after which another run has to go on: that of the last event passed on, or
    the caller's. `count` is the number of events passed on, without comments. `held` counts the
    bytes of incomplete events over all streams; `close` frees those of this one.
    """

    __slots__ = (
        "_held",
        "_idle_bytes",
        "_last_number",
        "_run_start_count",
        "_tail",
        "_unnumbered",
        "count",
        "last_id",
    )

    def __init__(self, last_id: bytes | None, held: HeldBytes):
        self.last_id = last_id
        self._held = held
        self.count = 0
        self._last_number = _parse_number(last_id)
        self._unnumbered = False
        self._run_start_count = 0
        self._tail = b""
        self._idle_bytes = 0

    @property
    def resumable(self) -> bool:
        """Tell whether another run can continue the stream without repeating an event.

        After an event without a numeric id, an upstream cannot be told where to go on.
        """
        return not self._unnumbered

    @property
    def incomplete(self) -> bool:
        """Tell whether the bytes so far end within an event."""
        return bool(self._tail.strip())

    @property
    def resumed(self) -> bool:
        """Tell whether the current run continues a stream of which events were passed on."""
        return self._run_start_count > 0

    @property
    def resumed_without_events(self) -> bool:
        """Tell whether a resumed run has brought no new event so far."""
        return self.resumed and self.count == self._run_start_count

    def restart(self) -> None:
        """Begin another run; an incomplete event of the run before is dropped."""
        self._run_start_count = self.count
        self._idle_bytes = 0
        self._replace_tail(b"")

    def close(self) -> None:
        """Drop an incomplete event."""
        self._replace_tail(b"")

    def feed(self, chunk: bytes) -> bytes:
        """Return the complete new events.

        Raise AnswerBroken if one is too large, if too many bytes bring no new one, or if one of a
        resumed run has no numeric id, since nothing shows then that it belongs to the stream.
        """
        count = self.count
        events = self._take_events(chunk)
        self._idle_bytes = 0 if self.count != count else self._idle_bytes + len(chunk)
        if self._idle_bytes > MAX_BYTES_WITHOUT_EVENT:
            raise AnswerBroken("the upstream sends bytes without a new event")
        return events

    def _take_events(self, chunk: bytes) -> bytes:
        data = self._tail + chunk
        end = data.rfind(b"\n\n") + 2
        if end == 1:
            self._keep_tail(data)
            return b""
        self._keep_tail(data[end:])
        kept = []
        for event in data[:end].split(b"\n\n"):
            if event and self._is_new(event):
                kept.append(event + b"\n\n")
        return b"".join(kept)

    def _is_new(self, event: bytes) -> bool:
        found = _ID.search(event)
        if found is None:
            return self._is_new_unnumbered(event)
        number = int(found.group(1))
        if self._last_number is not None and number <= self._last_number:
            return False
        self.last_id = found.group(1)
        self._last_number = number
        self._unnumbered = False
        self.count += 1
        return True

    def _is_new_unnumbered(self, event: bytes) -> bool:
        if event.startswith(b":"):
            return not self.resumed
        if self.resumed:
            raise AnswerBroken("an event of a resumed stream has no numeric id")
        self._unnumbered = True
        self.count += 1
        return True

    def _keep_tail(self, tail: bytes) -> None:
        self._replace_tail(tail)
        limit = MAX_CROWDED_EVENT_BYTES if self._held.exceeded else MAX_EVENT_BYTES
        if len(tail) > limit:
            raise AnswerBroken("an event exceeds the size limit")

    def _replace_tail(self, tail: bytes) -> None:
        self._held.change(len(tail) - len(self._tail))
        self._tail = tail


def has_event(data: bytes) -> bool:
    """Tell whether a stream that begins with these bytes has a whole event, other than comments."""
    events = data.split(b"\n\n")[:-1]
    return any(event and not event.startswith(b":") for event in events)


def _parse_number(event_id: bytes | None) -> int | None:
    if event_id is None or not event_id.isdigit() or len(event_id) > MAX_ID_DIGITS:
        return None
    return int(event_id)
