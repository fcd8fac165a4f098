"""Request bodies and problem documents (RFC 9457) of the operators' interface."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import asdict
from typing import Any

from aiohttp import web

from jayyoke.core.error import Effect, InvalidDocument, JayyokeError, StoreUnavailable
from jayyoke.utils.jsontext import parse_json

MAX_BODY_BYTES = 4 << 20


class OperatorProblem(JayyokeError):
    """Refuses an operator's request; `extra` becomes further members of the problem document."""

    def __init__(self, status: int, code: str, detail: str, extra: Mapping[str, Any] | None = None):
        super().__init__(f"{code}: {detail}")
        self.status = status
        self.code = code
        self.detail = detail
        self.extra = dict(extra or {})


async def read_json(http_request: web.Request) -> Any:
    """Return the JSON of a request body; raise OperatorProblem if it is too large or malformed."""
    try:
        body = await http_request.read()
    except web.HTTPRequestEntityTooLarge as error:
        detail = f"the body is larger than {MAX_BODY_BYTES} bytes"
        raise OperatorProblem(413, "body-too-large", detail) from error
    try:
        return parse_json(body)
    except ValueError as error:
        raise OperatorProblem(400, "malformed-body", "the body is not JSON") from error


def explain_findings(error: InvalidDocument) -> OperatorProblem:
    """Return the problem for an invalid document, with every finding."""
    findings = [asdict(finding) for finding in error.findings]
    detail = f"{len(findings)} findings; nothing was changed"
    return OperatorProblem(422, "invalid-configuration", detail, {"findings": findings})


def explain_outage(error: StoreUnavailable) -> OperatorProblem:
    """Return the problem for a change that the table did not confirm."""
    effect = "may have been made" if error.effect is Effect.UNKNOWN else "was not made"
    detail = f"the table does not answer; the change {effect} and can be repeated safely"
    return OperatorProblem(503, "table-unavailable", detail, {"effect": error.effect.value})


def format_operator_problem(problem: OperatorProblem) -> web.Response:
    """Return the HTTP response for a problem."""
    document = {
        "type": f"urn:jayyoke:problem:{problem.code}",
        "title": problem.code.replace("-", " "),
        "status": problem.status,
        "detail": problem.detail,
        "code": problem.code,
    }
    headers = {"Retry-After": "1"} if problem.status == 503 else {}
    return web.Response(
        status=problem.status,
        body=json.dumps(document | problem.extra).encode(),
        content_type="application/problem+json",
        headers=headers,
    )
