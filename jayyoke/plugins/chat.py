"""Class kind `chat`: answers from model engines, streamed or whole."""

from __future__ import annotations

import json
from typing import Any

from aiohttp import web

from jayyoke.core.code import (
    ANSWER_BROKEN,
    UPSTREAM_REJECTED,
    UPSTREAM_UNREACHABLE,
    refuse,
    refuse_maybe_run,
)
from jayyoke.core.error import Refusal, UpstreamError
from jayyoke.core.registry import register
from jayyoke.core.request import CallerRequest
from jayyoke.ops.decisionlog import log_refusal
from jayyoke.ops.forward import EngineRejected
from jayyoke.ops.node import Node
from jayyoke.ops.sse import DONE
from jayyoke.ops.streamrelay import CallerGone, StreamRelay
from jayyoke.utils.jsontext import parse_json
from jayyoke.utils.pipelining import has_next_request

__plugins__ = ("handle_chat",)


@register("class", "chat")
async def handle_chat(
    node: Node, request: CallerRequest, http_request: web.Request
) -> web.StreamResponse:
    """Relay the answer of an engine; a stream that cannot be completed ends with an error event."""
    if request.stream:
        return await _stream(node, request, http_request)
    collector = _Collector()
    relay = StreamRelay(node, request, collector.send)
    await _run_relay(relay)
    await collector.send(relay.last_events)
    body = collector.build(request, _build_usage(request, relay))
    return web.json_response(body, headers={"X-Request-Id": request.request_id})


async def _stream(
    node: Node, request: CallerRequest, http_request: web.Request
) -> web.StreamResponse:
    headers = {
        "X-Request-Id": request.request_id,
        "Cache-Control": "no-cache",
        "Content-Type": "text/event-stream",
    }
    response = web.StreamResponse(headers=headers)
    if node.drain.draining and not has_next_request(http_request):
        response.force_close()

    async def send(frames: bytes) -> None:
        if not response.prepared:
            await response.prepare(http_request)
        await response.write(frames)

    relay = StreamRelay(node, request, send)
    try:
        await _run_relay(relay)
        end = _format_usage(request, relay) + DONE if request.include_usage else DONE
        if not response.prepared:
            await response.prepare(http_request)
        await response.write_eof(relay.last_events + end)
    except Refusal as refusal:
        if not response.prepared:
            raise
        log_refusal(request.request_id, refusal, "stream-cut")
        await _end_broken_stream(response, http_request, refusal)
    return response


async def _run_relay(relay: StreamRelay) -> None:
    try:
        await relay.run()
    except CallerGone:
        raise ConnectionResetError("the caller's connection broke") from None
    except EngineRejected as error:
        raise refuse_maybe_run(error.status, UPSTREAM_REJECTED, str(error)) from error
    except UpstreamError as error:
        if not relay.dispatched:
            raise refuse(503, UPSTREAM_UNREACHABLE, str(error), 1.0) from error
        raise refuse_maybe_run(502, ANSWER_BROKEN, str(error)) from error


async def _end_broken_stream(
    response: web.StreamResponse, http_request: web.Request, refusal: Refusal
) -> None:
    """Send an error event and close the connection without the end of the chunked body."""
    error = {"message": refusal.detail, "type": "server_error", "code": refusal.code}
    event = json.dumps({"error": error | {"run": refusal.run_state.value}}).encode()
    try:
        await response.write(b"data: " + event + b"\n\n")
    except ConnectionError:
        return
    if http_request.transport is not None:
        http_request.transport.close()


def _build_usage(request: CallerRequest, relay: StreamRelay) -> dict[str, Any]:
    """Return the engine's usage with the tokens that were delivered over all connections."""
    usage = dict(relay.parser.usage or {"prompt_tokens": request.prompt_tokens})
    prompt = usage.get("prompt_tokens")
    prompt = prompt if isinstance(prompt, int) else request.prompt_tokens
    usage["prompt_tokens"] = prompt
    usage["completion_tokens"] = relay.parser.tokens
    usage["total_tokens"] = prompt + relay.parser.tokens
    return usage


def _format_usage(request: CallerRequest, relay: StreamRelay) -> bytes:
    event = {
        "id": request.request_id,
        "object": "chat.completion.chunk",
        "created": 0,
        "model": request.class_spec.name,
        "choices": [],
        "usage": _build_usage(request, relay),
    }
    return b"data: " + json.dumps(event).encode() + b"\n\n"


class _Collector:
    """Joins the events of a stream into one message."""

    def __init__(self) -> None:
        self._texts: dict[str, list[str]] = {}
        self._tools: dict[int, dict[str, Any]] = {}
        self._finish_reason = "stop"

    async def send(self, frames: bytes) -> None:
        """Add whole events to the message."""
        for frame in frames.split(b"\n\n"):
            if not frame.startswith(b"data:"):
                continue
            try:
                choice = parse_json(frame[5:])["choices"][0]
                self._add(choice)
            except (ValueError, KeyError, IndexError, TypeError, AttributeError) as error:
                detail = "the engine sent an event that is not a completion chunk"
                raise refuse_maybe_run(502, ANSWER_BROKEN, detail) from error

    def build(self, request: CallerRequest, usage: dict[str, Any]) -> dict[str, Any]:
        """Return the completion object."""
        message: dict[str, Any] = {"role": "assistant", "content": None}
        for name, parts in self._texts.items():
            message[name] = "".join(parts)
        if self._tools:
            message["tool_calls"] = [self._tools[index] for index in sorted(self._tools)]
        choice = {"index": 0, "message": message, "finish_reason": self._finish_reason}
        return {
            "id": request.request_id,
            "object": "chat.completion",
            "created": 0,
            "model": request.class_spec.name,
            "choices": [choice],
            "usage": usage,
        }

    def _add(self, choice: dict[str, Any]) -> None:
        delta = choice.get("delta") or {}
        for name in ("content", "reasoning_content", "reasoning", "refusal"):
            if isinstance(delta.get(name), str):
                self._texts.setdefault(name, []).append(delta[name])
        for part in delta.get("tool_calls") or ():
            self._add_tool(part)
        if choice.get("finish_reason"):
            self._finish_reason = choice["finish_reason"]

    def _add_tool(self, part: dict[str, Any]) -> None:
        empty = {"id": "", "type": "function", "function": {"name": "", "arguments": ""}}
        tool = self._tools.setdefault(part["index"], empty)
        tool["id"] = tool["id"] or part.get("id") or ""
        function = part.get("function") or {}
        tool["function"]["name"] += function.get("name") or ""
        tool["function"]["arguments"] += function.get("arguments") or ""
