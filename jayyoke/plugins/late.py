"""Class kind `late`: calls whose answer may be fetched later from any instance."""

from __future__ import annotations

import asyncio
from urllib.parse import quote

from aiohttp import web

from jayyoke.core.config import TeamSpec
from jayyoke.core.error import Conflict, Refusal, RunState, StoreUnavailable
from jayyoke.core.registry import register
from jayyoke.core.request import CallerRequest
from jayyoke.ops.forward import Answer
from jayyoke.ops.node import Node
from jayyoke.ops.outbox import OutboxEntry, build_entry

__plugins__ = ("handle_late",)

RETRY_AFTER_S = 1


@register("class", "late")
async def handle_late(
    node: Node, request: CallerRequest, http_request: web.Request
) -> web.StreamResponse:
    """Return the answer if it comes in time, else record the call and say where to fetch it."""
    entry = build_entry(request)
    call = asyncio.ensure_future(node.durable_work.outbox.call(entry))
    left_s = max(0.0, request.deadline_s - node.clock.now_s())
    try:
        async with node.drain.limit(left_s):
            await asyncio.wait({call})
    except TimeoutError:
        pass
    except asyncio.CancelledError:
        call.cancel()
        raise
    if call.done():
        return _format_answer(request.request_id, await call)
    recorded = asyncio.ensure_future(_record(node, request, entry, call))
    answer = await asyncio.shield(recorded)
    if answer is not None:
        return _format_answer(request.request_id, answer)
    return _format_pending(request.request_id)


async def _record(
    node: Node, request: CallerRequest, entry: OutboxEntry, call: asyncio.Task[Answer]
) -> Answer | None:
    """Record the pending reply; if that fails but the call has ended, return its answer instead."""
    durable_work = node.durable_work
    keep_s = request.class_spec.keep_s
    pending = durable_work.replies.build_pending_put(
        entry.request_id, entry.team, entry.token, keep_s
    )
    try:
        await durable_work.outbox.add(entry, [pending])
    except (StoreUnavailable, Conflict) as error:
        if call.done():
            return await call
        call.cancel()
        if isinstance(error, Conflict):
            detail = "a reply with this request id exists"
            raise Refusal(409, "request-id-reused", detail, RunState.UNKNOWN) from error
        raise Refusal(504, "no-answer", str(error), RunState.UNKNOWN, 1.0) from error
    durable_work.outbox.deliver(durable_work.outbox.row_key(entry), entry, call)
    return None


async def fetch_reply(node: Node, request_id: str, team: TeamSpec) -> web.Response:
    """Return a recorded reply, or 202 while it is pending; raise Refusal."""
    answer = await node.durable_work.replies.fetch(request_id, team.name)
    if answer is None:
        return _format_pending(request_id)
    return _format_answer(request_id, answer)


def _format_answer(request_id: str, answer: Answer) -> web.Response:
    headers = {"X-Request-Id": request_id, "Content-Type": answer.content_type}
    return web.Response(status=answer.status, body=answer.body, headers=headers)


def _format_pending(request_id: str) -> web.Response:
    headers = {
        "X-Request-Id": request_id,
        "Location": f"/v1/replies/{quote(request_id, safe='')}",
        "Retry-After": str(RETRY_AFTER_S),
    }
    return web.json_response({"id": request_id, "state": "pending"}, status=202, headers=headers)
