"""Class kind `chat`: streams from a model engine."""

from __future__ import annotations

import json
from typing import Any

import aiohttp
from aiohttp import web

from jayyoke.core.error import AnswerBroken, ConnectFailed, Refusal, Run
from jayyoke.core.kernel import register
from jayyoke.core.request import CallerRequest
from jayyoke.ops.decisions import log_decision
from jayyoke.ops.node import Node
from jayyoke.ops.placement import Placement

__plugins__ = ("handle_chat",)


@register("class", "chat")
async def handle_chat(node: Node, request: CallerRequest, http: web.Request) -> web.StreamResponse:
    """Relay the stream of the chosen engine to the caller."""
    placement = await node.placer.place(request)
    log_decision(request, placement.upstream.name, placement.reason, placement.passed_over)
    try:
        return await _relay(node, request, http, placement)
    except ConnectFailed as error:
        raise Refusal(503, "upstream-unreachable", str(error), Run.NOT_RUN, 1.0) from error
    except AnswerBroken as error:
        raise Refusal(502, "answer-broken", str(error), Run.UNKNOWN) from error
    finally:
        node.placer.release(request, placement)


async def _relay(
    node: Node, request: CallerRequest, http: web.Request, placement: Placement
) -> web.StreamResponse:
    body: dict[str, Any] = json.loads(request.body)
    stream = bool(body.get("stream"))
    body["stream"] = True
    url = f"{placement.upstream.url}/v1/chat/completions"
    headers = {"X-Request-Id": request.request_id, "X-Priority": str(request.spec.priority)}
    timeout = aiohttp.ClientTimeout(total=request.spec.within_s, sock_connect=1.0)
    try:
        async with node.http.post(url, json=body, headers=headers, timeout=timeout) as answer:
            if stream:
                return await _relay_events(request, http, answer)
            return await _collect(request, body, answer)
    except aiohttp.ClientConnectorError as error:
        raise ConnectFailed(str(error)) from error
    except (TimeoutError, aiohttp.ClientError) as error:
        raise AnswerBroken(type(error).__name__) from error


async def _relay_events(
    request: CallerRequest, http: web.Request, answer: aiohttp.ClientResponse
) -> web.StreamResponse:
    response = web.StreamResponse(headers={"X-Request-Id": request.request_id})
    response.content_type = "text/event-stream"
    await response.prepare(http)
    async for chunk in answer.content.iter_any():
        await response.write(chunk)
    await response.write_eof()
    return response


async def _collect(
    request: CallerRequest, body: dict[str, Any], answer: aiohttp.ClientResponse
) -> web.Response:
    parts = []
    async for line in answer.content:
        if not line.startswith(b"data: {"):
            continue
        event = json.loads(line[6:])
        parts.append(event["choices"][0]["delta"].get("content", ""))
    message = {"role": "assistant", "content": "".join(parts)}
    choice = {"index": 0, "message": message, "finish_reason": "stop"}
    whole = {
        "id": request.request_id,
        "object": "chat.completion",
        "created": 0,
        "model": body["model"],
        "choices": [choice],
    }
    return web.json_response(whole, headers={"X-Request-Id": request.request_id})
