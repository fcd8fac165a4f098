"""Class kind `once`: calls of a plain service that must run at most once."""

from __future__ import annotations

from aiohttp import web

from jayyoke.core.code import OUTCOME_UNKNOWN, refuse_maybe_run
from jayyoke.core.registry import register
from jayyoke.core.request import CallerRequest
from jayyoke.ops.node import Node

__plugins__ = ("handle_once",)


@register("class", "once")
async def handle_once(
    node: Node, request: CallerRequest, http_request: web.Request
) -> web.StreamResponse:
    """Run the request at most once, or replay the recorded answer of its key."""
    try:
        async with node.drain.limit():
            outcome = await node.durable_work.once.run(request)
    except TimeoutError:
        detail = "this instance stopped before the outcome was known"
        raise refuse_maybe_run(502, OUTCOME_UNKNOWN, detail) from None
    answer = outcome.answer
    headers = {"X-Request-Id": request.request_id, "Content-Type": answer.content_type}
    if outcome.replayed:
        headers["Jayyoke-Replayed"] = "true"
    return web.Response(status=answer.status, body=answer.body, headers=headers)
