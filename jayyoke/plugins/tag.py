"""Class kind `tag`: calls that are acknowledged once durable and delivered at least once."""

from __future__ import annotations

import asyncio

from aiohttp import web

from jayyoke.core.code import TAG_NOT_DURABLE, refuse_maybe_run
from jayyoke.core.error import (
    Conflict,
    ConnectFailed,
    Effect,
    Refusal,
    RunState,
    StoreUnavailable,
    UpstreamError,
)
from jayyoke.core.registry import register
from jayyoke.core.request import CallerRequest
from jayyoke.ops.node import Node
from jayyoke.ops.outbox import OutboxEntry, build_entry

__plugins__ = ("handle_tag",)

MIN_SEND_S = 0.05


@register("class", "tag")
async def handle_tag(
    node: Node, request: CallerRequest, http_request: web.Request
) -> web.StreamResponse:
    """Record the call, acknowledge it with its id and deliver it in the background."""
    entry = build_entry(request)
    # The recorded row needs its delivery task even if the caller disconnects.
    recorded = asyncio.ensure_future(_record(node, request, entry))
    try:
        async with node.drain.limit():
            await asyncio.shield(recorded)
    except TimeoutError:
        detail = "this instance stopped before the tag was recorded"
        raise refuse_maybe_run(503, TAG_NOT_DURABLE, detail) from None
    headers = {"X-Request-Id": request.request_id}
    return web.json_response({"id": request.request_id}, status=202, headers=headers)


async def _record(node: Node, request: CallerRequest, entry: OutboxEntry) -> None:
    outbox = node.durable_work.outbox
    try:
        await outbox.add(entry)
    except (StoreUnavailable, Conflict) as error:
        # If the row was written nevertheless, the sweep delivers it.
        unknown = isinstance(error, StoreUnavailable) and error.effect is Effect.UNKNOWN
        await _send_directly(
            node, request, entry, RunState.UNKNOWN if unknown else RunState.NOT_RUN
        )
        return
    outbox.deliver(outbox.row_key(entry), entry)


async def _send_directly(
    node: Node, request: CallerRequest, entry: OutboxEntry, run_state: RunState
) -> None:
    """Deliver to a service that stores calls durably; raise Refusal otherwise."""
    detail = "the table cannot record the tag"
    tried: tuple[str, ...] = ()
    while request.service.stores_durably:
        left_s = request.deadline_s - node.clock.now_s()
        if left_s < MIN_SEND_S:
            break
        try:
            upstream = await node.durable_work.service.place(entry.request, tried)
        except Refusal as refusal:
            detail = refusal.detail
            break
        tried = (*tried, upstream.name)
        try:
            answer = await node.durable_work.service.send(upstream, entry.request, left_s)
        except ConnectFailed as error:
            detail = str(error)
            continue
        except UpstreamError as error:
            run_state = RunState.UNKNOWN
            detail = str(error)
            continue
        if 200 <= answer.status < 300:
            return
        run_state = RunState.UNKNOWN
        detail = f"{upstream.name} answered {answer.status}"
    raise Refusal(503, "tag-not-durable", detail, run_state, 1.0)
