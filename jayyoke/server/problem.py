"""Problem documents (RFC 9457) for refusals."""

from __future__ import annotations

import json
import math

from aiohttp import web

from jayyoke.core.error import Refusal


def format_problem(refusal: Refusal, request_id: str) -> web.Response:
    """Return the response of a refusal."""
    document = {
        "type": f"urn:jayyoke:problem:{refusal.code}",
        "title": refusal.code,
        "status": refusal.status,
        "detail": refusal.detail,
        "code": refusal.code,
        "request_id": request_id,
    }
    headers = {"Jayyoke-Run": refusal.run.value, "X-Request-Id": request_id}
    if refusal.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, math.ceil(refusal.retry_after_s)))
    return web.Response(
        status=refusal.status,
        body=json.dumps(document).encode(),
        content_type="application/problem+json",
        headers=headers,
    )
