"""Server-sent events of an engine's answer: whole frames, tokens counted without parsing JSON.

JSON escapes quotation marks within strings, so the patterns cannot match text that a model wrote.
"""

from __future__ import annotations

import json
import re
from typing import Any

from jayyoke.core.error import AnswerBroken

MAX_FRAME_BYTES = 1 << 20
# Comments and other frames between two tokens; an engine that sends more sends no answer.
MAX_IDLE_BYTES = 1 << 20
DONE = b"data: [DONE]\n\n"
_TOKEN = re.compile(rb'"(?:content|reasoning_content|reasoning|arguments|refusal)"\s*:\s*"(?!")')
_FINISH = re.compile(rb'"finish_reason"\s*:\s*"')
_USAGE = re.compile(rb'"usage"\s*:\s*\{')
_ERROR = re.compile(rb'data:\s*\{\s*"error"\s*:\s*[^n\s]')
_DONE = re.compile(rb"data:\s*\[DONE\]")
# Most events look like one of these; searches of bytes are 20 times faster than patterns.
_PLAIN = ((b'"delta": {"content": "', b'"content": ""'), (b'"delta":{"content":"', b'"content":""'))
_COMMENT = 0x3A
# Every event begins with one of these fields, as the standard of server-sent events names them.
_FIELDS = (b"data", b"event", b"id", b"retry")


class Frames:
    """Cuts one or more connections' bytes into frames and keeps what belongs to one answer.

    A frame with text counts as one token. Incomplete frames of a broken connection are dropped, as
    are end marks and usage events, which the relay writes itself.
    """

    __slots__ = (
        "_error",
        "_idle_bytes",
        "_resumed",
        "_tail",
        "done",
        "finished",
        "started",
        "tokens",
        "usage",
    )

    def __init__(self) -> None:
        self.tokens = 0
        self.started = False
        self.finished = False
        self.done = False
        self.usage: dict[str, Any] | None = None
        self._tail = b""
        self._idle_bytes = 0
        self._resumed = False
        self._error = False

    def restart(self) -> None:
        """Begin the bytes of another connection that continues the same answer."""
        self._tail = b""
        self._idle_bytes = 0
        self._resumed = self.started
        self.done = False
        self._error = False

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole frames to deliver, up to an error event, which sets `failed`.

        Raise AnswerBroken on an event that exceeds the size limit, or on bytes without tokens.
        """
        tokens = self.tokens
        whole = self._cut(chunk)
        self._idle_bytes = 0 if self.tokens != tokens else self._idle_bytes + len(chunk)
        if self._idle_bytes > MAX_IDLE_BYTES:
            raise AnswerBroken("the engine sends bytes without tokens")
        return whole

    def _cut(self, chunk: bytes) -> bytes:
        data = self._tail + chunk if self._tail else chunk
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        cut = data.rfind(b"\n\n") + 2
        if cut == 1:
            self._hold(data)
            return b""
        self._hold(data[cut:])
        if cut != len(data):
            data = data[:cut]
        if self.finished or self.done:
            return self._sift(data)
        at = data.rfind(b"\n\n", 0, _find_finish(data)) + 2
        if at <= 1:
            return self._sift(data)
        if at == len(data):
            return self._count(data)
        return self._count(data[:at]) + self._sift(data[at:])

    def _count(self, data: bytes) -> bytes:
        """Count events before the finish event; if each has text, none needs a closer look."""
        events = data.count(b"\n\n")
        for plain, empty in _PLAIN:
            if data.count(plain) == events and empty not in data:
                self.tokens += events
                self.started = True
                return data
        return self._sift(data)

    def _sift(self, data: bytes) -> bytes:
        kept = []
        for part in data.split(b"\n\n"):
            if part and self._keep(part):
                kept.append(part + b"\n\n")
        return b"".join(kept)

    @property
    def failed(self) -> bool:
        """Tell whether the engine sent an error event on this connection."""
        return self._error

    def _hold(self, tail: bytes) -> None:
        if len(tail) > MAX_FRAME_BYTES:
            raise AnswerBroken("an event exceeds the size limit")
        self._tail = tail

    def _keep(self, frame: bytes) -> bool:
        """Count a frame and tell whether it goes to the caller."""
        if self._error or self.done:
            return False
        if frame[0] == _COMMENT:
            return self.started
        token = _TOKEN.search(frame) is not None
        finish = _FINISH.search(frame) is not None
        if _USAGE.search(frame) is not None and not self._note_usage(frame):
            return False
        if not token and not finish:
            return self._keep_other(frame)
        if self.finished:
            return False
        self.tokens += token
        self.started = True
        self.finished = finish
        return True

    def _keep_other(self, frame: bytes) -> bool:
        if _DONE.match(frame):
            self.done = True
            return False
        if _ERROR.match(frame):
            self._error = True
            return False
        # A resumed answer repeats the event that names the role.
        if self._resumed:
            return False
        if not frame.startswith(_FIELDS):
            raise AnswerBroken("the engine's bytes are no events")
        self.started = True
        return True

    def _note_usage(self, frame: bytes) -> bool:
        try:
            event = json.loads(frame.partition(b":")[2])
        except ValueError as error:
            raise AnswerBroken("the usage event is not JSON") from error
        if isinstance(event.get("usage"), dict):
            self.usage = event["usage"]
        return bool(event.get("choices"))


def _find_finish(data: bytes) -> int:
    """Return where a finish reason begins, or the length of the data."""
    at = len(data)
    # Other events have null here, and the finish event is the last one that has the member.
    found = data.rfind(b'"finish_reason"')
    while found != -1 and _FINISH.match(data, found) is not None:
        at = found
        found = data.rfind(b'"finish_reason"', 0, at)
    return at
