"""Problem documents (RFC 9457) for refusals."""

from __future__ import annotations

import json
import math
import secrets

from aiohttp import web

from jayyoke.core.error import Refusal

_ERROR_TYPES = {401: "authentication_error", 403: "permission_error", 429: "rate_limit_error"}


def make_request_id() -> str:
    """Return a random id for a request that came without a usable one."""
    return secrets.token_hex(16)


def format_problem(refusal: Refusal, request_id: str) -> web.Response:
    """Return the HTTP response for a refusal; chat-completions clients read the `error` member."""
    kind = "server_error" if refusal.status >= 500 else "invalid_request_error"
    document = {
        "type": f"urn:jayyoke:problem:{refusal.code}",
        "title": refusal.code,
        "status": refusal.status,
        "detail": refusal.detail,
        "code": refusal.code,
        "request_id": request_id,
        "error": {
            "message": refusal.detail,
            "type": _ERROR_TYPES.get(refusal.status, kind),
            "param": None,
            "code": refusal.code,
        },
    }
    headers = {"Jayyoke-Run": refusal.run_state.value, "X-Request-Id": request_id}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after_s)))
    if refusal.status == 401:
        headers["WWW-Authenticate"] = "Bearer"
    return web.Response(
        status=refusal.status,
        body=json.dumps(document).encode(),
        content_type="application/problem+json",
        headers=headers,
    )
