"""Events of a stream: whole ones go to the caller once and in order, also over several runs."""

from __future__ import annotations

import re

from jayyoke.core.error import AnswerBroken

MAX_EVENT_BYTES = 1 << 20
_ID = re.compile(rb"(?:^|\n)id: ?(\d{1,15})\r?(?:\n|$)")


class EventRelay:
    """Cuts an upstream's bytes into events; `last_id` is the last event passed on."""

    __slots__ = ("_began_at", "_tail", "count", "last_id")

    def __init__(self, last_id: int | None):
        self.last_id = last_id
        self.count = 0
        self._began_at = 0
        self._tail = b""

    @property
    def torn(self) -> bool:
        """Tell whether an event has begun and not ended."""
        return bool(self._tail.strip())

    @property
    def resumed(self) -> bool:
        """Tell whether the present run goes on with a stream of which events were passed on."""
        return self._began_at > 0

    @property
    def barren(self) -> bool:
        """Tell whether a resumed run has brought no event so far."""
        return self.resumed and self.count == self._began_at

    def restart(self) -> None:
        """Begin with the bytes of another run; an event that was cut off is dropped."""
        self._began_at = self.count
        self._tail = b""

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole new events.

        Raise AnswerBroken if one is too large, or if one of a resumed run has no id, since nothing
        shows then that it belongs to the stream.
        """
        data = self._tail + chunk
        cut = data.rfind(b"\n\n") + 2
        if cut == 1:
            self._hold(data)
            return b""
        self._hold(data[cut:])
        kept = []
        for event in data[:cut].split(b"\n\n"):
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

    def _hold(self, tail: bytes) -> None:
        if len(tail) > MAX_EVENT_BYTES:
            raise AnswerBroken("an event exceeds the size limit")
        self._tail = tail
