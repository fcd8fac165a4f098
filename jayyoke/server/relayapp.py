"""HTTP interface between entry instances: the store's rows, and evidence about parts of prompts."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from aiohttp import web

from jayyoke.core.error import PeerProtocolError
from jayyoke.edge.countmessage import MAX_COUNTS_BYTES
from jayyoke.edge.dutyunit import DutyUnit
from jayyoke.edge.log import log_event
from jayyoke.edge.partexchange import EVIDENCE_PATH, MAX_MESSAGE_BYTES, PartExchange
from jayyoke.edge.relay import MAX_REQUEST_BYTES, RELAY_PATH, RelayServer

Answer = Callable[[bytes], Awaitable[bytes]]


def build_relay_app(
    relay: RelayServer, part_exchange: PartExchange, duties: DutyUnit | None = None
) -> web.Application:
    """Return the application that other instances call; `duties` answers for the holder."""
    largest = max(MAX_REQUEST_BYTES, MAX_MESSAGE_BYTES, MAX_COUNTS_BYTES if duties else 0)
    app = web.Application(client_max_size=largest)

    app.router.add_post(RELAY_PATH, _build_handler(relay.answer))
    app.router.add_post(EVIDENCE_PATH, _build_handler(_build_answer(part_exchange.answer)))
    if duties is not None:
        for path, answer in duties.list_answers().items():
            app.router.add_post(path, _build_handler(_build_answer(answer)))
    return app


def _build_answer(answer: Callable[[bytes], bytes]) -> Answer:
    async def wrapped(message: bytes) -> bytes:
        return answer(message)

    return wrapped


def _build_handler(answer: Answer) -> Callable[[web.Request], Awaitable[web.Response]]:
    async def handle(request: web.Request) -> web.Response:
        try:
            return web.Response(body=await answer(await request.read()))
        except PeerProtocolError as error:
            log_event("peer-unreadable", peer=request.remote, reason=str(error))
            return web.Response(status=400)

    return handle
