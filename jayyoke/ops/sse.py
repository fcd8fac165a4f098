"""Server-sent events of an engine's answer; tokens are counted without parsing JSON.

JSON escapes quotation marks within strings, so the patterns cannot match text that a model wrote.
"""

from __future__ import annotations

import re
from typing import Any

from jayyoke.core.error import AnswerBroken
from jayyoke.utils.heldbytes import HeldBytes
from jayyoke.utils.jsontext import parse_json

MAX_FRAME_BYTES = 1 << 20
# The limit of a frame while all answers together hold too much.
MAX_CROWDED_FRAME_BYTES = 32 << 10
# Limit of comments and other frames between two tokens; beyond it the answer counts as broken.
MAX_BYTES_WITHOUT_TOKENS = 1 << 20
DONE = b"data: [DONE]\n\n"
_TOKEN = re.compile(rb'"(?:content|reasoning_content|reasoning|arguments|refusal)"\s*:\s*"(?!")')
_FINISH = re.compile(rb'"finish_reason"\s*:\s*"')
_USAGE = re.compile(rb'"usage"\s*:\s*\{')
_ERROR = re.compile(rb'data:\s*\{\s*"error"\s*:\s*[^n\s]')
_DONE = re.compile(rb"data:\s*\[DONE\]")
# Most events contain the first form of a pair. Searching for bytes is 20 times faster than matching
# patterns.
_CONTENT_FORMS = (
    (b'"delta": {"content": "', b'"content": ""'),
    (b'"delta":{"content":"', b'"content":""'),
)
_COMMENT = 0x3A
# Every event begins with one of these fields of the standard for server-sent events.
_FIELD_NAMES = (b"data", b"event", b"id", b"retry")


class EventParser:
    """Cuts the bytes of one or more connections into the frames of one answer.

    A frame is an event or a comment; one with text counts as one token. Incomplete frames of a
    broken connection are dropped, and so are end marks and usage events, which the relay writes.
    `held` counts the bytes of incomplete frames over all answers; `close` frees those of this one.
    """

    __slots__ = (
        "_error",
        "_held",
        "_idle_bytes",
        "_resumed",
        "_tail",
        "done",
        "finished",
        "started",
        "tokens",
        "usage",
    )

    def __init__(self, held: HeldBytes | None = None) -> None:
        self._held = held or HeldBytes(MAX_FRAME_BYTES)
        self.tokens = 0
        self.started = False
        self.finished = False
        self.done = False
        self.usage: dict[str, Any] | None = None
        self._tail = b""
        self._idle_bytes = 0
        self._resumed = False
        self._error = False

    def begin_connection(self) -> None:
        """Start parsing another connection that continues the same answer."""
        self._replace_tail(b"")
        self._idle_bytes = 0
        self._resumed = self.started
        self.done = False
        self._error = False

    def close(self) -> None:
        """Drop an incomplete frame."""
        self._replace_tail(b"")

    def feed(self, chunk: bytes) -> bytes:
        """Return the whole frames to deliver, up to an error event, which sets `failed`.

        Raise AnswerBroken on an event that exceeds the size limit, or on bytes without tokens.
        """
        tokens = self.tokens
        whole_frames = self._take_whole_frames(chunk)
        self._idle_bytes = 0 if self.tokens != tokens else self._idle_bytes + len(chunk)
        if self._idle_bytes > MAX_BYTES_WITHOUT_TOKENS:
            raise AnswerBroken("the engine sends bytes without tokens")
        return whole_frames

    def _take_whole_frames(self, chunk: bytes) -> bytes:
        data = self._tail + chunk if self._tail else chunk
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        frames_end = data.rfind(b"\n\n") + 2
        if frames_end == 1:
            self._keep_incomplete(data)
            return b""
        self._keep_incomplete(data[frames_end:])
        if frames_end != len(data):
            data = data[:frames_end]
        if self.finished or self.done:
            return self._filter_frames(data)
        finish_start = data.rfind(b"\n\n", 0, _find_finish(data)) + 2
        if finish_start <= 1:
            return self._filter_frames(data)
        if finish_start == len(data):
            return self._count_tokens(data)
        return self._count_tokens(data[:finish_start]) + self._filter_frames(data[finish_start:])

    def _count_tokens(self, data: bytes) -> bytes:
        """Count the events before the finish event; if each has text, return them unfiltered."""
        events = data.count(b"\n\n")
        for content_form, empty_form in _CONTENT_FORMS:
            if data.count(content_form) == events and empty_form not in data:
                self.tokens += events
                self.started = True
                return data
        return self._filter_frames(data)

    def _filter_frames(self, data: bytes) -> bytes:
        accepted = []
        for part in data.split(b"\n\n"):
            if part and self._accept_frame(part):
                accepted.append(part + b"\n\n")
        return b"".join(accepted)

    @property
    def failed(self) -> bool:
        """Tell whether the engine sent an error event on this connection."""
        return self._error

    def _keep_incomplete(self, incomplete: bytes) -> None:
        self._replace_tail(incomplete)
        limit = MAX_CROWDED_FRAME_BYTES if self._held.exceeded else MAX_FRAME_BYTES
        if len(incomplete) > limit:
            raise AnswerBroken("an event exceeds the size limit")

    def _replace_tail(self, tail: bytes) -> None:
        self._held.change(len(tail) - len(self._tail))
        self._tail = tail

    def _accept_frame(self, frame: bytes) -> bool:
        """Count the tokens of a frame and tell whether it is sent to the caller."""
        if self._error or self.done:
            return False
        if frame[0] == _COMMENT:
            return self.started
        token = _TOKEN.search(frame) is not None
        finish = _FINISH.search(frame) is not None
        if _USAGE.search(frame) is not None and not self._parse_usage(frame):
            return False
        if not token and not finish:
            return self._accept_other_frame(frame)
        if self.finished:
            return False
        self.tokens += token
        self.started = True
        self.finished = finish
        return True

    def _accept_other_frame(self, frame: bytes) -> bool:
        if _DONE.match(frame):
            self.done = True
            return False
        if _ERROR.match(frame):
            self._error = True
            return False
        # A resumed answer repeats the event that names the role.
        if self._resumed:
            return False
        if not frame.startswith(_FIELD_NAMES):
            raise AnswerBroken("the engine's bytes are no events")
        self.started = True
        return True

    def _parse_usage(self, frame: bytes) -> bool:
        try:
            event = parse_json(frame.partition(b":")[2])
        except ValueError as error:
            raise AnswerBroken("the usage event is not JSON") from error
        if isinstance(event.get("usage"), dict):
            self.usage = event["usage"]
        return bool(event.get("choices"))


def _find_finish(data: bytes) -> int:
    """Return where a finish reason begins, or the length of the data."""
    finish_start = len(data)
    # Other events have null here; the finish event is the last one with the member.
    found = data.rfind(b'"finish_reason"')
    while found != -1 and _FINISH.match(data, found) is not None:
        finish_start = found
        found = data.rfind(b'"finish_reason"', 0, finish_start)
    return finish_start
