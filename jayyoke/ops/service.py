"""Calls of plain services for work that is recorded: once-only, tags and late replies."""

from __future__ import annotations

from dataclasses import replace
from urllib.parse import quote

import aiohttp

from jayyoke.core.error import AnswerBroken
from jayyoke.core.request import CallerRequest
from jayyoke.core.upstream import Upstream
from jayyoke.ops.decisions import log_decision
from jayyoke.ops.forward import Answer, call_plain
from jayyoke.ops.placement import Placer


class PlainService:
    """Places and sends single calls.

    `http` must not reuse connections: aiohttp repeats a PUT or DELETE by itself when a reused
    connection turns out to be closed, which could run a once-only request twice.
    """

    def __init__(self, http: aiohttp.ClientSession, placer: Placer):
        self._http = http
        self._placer = placer

    async def place(self, request: CallerRequest, exclude: tuple[str, ...]) -> Upstream:
        """Return an upstream; raise Refusal if there is none."""
        placement = await self._placer.place(request, exclude)
        self._placer.release(request, placement)
        log_decision(request, placement.upstream.name, placement.reason, placement.passed_over)
        return placement.upstream

    async def send(self, upstream: Upstream, request: CallerRequest, timeout_s: float) -> Answer:
        """Send the request once; raise an UpstreamError that tells what is known."""
        return await call_plain(self._http, upstream, request, timeout_s)

    async def lookup(self, request: CallerRequest, timeout_s: float) -> Answer | None:
        """Return the recorded answer of the request's key, or None; raise UpstreamError."""
        path = f"outcomes/{quote(request.idempotency_key, safe='')}"
        asked = replace(request, method="GET", path=path, query="", body=b"")
        upstream = await self.place(asked, ())
        answer = await call_plain(self._http, upstream, asked, timeout_s)
        if answer.status == 404:
            return None
        if answer.status >= 500:
            raise AnswerBroken(f"{upstream.name} answered a lookup with {answer.status}")
        return answer
