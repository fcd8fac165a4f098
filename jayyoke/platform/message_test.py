"""Tests of decoding and encoding the heads of requests and answers."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from jayyoke.core.notice import NO_NOTICE, Notice
from jayyoke.platform.message import (
    LoadReport,
    PromptPart,
    decode_answer,
    decode_notice,
    decode_request,
    encode_request_head,
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
    data = encode_request_head("POST", b"/a%2fb?", HEADERS, 4, **values)
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
        lines = encode(last_event=b"7", fetch_from="10.0.0.2:80")
        assert b"Last-Event-Id: 7" in lines
        assert b"Kv-Fetch: 10.0.0.2:80" in lines

    def test_rank_is_sent_as_priority_only_where_asked_for(self):
        """Guards against changed requests to engines, and against priorities that none knows."""
        assert not any(line.lower().startswith(b"request-priority") for line in encode())
        assert b"Request-Priority: 0" in encode(rank=0)
        assert b"Request-Priority: 9" in encode(rank=12)

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

    def test_further_fields_of_a_prompt_and_deadline_are_ignored(self):
        """Guards against parts, counts and deadlines that are dropped for one field more."""
        head = decode_request(
            (
                (b"prefix-hash", b"a:10:x,b:20;kept=1, c:5"),
                (b"deadline-ms", b"1500;soft=1"),
                (b"Token-Usage", b"35,80,7"),
            )
        )
        assert head.parts == (PromptPart("a", 10), PromptPart("b", 20), PromptPart("c", 5))
        assert (head.deadline_s, head.prompt_tokens, head.output_tokens) == (1.5, 35, 80)

    def test_all_parts_of_a_long_prompt_are_decoded(self):
        """Guards against parts that nothing is known of since they come late in the prompt."""
        value = b",".join(b"%x:1" % number for number in range(3000))
        head = decode_request(((b"Prefix-Hash", value),))
        assert [part.id for part in head.parts] == [f"{number:x}" for number in range(3000)]

    def test_parts_in_several_fields_are_one_list(self):
        head = decode_request(((b"Prefix-Hash", b"a:1,b:2"), (b"prefix-hash", b"c:3")))
        assert [part.id for part in head.parts] == ["a", "b", "c"]

    @pytest.mark.parametrize(
        "tokens",
        [b"", b"x", b"-1", b"\xb2", b"9" * 5000],
        ids=["none", "letter", "sign", "superscript", "too-long"],
    )
    def test_part_with_malformed_tokens_is_left_out(self, tokens):
        """Guards against a caller who gets 500 for digits that are no number."""
        head = decode_request(((b"Prefix-Hash", b"a:1,b:" + tokens + b",c:3"),))
        assert [part.id for part in head.parts] == ["a", "c"]

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

    @pytest.mark.parametrize(
        ("value", "slowness"),
        [
            (b"3,0,8,250", 2.5),
            (b"3, 0, 8, 100", 1.0),
            (b"3,0,8,250,7", 2.5),
            (b"3,0,8,250;unit=percent", 2.5),
            (b"3,0,8,", None),
            (b"3,0,8,0", None),
            (b"3,0,8,-5", None),
            (b"3,0,8,fast", None),
            (b"3,0,8,,9", None),
        ],
    )
    def test_further_numbers_leave_the_load_readable(self, value, slowness):
        """Guards against load reports that are dropped for one number more or a useless one."""
        load = decode_answer(((b"Worker-Load", value),)).load
        assert load == LoadReport(3, 0, 8, slowness)

    @pytest.mark.parametrize(
        ("name", "value"),
        [(b"Warmup-Ms", b"900;note=x"), (b"Keep-Alive", b"timeout=5;unit=s, max=9, more=1")],
    )
    def test_parameters_of_a_header_are_ignored(self, name, value):
        """Guards against a header that is dropped for a parameter of a newer revision."""
        head = decode_answer(((name, value),))
        assert (head.warm_up_left_s, head.keep_alive_s) in ((0.9, None), (None, 5.0))

    @pytest.mark.parametrize("value", [b"", b"3,0", b"a,b,c", b"-1,0,8"])
    def test_malformed_load_is_none(self, value):
        assert decode_answer(((b"Worker-Load", value),)).load is None

    def test_content_length_of_the_upstream_is_dropped(self):
        kept = select_answer_headers(((b"Content-Length", b"4"), (b"Worker-Signature", b"s")))
        assert kept == [("Worker-Signature", "s")]


class TestNotice:
    """Tests what an answer says of its upstream."""

    NOON_S = 1_700_000_000.0

    @pytest.mark.parametrize(
        ("value", "pause_s"),
        [
            (b"3", 3.0),
            (b" 0.25 ", 0.25),
            (b"0", 0.0),
            (b"Tue, 14 Nov 2023 22:13:25 GMT", 5.0),
            (b"Tue, 14 Nov 2023 22:13:15 GMT", None),
            (b"-3", None),
            (b"+3", None),
            (b"1e3", None),
            (b"soon", None),
            (b"", None),
            (b"9" * 400, None),
            (b"Tue, 14 Nov 99999 22:13:25 GMT", None),
            (b"\xff\xfe", None),
            ("\u0663".encode(), None),
        ],
    )
    def test_pause_is_a_number_of_seconds_or_a_date(self, value, pause_s):
        """Guards against a pause that is misread, and against an error at a malformed one."""
        notice = decode_notice(503, ((b"Retry-After", value),), self.NOON_S)
        assert notice.pause_s == pause_s

    @pytest.mark.parametrize(
        ("status", "headers", "notice"),
        [
            (200, ((b"SERVER-LEAVING", b" 1"),), Notice(leaving=True)),
            (503, ((b"Server-Leaving", b"1"), (b"Retry-After", b"2")), Notice(True, 2.0)),
            (200, ((b"Server-Leaving", b"1;grace=3"),), Notice(leaving=True)),
            (503, ((b"Retry-After", b"2;jitter=1"),), Notice(pause_s=2.0)),
            (200, ((b"Server-Limit", b"4.5;window=1"),), Notice(limit_per_s=4.5)),
            (200, ((b"Server-Leaving", b"0"),), NO_NOTICE),
            (200, ((b"Retry-After", b"2"),), NO_NOTICE),
            (421, ((b"Server-Leaving", b"1"),), NO_NOTICE),
            (421, ((b"Server-Limit", b"1"),), NO_NOTICE),
        ],
    )
    def test_only_the_upstreams_own_word_counts(self, status, headers, notice):
        """Guards against the word of another upstream that has the address now."""
        assert decode_notice(status, headers, self.NOON_S) == notice

    @pytest.mark.parametrize(
        ("values", "limit_per_s"),
        [
            ((b"4.5",), 4.5),
            ((b" 0 ",), 0.0),
            ((b"0.1",), 0.1),
            ((b"1000000",), 1e6),
            ((b"7", b"3", b"5"), 3.0),
            ((b"7", b"soon"), 7.0),
            ((b"",), None),
            ((b"-1",), None),
            ((b"inf",), None),
            ((b"nan",), None),
            ((b"1e3",), None),
            ((b"0x10",), None),
            ((b"1,5",), None),
            ((b"9" * 400,), None),
            ((b"\xb2",), None),
        ],
    )
    def test_limit_is_a_decimal_number(self, values, limit_per_s):
        """Guards against a limit that is misread, and against an error at a malformed one."""
        headers = [(b"server-limit", value) for value in values]
        assert decode_notice(200, headers, self.NOON_S).limit_per_s == limit_per_s
        assert decode_notice(503, headers, self.NOON_S).limit_per_s == limit_per_s

    @given(st.binary(max_size=40))
    def test_any_value_is_read_or_ignored(self, value):
        """Guards against an answer that ends its request with an error."""
        limit_per_s = decode_notice(200, ((b"Server-Limit", value),), self.NOON_S).limit_per_s
        assert limit_per_s is None or 0.0 <= limit_per_s < 1e15
        pause_s = decode_notice(503, ((b"Retry-After", value),), self.NOON_S).pause_s
        assert pause_s is None or pause_s >= 0.0
