"""Class kind `lookup`: repeatable calls of a plain service that always get an answer."""

from __future__ import annotations

from aiohttp import web

from jayyoke.core.error import AnswerBroken, Refusal, Run, UpstreamError
from jayyoke.core.kernel import register
from jayyoke.core.request import CallerRequest
from jayyoke.ops.decisions import log_decision
from jayyoke.ops.forward import Answer, call_plain
from jayyoke.ops.node import Node

__plugins__ = ("handle_lookup",)


@register("class", "lookup")
async def handle_lookup(
    node: Node, request: CallerRequest, http: web.Request
) -> web.StreamResponse:
    """Call the service, repeating on other upstreams, and fall back on an earlier answer."""
    headers = {"X-Request-Id": request.request_id}
    try:
        answer = await _call_repeatedly(node, request)
        node.durable.stale.store(request, answer)
    except Refusal:
        stale = node.durable.stale.find(request)
        if stale is None:
            raise
        answer = stale.answer
        headers |= {"Jayyoke-Stale": "true", "Age": str(int(stale.age_s))}
    headers["Content-Type"] = answer.content_type
    return web.Response(status=answer.status, body=answer.body, headers=headers)


async def _call_repeatedly(node: Node, request: CallerRequest) -> Answer:
    """Return the first good answer within the deadline; raise Refusal."""
    tried: tuple[str, ...] = ()
    attempts = request.spec.repeat + 1
    for attempt in range(attempts):
        left_s = request.deadline_s - node.clock.now_s()
        if left_s <= 0:
            break
        try:
            # A silent upstream must leave time for the attempts that follow.
            answer = await _call_once(node, request, tried, left_s / (attempts - attempt))
        except _Failed as failed:
            tried = (*tried, failed.upstream)
            continue
        except Refusal:
            if not tried:
                raise
            break
        return answer
    raise Refusal(504, "no-answer", f"{len(tried)} upstreams did not answer", Run.UNKNOWN, 1.0)


class _Failed(Exception):
    """Names the upstream that gave no good answer."""

    def __init__(self, upstream: str):
        super().__init__(upstream)
        self.upstream = upstream


async def _call_once(
    node: Node, request: CallerRequest, tried: tuple[str, ...], timeout_s: float
) -> Answer:
    placement = await node.placer.place(request, exclude=tried)
    name = placement.upstream.name
    log_decision(request, name, placement.reason, placement.passed_over)
    try:
        answer = await call_plain(node.http, placement.upstream, request, timeout_s)
        if answer.status >= 500:
            raise AnswerBroken(f"{name} answered {answer.status}")
        return answer
    except UpstreamError as error:
        raise _Failed(name) from error
    finally:
        node.placer.release(request, placement)
