"""Decodes heads of callers' requests and upstreams' answers, and encodes forwarded requests."""

from __future__ import annotations

import math
import re
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import UTC
from email.utils import parsedate_to_datetime

from jayyoke.core.notice import NO_NOTICE, Notice
from jayyoke.platform import names

_SECONDS = re.compile(rb"[0-9]{1,12}(\.[0-9]{1,12})?")
_RATE = re.compile(rb"[0-9]{1,15}(\.[0-9]{1,30})?")
# What a part of a prompt may have after its tokens.
_PART_END = re.compile(rb"[:;]")
RawHeaders = Iterable[tuple[bytes, bytes]]
MAX_INTEGER_DIGITS = 15
# Load reports give the time that work takes as a percentage of the usual time.
USUAL_PERCENT = 100
# The least urgent priority that engines know; 0 is the most urgent.
MAX_PRIORITY = 9


@dataclass(frozen=True, slots=True)
class PromptPart:
    """Identifies a part of a prompt that other prompts may share, and its size in tokens."""

    id: str
    tokens: int


@dataclass(frozen=True, slots=True)
class RequestHead:
    """Holds the decoded headers of a caller's request; deadline_s is None if it has none.

    `last_event` is the id of the last event that the caller received of the stream that it
    resumes, or None.
    """

    request_id: str
    deadline_s: float | None
    team_key: str
    parts: tuple[PromptPart, ...]
    prompt_tokens: int
    output_tokens: int
    last_event: bytes | None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Holds the load that an upstream reports with its answer.

    `slowness` is how many times longer work takes there now than usual, or None if not reported.
    """

    running: int
    waiting: int
    slots: int
    slowness: float | None = None


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Holds the decoded headers of an upstream's answer.

    `not_run` means that the upstream declares not to have run the request. `keep_alive_s` is how
    long it keeps an idle connection open, or None if it does not say.
    """

    request_id: str
    signed: bool
    not_run: bool
    load: LoadReport | None
    warm_up_left_s: float | None
    keep_alive_s: float | None
    close: bool
    encoded: bool
    event_stream: bool = False

    @property
    def genuine(self) -> bool:
        """Tell whether a successful answer is the upstream's own and names its request.

        Requests ask for no encoding, so an encoded body is not the one that the upstream signed.
        """
        return self.signed and bool(self.request_id) and not self.encoded


def decode_request(headers: RawHeaders) -> RequestHead:
    """Return the head of a caller's request; malformed values count as missing."""
    values: dict[bytes, bytes] = {}
    for name, value in headers:
        field = name.lower()
        if field == names.PROMPT_PARTS and field in values:
            # A list may be sent as several fields (RFC 9110, section 5.3).
            value = values[field] + b"," + value
        values[field] = value
    key = values.get(names.AUTHORIZATION, b"").decode("latin-1")
    prompt, output = _decode_token_counts(values.get(names.TOKEN_COUNTS, b""))
    deadline_ms = _decode_integer(values.get(names.DEADLINE))
    return RequestHead(
        request_id=values.get(names.REQUEST_ID, b"").decode("latin-1"),
        deadline_s=None if deadline_ms is None else deadline_ms / 1000,
        team_key=key[len(names.BEARER) :].strip() if key.startswith(names.BEARER) else "",
        parts=_decode_parts(values.get(names.PROMPT_PARTS, b"")),
        prompt_tokens=prompt,
        output_tokens=output,
        last_event=values.get(names.LAST_EVENT, b"").strip() or None,
    )


def decode_answer(headers: RawHeaders) -> AnswerHead:
    """Return the head of an upstream's answer; malformed values count as missing."""
    values = {name.lower(): value for name, value in headers}
    warm_up_ms = _decode_integer(values.get(names.COLD_LEFT))
    return AnswerHead(
        request_id=values.get(names.REQUEST_ID, b"").decode("latin-1"),
        signed=names.SIGNATURE in values,
        not_run=names.NOT_RUN in values,
        load=_decode_load(values.get(names.UPSTREAM_LOAD)),
        warm_up_left_s=None if warm_up_ms is None else warm_up_ms / 1000,
        keep_alive_s=_decode_keep_alive(values.get(names.KEEP_ALIVE)),
        close=b"close" in values.get(names.CONNECTION, b"").lower(),
        encoded=names.CONTENT_ENCODING in values,
        event_stream=values.get(names.CONTENT_TYPE, b"").lower().startswith(names.EVENT_STREAM),
    )


def decode_notice(status: int, headers: RawHeaders, unix_s: float) -> Notice:
    """Return what an answer says of its upstream; malformed values count as missing.

    `unix_s` is the time now, for a pause that is given as a date (RFC 9110, section 10.2.3). The
    lowest of several limits counts.
    """
    if status == 421:
        # Another upstream has answered.
        return NO_NOTICE
    leaving = False
    pause_s = None
    limit_per_s = None
    for name, value in headers:
        match name.lower():
            case names.LEAVING:
                leaving = leaving or _drop_parameters(value) == b"1"
            case names.LIMIT if _RATE.fullmatch(limit := _drop_parameters(value)):
                limit_per_s = min(float(limit), math.inf if limit_per_s is None else limit_per_s)
            case names.PAUSE if status == 503:
                pause_s = _decode_pause(value.strip(), unix_s)
    if not leaving and pause_s is None and limit_per_s is None:
        return NO_NOTICE
    return Notice(leaving, pause_s, limit_per_s)


