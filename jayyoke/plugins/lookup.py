"""Class kind `lookup`: repeatable calls of a plain service that always get an answer."""

from __future__ import annotations

import asyncio

from aiohttp import web

from jayyoke.core.error import AnswerBroken, Refusal, Run, UpstreamError
from jayyoke.core.kernel import register
from jayyoke.core.request import CallerRequest
from jayyoke.ops.decisions import log_decision
from jayyoke.ops.forward import Answer, call_plain
from jayyoke.ops.hedge import call_hedged
from jayyoke.ops.node import Node

__plugins__ = ("handle_lookup",)


@register("class", "lookup")
async def handle_lookup(
    node: Node, request: CallerRequest, http_request: web.Request
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
    placed: list[str] = []
    attempts = request.spec.repeat + 1
    while len(placed) < attempts:
        before = len(placed)
        left_s = request.deadline_s - node.clock.now_s()
        if left_s <= 0:
            break
        # A silent upstream must leave time for the attempts that follow.
        timeout_s = left_s / (attempts - before)
        try:
            if not placed:
                return await _call_first(node, request, placed, timeout_s)
            return await _call_once(node, request, placed, timeout_s)
        except _Failed:
            continue
        except Refusal:
            if not placed:
                raise
            break
    raise Refusal(504, "no-answer", f"{len(placed)} upstreams did not answer", Run.UNKNOWN, 1.0)


class _Failed(UpstreamError):
    """Reports an attempt without a good answer."""


async def _call_first(
    node: Node, request: CallerRequest, placed: list[str], timeout_s: float
) -> Answer:
    """Return the answer of the first attempt, or of a hedge once that attempt is late."""
    hedges = node.limits.hedges
    began_s = node.clock.now_s()

    async def first() -> Answer:
        try:
            answer = await _call_once(node, request, placed, timeout_s)
        except asyncio.CancelledError:
            # Without the attempts that a hedge beat, the delay would shrink with every hedge.
            hedges.observe(request.spec, node.clock.now_s() - began_s)
            raise
        hedges.observe(request.spec, node.clock.now_s() - began_s)
        return answer

    async def second() -> Answer:
        left_s = request.deadline_s - node.clock.now_s()
        try:
            return await _call_once(node, request, placed, left_s)
        except Refusal as refusal:
            # The first attempt may still answer.
            raise _Failed(str(refusal)) from refusal

    return await call_hedged(first, second, hedges.find_s(request.spec), node.limits.retries)


async def _call_once(
    node: Node, request: CallerRequest, placed: list[str], timeout_s: float
) -> Answer:
    """Call an upstream other than those in `placed`, which gains its name; raise _Failed."""
    placement = await node.placer.place(request, exclude=tuple(placed))
    name = placement.upstream.name
    placed.append(name)
    log_decision(request, name, placement.reason, placement.passed_over)
    try:
        answer = await call_plain(node.http, placement.upstream, request, timeout_s)
        if not answer.final:
            raise AnswerBroken(f"{name} answered {answer.status}")
        return answer
    except UpstreamError as error:
        raise _Failed(f"{name}: {error}") from error
    finally:
        node.placer.release(request, placement)
