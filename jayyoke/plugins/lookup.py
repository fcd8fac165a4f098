"""Class kind `lookup`: repeatable calls of a plain service."""

from __future__ import annotations

from aiohttp import web

from jayyoke.core.error import AnswerBroken, AnswerMismatched, ConnectFailed, Refusal, Run
from jayyoke.core.kernel import register
from jayyoke.core.request import CallerRequest
from jayyoke.ops.decisions import log_decision
from jayyoke.ops.forward import call_plain
from jayyoke.ops.node import Node

__plugins__ = ("handle_lookup",)


@register("class", "lookup")
async def handle_lookup(
    node: Node, request: CallerRequest, http: web.Request
) -> web.StreamResponse:
    """Call the service, repeating on another upstream as often as the class allows."""
    tried: tuple[str, ...] = ()
    for _ in range(request.spec.repeat + 1):
        placement = await node.placer.place(request, exclude=tried)
        log_decision(request, placement.upstream.name, placement.reason, placement.passed_over)
        remaining_s = request.deadline_s - node.clock.now_s()
        try:
            answer = await call_plain(node.http, placement.upstream, request, remaining_s)
        except (ConnectFailed, AnswerBroken, AnswerMismatched):
            tried = (*tried, placement.upstream.name)
            continue
        finally:
            node.placer.release(request, placement)
        headers = {"X-Request-Id": request.request_id, "Content-Type": answer.content_type}
        return web.Response(status=answer.status, body=answer.body, headers=headers)
    raise Refusal(504, "no-answer", f"{len(tried)} upstreams did not answer", Run.UNKNOWN, 1.0)
