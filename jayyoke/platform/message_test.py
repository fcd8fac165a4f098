"""Tests of decoding and encoding the heads of requests and answers."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jayyoke.platform.message import (
    LoadReport,
    PromptPart,
    decode_answer,
    decode_request,
    encode_request,
    select_answer_headers,
)

HEADERS = (
    (b"Host", b"h"),
    (b"Request-Id", b"r1"),
    (b"Authorization", b"Bearer key"),
    (b"Connection", b"keep-alive, X-Once"),
    (b"X-Once", b"1"),
    (b"Accept", b"a"),
    (b"Accept", b"b"),
    (b"Retain", b"x"),
    (b"Content-Length", b"9"),
)


def encode(**fields: object) -> list[bytes]:
    values = {"deadline_s": 1.2, "upstream": "u1", "team": "yard", "last_event": None} | fields
    data = encode_request("POST", b"/a%2fb?", HEADERS, b"body", **values)
    return data.split(b"\r\n")


class TestRequest:
    def test_target_and_repeated_headers_are_forwarded_unchanged(self):
        lines = encode()
        assert lines[0] == b"POST /a%2fb? HTTP/1.1"
        assert [line for line in lines if line.startswith(b"Accept")] == [
            b"Accept: a",
            b"Accept: b",
        ]

    def test_hop_by_hop_and_own_headers_are_dropped(self):
        text = b"\n".join(encode()).lower()
        for name in (b"x-once", b"retain", b"connection", b"authorization"):
            assert name + b":" not in text
        assert b"content-length: 4" in text

    def test_credentials_are_forwarded_if_no_teams_are_defined(self):
        assert b"Authorization: Bearer key" in encode(team=None)

    def test_resumption_and_fetch_are_added(self):
        lines = encode(last_event=7, fetch_from="10.0.0.2:80")
        assert b"Last-Event-Id: 7" in lines
        assert b"Kv-Fetch: 10.0.0.2:80" in lines

    def test_prompt_and_deadline_are_decoded(self):
        head = decode_request(
            (
                (b"prefix-hash", b"a:10,b:20, c:5"),
                (b"deadline-ms", b"1500"),
                (b"Token-Usage", b"35,80"),
            )
        )
        assert head.parts == (PromptPart("a", 10), PromptPart("b", 20), PromptPart("c", 5))
        assert (head.deadline_s, head.prompt_tokens, head.output_tokens) == (1.5, 35, 80)

    @given(
        st.dictionaries(
            st.sampled_from(
                [b"Prefix-Hash", b"Deadline-Ms", b"Token-Usage", b"Last-Event-Id", b"Authorization"]
            ),
            st.binary(max_size=40),
        )
    )
    def test_malformed_values_count_as_missing(self, headers):
        """Guards against a header whose malformed value closes the connection unanswered."""
        head = decode_request(tuple(headers.items()))
        assert head.deadline_s is None or head.deadline_s >= 0


class TestAnswer:
    def test_load_and_keep_alive(self):
        head = decode_answer(
            ((b"Worker-Load", b"3,0,8"), (b"Keep-Alive", b"timeout=5, max=9"), (b"X", b"y"))
        )
        assert head.load == LoadReport(3, 0, 8)
        assert head.keep_alive_s == 5.0
        assert not head.not_run

    @pytest.mark.parametrize("value", [b"", b"3,0", b"a,b,c", b"-1,0,8"])
    def test_malformed_load_is_none(self, value):
        assert decode_answer(((b"Worker-Load", value),)).load is None

    def test_content_length_of_the_upstream_is_dropped(self):
        kept = select_answer_headers(((b"Content-Length", b"4"), (b"Worker-Signature", b"s")))
        assert kept == [("Worker-Signature", "s")]
