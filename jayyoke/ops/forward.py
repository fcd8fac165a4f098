"""Calls of upstreams over HTTP."""

from __future__ import annotations

from dataclasses import dataclass

import aiohttp

from jayyoke.core.error import AnswerBroken, AnswerMismatched, ConnectFailed
from jayyoke.core.request import CallerRequest
from jayyoke.core.upstream import Upstream


@dataclass(frozen=True, slots=True)
class Answer:
    """Holds the whole answer of a plain service."""

    status: int
    content_type: str
    body: bytes


async def call_plain(
    http: aiohttp.ClientSession, upstream: Upstream, request: CallerRequest, timeout_s: float
) -> Answer:
    """Return the answer of a plain service; raise an UpstreamError that tells what is known."""
    url = f"{upstream.url}/{request.path}"
    if request.query:
        url = f"{url}?{request.query}"
    headers = {"X-Request-Id": request.request_id, "Content-Type": request.content_type}
    headers["X-Deadline-Ms"] = str(int(timeout_s * 1000))
    if request.idempotency_key:
        headers["Idempotency-Key"] = request.idempotency_key
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    try:
        # A followed redirect would send a request that must not be repeated a second time.
        async with http.request(
            request.method,
            url,
            data=request.body,
            headers=headers,
            timeout=timeout,
            allow_redirects=False,
        ) as response:
            body = await response.read()
            echoed = response.headers.get("X-Request-Id")
            if echoed != request.request_id:
                response.close()
                raise AnswerMismatched(f"{upstream.name} answered for request {echoed!r}")
            return Answer(response.status, response.content_type, body)
    except aiohttp.ClientConnectorError as error:
        raise ConnectFailed(f"{upstream.name}: {error}") from error
    except (TimeoutError, aiohttp.ClientError) as error:
        raise AnswerBroken(f"{upstream.name}: {type(error).__name__}") from error
