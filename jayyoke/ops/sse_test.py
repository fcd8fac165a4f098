"""Frames of an answer whose bytes are cut at arbitrary places."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from jayyoke.core.error import AnswerBroken
from jayyoke.ops.sse import MAX_BYTES_WITHOUT_TOKENS, EventParser

KINDS = ("token", "empty", "role", "comment", "reasoning", "quoted", "compact")


def format_frame(kind: str) -> bytes:
    if kind == "comment":
        return b": keep-alive\n\n"
    delta = {
        "token": {"content": " a"},
        "compact": {"content": " b"},
        "empty": {"content": ""},
        "role": {"role": "assistant"},
        "reasoning": {"content": "", "reasoning_content": "so"},
        "quoted": {"content": '"finish_reason": "stop" [DONE] "error" "content": "x"\n: no\n\n'},
    }[kind]
    event = {"choices": [{"index": 0, "delta": delta, "finish_reason": None}]}
    text = json.dumps(event, separators=(",", ":") if kind == "compact" else None)
    return f"data: {text}\n\n".encode()


END = b'data: {"choices": [{"delta": {}, "finish_reason": "stop"}]}\n\ndata: [DONE]\n\n'


class TestEventParser:
    @settings(max_examples=150, derandomize=True, deadline=None)
    @given(
        kinds=st.lists(st.sampled_from(KINDS), max_size=12),
        cuts=st.lists(st.integers(0, 3000), max_size=12),
        crlf=st.booleans(),
        broken_at=st.integers(0, 2500),
    )
    def test_count_and_bytes_are_those_of_a_simple_reader(self, kinds, cuts, crlf, broken_at):
        """Guards against tokens lost, doubled or split where a chunk ends within an event."""
        frames = [format_frame(kind) for kind in kinds]
        sent = b"".join(frames) + END
        whole = sent.replace(b"\n", b"\r\n") if crlf else sent
        # The first connection breaks somewhere; on the second, the engine resumes the answer.
        reader = EventParser()
        got = feed(reader, whole[:broken_at], cuts)
        tokens = [frame for frame, kind in zip(frames, kinds, strict=True) if is_token(kind)]
        delivered = reader.tokens
        assert delivered <= len(tokens)
        if not reader.finished:
            reader.begin_connection()
            rest = format_frame("role") + b"".join(tokens[delivered:]) + END
            got += feed(reader, rest, cuts)
        assert reader.tokens == len(tokens)
        assert reader.finished
        kept = [part + b"\n\n" for part in got.split(b"\n\n") if b"data: " in part]
        assert [part for part in kept if part in tokens] == tokens
        assert b"data: [DONE]" not in [part[:-2] for part in kept]


def is_token(kind: str) -> bool:
    return kind in ("token", "compact", "reasoning", "quoted")


def feed(reader: EventParser, data: bytes, cuts: list[int]) -> bytes:
    got = b""
    at = 0
    for cut in [*sorted(cuts), len(data)]:
        if cut > at and data[at:cut]:
            got += reader.feed(data[at:cut])
            at = cut
    return got


class TestEndless:
    @pytest.mark.parametrize("kind", ["comment", "empty", "role"])
    def test_bytes_without_tokens_end_the_answer(self, kind):
        """Guards against an engine that sends frames without tokens until the caller closes."""
        parser = EventParser()
        parser.feed(format_frame("token"))
        frame = format_frame(kind) * 1000
        with pytest.raises(AnswerBroken):
            for _ in range(2 + MAX_BYTES_WITHOUT_TOKENS // len(frame)):
                parser.feed(frame)
