"""Relays the complete events of a stream, once each and in order, also across several runs."""

from __future__ import annotations

import re

from jayyoke.core.error import AnswerBroken

MAX_EVENT_BYTES = 1 << 20
_ID = re.compile(rb"(?:^|\n)id: ?(\d{1,15})\r?(?:\n|$)")


class EventRelay:
    """Splits an upstream's bytes into events; `last_id` is that of the last event passed on."""

    __slots__ = ("_run_start_count", "_tail", "count", "last_id")

    def __init__(self, last_id: int | None):
        self.last_id = last_id
        self.count = 0
        self._run_start_count = 0
        self._tail = b""

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
        self._tail = b""

    def feed(self, chunk: bytes) -> bytes:
        """Return the complete new events.

        Raise AnswerBroken if one is too large, or if one of a resumed run has no id, since nothing
        shows then that it belongs to the stream.
        """
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
            if not self.resumed:
                return True
            if event.startswith(b":"):
                return False
            raise AnswerBroken("an event of a resumed stream has no id")
        number = int(found.group(1))
        if self.last_id is not None and number <= self.last_id:
            return False
        self.last_id = number
        self.count += 1
        return True

    def _keep_tail(self, tail: bytes) -> None:
        if len(tail) > MAX_EVENT_BYTES:
            raise AnswerBroken("an event exceeds the size limit")
        self._tail = tail
