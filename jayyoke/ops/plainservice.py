"""Calls of plain services for recorded work: once-only requests, tags and late replies."""

from __future__ import annotations

from dataclasses import replace
from urllib.parse import quote

import aiohttp

from jayyoke.core.error import AnswerBroken
from jayyoke.core.request import CallerRequest
from jayyoke.core.upstream import Upstream
from jayyoke.ops.decisionlog import log_decision
from jayyoke.ops.forward import Answer, call_plain
from jayyoke.ops.placement import Placer
from jayyoke.utils.connector import BoundedConnector
from jayyoke.utils.sockets import build_socket_factory


class ConnectionLost(aiohttp.ClientError):
    """Reports a connection that ended after the request may have been sent."""


async def send_once(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Prevent aiohttp from sending a request a second time.

    aiohttp itself repeats PUT, DELETE and GET after a lost connection, even a new one. The repeat
    could run a once-only request twice, and a refused connection of the repeat would look as if no
    byte of the request had been sent.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise ConnectionLost(f"{type(error).__name__}: {error}") from error


def open_single_session(source: str = "") -> aiohttp.ClientSession:
    """Return a session that sends each request once, over a new connection.

    On a reused connection that the service has just closed, the outcome would be unknown.
    Connections start from the IP address `source`.
    """
    factory = build_socket_factory(source)
    connector = BoundedConnector(limit=0, force_close=True, socket_factory=factory)
    # One caller's cookies must not reach a service with another caller's request.
    return aiohttp.ClientSession(
        connector=connector,
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        middlewares=(send_once,),
    )


class PlainService:
    """Places and sends single requests; `http` is a session of `open_single_session`."""

    def __init__(self, http: aiohttp.ClientSession, placer: Placer):
        self._http = http
        self._placer = placer
        self._notices = placer.notices
        self._request_limits = placer.request_limits

    async def place(self, request: CallerRequest, exclude: tuple[str, ...]) -> Upstream:
        """Return an upstream; raise Refusal if there is none."""
        placement = await self._placer.place(request, exclude)
        self._placer.release(request, placement)
        log_decision(request, placement.upstream.name, placement.reason, placement.passed_over)
        return placement.upstream

    async def send(self, upstream: Upstream, request: CallerRequest, timeout_s: float) -> Answer:
        """Send the request once; raise an UpstreamError as `call_plain` does."""
        return await self._call(upstream, request, timeout_s)

    async def lookup(self, request: CallerRequest, timeout_s: float) -> Answer | None:
        """Return the recorded answer of the request's key, or None; raise UpstreamError."""
        path = f"outcomes/{quote(request.idempotency_key, safe='')}"
        asked = replace(request, method="GET", path=path, query="", body=b"")
        upstream = await self.place(asked, ())
        answer = await self._call(upstream, asked, timeout_s)
        if answer.status == 404:
            return None
        if not answer.final:
            raise AnswerBroken(f"{upstream.name} answered a lookup with {answer.status}")
        return answer

    async def _call(self, upstream: Upstream, request: CallerRequest, timeout_s: float) -> Answer:
        return await call_plain(
            self._http, upstream, request, timeout_s, self._notices, self._request_limits
        )