def encode_request_head(
    method: str,
    target: bytes,
    headers: RawHeaders,
    body_bytes: int | None,
    *,
    deadline_s: float,
    upstream: str,
    team: str | None,
    last_event: bytes | None,
    fetch_from: str = "",
    rank: int | None = None,
) -> bytes:
    """Return the head of a request for one upstream; the target is forwarded unchanged.

    `fetch_from` is the address of an engine that has the prompt in its cache. A team of None means
    that the configuration defines no teams; the caller's credentials are then forwarded. `rank` is
    sent as the request's priority; engines assume a middle one if it is None.
    """
    lines = [b"%s %s HTTP/1.1" % (method.encode("latin-1"), target)]
    dropped = _list_dropped_headers(headers)
    if team is None:
        dropped -= {names.AUTHORIZATION}
    for name, value in headers:
        if name.lower() not in dropped:
            lines.append(b"%s: %s" % (name, value))
    lines.append(b"%s: %d" % (names.SEND_DEADLINE, max(1, int(deadline_s * 1000))))
    lines.append(b"%s: %s" % (names.SEND_EXPECTED, upstream.encode("latin-1", "replace")))
    if team:
        lines.append(b"%s: %s" % (names.SEND_TEAM, team.encode("utf-8")))
    if fetch_from:
        lines.append(b"%s: %s" % (names.SEND_FETCH, fetch_from.encode("latin-1")))
    if rank is not None:
        lines.append(b"%s: %d" % (names.SEND_PRIORITY, min(MAX_PRIORITY, max(0, rank))))
    if last_event is not None:
        lines.append(b"%s: %s" % (names.SEND_LAST_EVENT, last_event))
    if body_bytes is not None:
        lines.append(b"Content-Length: %d" % body_bytes)
    return b"\r\n".join(lines) + b"\r\n\r\n"


def select_answer_headers(headers: RawHeaders) -> list[tuple[str, str]]:
    """Return the upstream's headers that are forwarded to the caller."""
    dropped = names.HOP_BY_HOP | {names.CONTENT_LENGTH} | _list_connection_headers(headers)
    kept = []
    for name, value in headers:
        if name.lower() in dropped:
            continue
        kept.append((name.decode("latin-1"), value.decode("utf-8", "surrogateescape")))
    return kept


def _list_dropped_headers(headers: RawHeaders) -> frozenset[bytes]:
    replaced = {names.CONTENT_LENGTH, names.DEADLINE, names.AUTHORIZATION, names.LAST_EVENT}
    return names.HOP_BY_HOP | names.OWN_HEADERS | replaced | _list_connection_headers(headers)


def _list_connection_headers(headers: RawHeaders) -> frozenset[bytes]:
    """Return the names of the headers that the Connection header declares hop-by-hop."""
    found = set()
    for name, value in headers:
        if name.lower() == names.CONNECTION:
            found.update(part.strip() for part in value.lower().split(b","))
    return frozenset(found)


def _decode_integer(value: bytes | None) -> int | None:
    digits = _drop_parameters(value or b"")
    if not digits.isdigit() or len(digits) > MAX_INTEGER_DIGITS:
        return None
    return int(digits)


def _drop_parameters(value: bytes) -> bytes:
    """Return an item without its parameters (RFC 9651, section 3.1.2), which may be added later."""
    return value.partition(b";")[0].strip()


def _decode_pause(value: bytes, unix_s: float) -> float | None:
    """Return a pause in seconds, given as a number or as a date."""
    seconds = _drop_parameters(value)
    if _SECONDS.fullmatch(seconds):
        return float(seconds)
    try:
        until = parsedate_to_datetime(value.decode("ascii"))
        # A date without a zone is in UTC.
        until_s = (until if until.tzinfo else until.replace(tzinfo=UTC)).timestamp()
    except (ValueError, OverflowError):
        return None
    return until_s - unix_s if until_s > unix_s else None


def _decode_parts(value: bytes) -> tuple[PromptPart, ...]:
    """Return the parts of a prompt, however many; the operator's limit bounds the header."""
    parts = []
    for item in value.split(b","):
        name, _, described = item.strip().partition(b":")
        tokens = _PART_END.split(described, maxsplit=1)[0]
        if name and tokens.isdigit() and len(tokens) <= MAX_INTEGER_DIGITS:
            parts.append(PromptPart(name.decode("latin-1"), int(tokens)))
    return tuple(parts)


def _decode_token_counts(value: bytes) -> tuple[int, int]:
    prompt, output, *_ = (*value.split(b","), b"", b"")
    return _decode_integer(prompt.strip()) or 0, _decode_integer(output.strip()) or 0


def _decode_load(value: bytes | None) -> LoadReport | None:
    if value is None:
        return None
    running, waiting, slots, percent, *_ = (
        *(_decode_integer(part.strip()) for part in value.split(b",")),
        *[None] * 4,
    )
    if running is None or waiting is None or slots is None:
        return None
    # The figure is absent on older machines; a useless one must not cost the rest of the report.
    return LoadReport(running, waiting, slots, percent / USUAL_PERCENT if percent else None)


def _decode_keep_alive(value: bytes | None) -> float | None:
    for part in (value or b"").lower().split(b","):
        name, _, number = _drop_parameters(part).partition(b"=")
        if name == b"timeout" and number.isdigit():
            return float(number)
    return None
