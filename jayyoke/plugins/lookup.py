"""Class kind `lookup`: repeatable calls of a plain service, with earlier answers as a fallback."""

from __future__ import annotations

import asyncio

from aiohttp import web

from jayyoke.core.error import AnswerBroken, Refusal, RunState, UpstreamError
from jayyoke.core.registry import register
from jayyoke.core.request import CallerRequest
from jayyoke.ops.decisionlog import log_decision
from jayyoke.ops.forward import Answer, call_plain
from jayyoke.ops.hedge import call_hedged
from jayyoke.ops.node import Node
from jayyoke.ops.requestdrain import refuse_stopped

__plugins__ = ("handle_lookup",)


@register("class", "lookup")
async def handle_lookup(
    node: Node, request: CallerRequest, http_request: web.Request
) -> web.StreamResponse:
    """Call the service, retry on other upstreams, and fall back on an earlier answer."""
    headers = {"X-Request-Id": request.request_id}
    try:
        answer = await _call_until_stopped(node, request)
        node.durable_work.stale.store(request, answer)
    except Refusal:
        stale = node.durable_work.stale.find(request)
        if stale is None:
            raise
        answer = stale.answer
        headers |= {"Jayyoke-Stale": "true", "Age": str(int(stale.age_s))}
    headers["Content-Type"] = answer.content_type
    return web.Response(status=answer.status, body=answer.body, headers=headers)


async def _call_until_stopped(node: Node, request: CallerRequest) -> Answer:
    try:
        async with node.drain.limit():
            return await _call_repeatedly(node, request)
    except TimeoutError:
        raise refuse_stopped(True) from None


async def _call_repeatedly(node: Node, request: CallerRequest) -> Answer:
    """Return the first final answer within the deadline; raise Refusal."""
    tried: list[str] = []
    attempts = request.class_spec.max_repeats + 1
    while len(tried) < attempts:
        tried_before = len(tried)
        left_s = request.deadline_s - node.clock.now_s()
        if left_s <= 0:
            break
        # A silent upstream must leave time for the attempts that follow.
        timeout_s = left_s / (attempts - tried_before)
        try:
            if not tried:
                return await _call_hedged(node, request, tried, timeout_s)
            return await _call_upstream(node, request, tried, timeout_s)
        except _AttemptFailed:
            continue
        except Refusal:
            if not tried:
                raise
            break
    raise Refusal(504, "no-answer", f"{len(tried)} upstreams did not answer", RunState.UNKNOWN, 1.0)


class _AttemptFailed(UpstreamError):
    """Reports an attempt without a final answer."""


async def _call_hedged(
    node: Node, request: CallerRequest, tried: list[str], timeout_s: float
) -> Answer:
    """Return the answer of the first attempt, or of a hedge once that attempt is late."""
    hedges = node.limits.hedges
    began_s = node.clock.now_s()

    async def attempt_first() -> Answer:
        try:
            answer = await _call_upstream(node, request, tried, timeout_s)
        except asyncio.CancelledError:
            # Attempts that lose to a hedge count too; without them, each hedge would shorten the
            # measured latencies and so the delay of later hedges.
            hedges.observe(request.class_spec, node.clock.now_s() - began_s)
            raise
        hedges.observe(request.class_spec, node.clock.now_s() - began_s)
        return answer

    async def attempt_hedge() -> Answer:
        left_s = request.deadline_s - node.clock.now_s()
        try:
            return await _call_upstream(node, request, tried, left_s)
        except Refusal as refusal:
            # The first attempt may still answer.
            raise _AttemptFailed(str(refusal)) from refusal

    return await call_hedged(
        attempt_first, attempt_hedge, hedges.find_s(request.class_spec), node.limits.retries
    )


async def _call_upstream(
    node: Node, request: CallerRequest, tried: list[str], timeout_s: float
) -> Answer:
    """Call an upstream that is not in `tried` and add its name there; raise _AttemptFailed."""
    placement = await node.placer.place(request, exclude=tuple(tried))
    name = placement.upstream.name
    tried.append(name)
    log_decision(request, name, placement.reason, placement.passed_over)
    try:
        placer = node.placer
        answer = await call_plain(
            node.http,
            placement.upstream,
            request,
            timeout_s,
            placer.notices,
            placer.request_limits,
        )
        if not answer.final:
            raise AnswerBroken(f"{name} answered {answer.status}")
        return answer
    except UpstreamError as error:
        raise _AttemptFailed(f"{name}: {error}") from error
    finally:
        node.placer.release(request, placement)
