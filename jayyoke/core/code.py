"""Stable codes of refusals; docs/refusals.md tells callers what to do about each."""

from __future__ import annotations

from jayyoke.core.error import Refusal, RunState

HEADER_INVALID = "header-invalid"
REQUEST_ID_INVALID = "request-id-invalid"
REQUEST_ID_IN_USE = "request-id-in-use"
IDEMPOTENCY_KEY_INVALID = "idempotency-key-invalid"
BODY_TOO_LARGE = "body-too-large"
BODY_TIMEOUT = "body-timeout"
BODIES_FULL = "bodies-full"
REQUESTS_FULL = "requests-full"
INPUT_FULL = "input-full"
MALFORMED_REQUEST = "malformed-request"
FIELD_INVALID = "field-invalid"
UNKNOWN_TEAM = "unknown-team"
UNKNOWN_CLASS = "unknown-class"
UNKNOWN_PATH = "unknown-path"
METHOD_NOT_ALLOWED = "method-not-allowed"
CLASS_NOT_ALLOWED = "class-not-allowed"
TEAM_OVER_SHARE = "team-over-share"
OVERLOADED = "overloaded"
DEADLINE_TOO_SHORT = "deadline-too-short"
NO_UPSTREAM = "no-upstream"
UPSTREAM_UNREACHABLE = "upstream-unreachable"
UPSTREAM_REJECTED = "upstream-rejected"
PART_QUARANTINED = "part-quarantined"
ANSWER_BROKEN = "answer-broken"
NO_ANSWER = "no-answer"
INTERNAL = "internal-error"
IDEMPOTENCY_KEY_MISSING = "idempotency-key-missing"
IDEMPOTENCY_KEY_REUSED = "idempotency-key-reused"
IN_PROGRESS = "in-progress"
OUTCOME_UNKNOWN = "outcome-unknown"
REPLY_EXPIRED = "reply-expired"
REPLY_FOREIGN = "reply-foreign"
REPLY_UNKNOWN = "reply-unknown"
REQUEST_ID_REUSED = "request-id-reused"
STOPPING = "stopping"
STORE_UNAVAILABLE = "store-unavailable"
TAG_NOT_DURABLE = "tag-not-durable"


def refuse(status: int, code: str, detail: str, retry_after_s: float | None = None) -> Refusal:
    """Return a refusal of a request of which nothing was dispatched."""
    return Refusal(status, code, detail, RunState.NOT_RUN, retry_after_s)


def refuse_maybe_run(
    status: int, code: str, detail: str, retry_after_s: float | None = None
) -> Refusal:
    """Return a refusal of a request that may have run."""
    return Refusal(status, code, detail, RunState.UNKNOWN, retry_after_s)
