"""HTTP listeners with limits on what is read, and problem documents for unreadable requests."""

from __future__ import annotations

import asyncio

from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from jayyoke.core.code import HEADER_INVALID, refuse
from jayyoke.server.problem import format_problem, make_request_id

MAX_HEADER_BYTES = 8190
# Also bounds how long a connection may take to send its first request's head.
KEEP_ALIVE_S = 75.0
MAX_BACKLOG = 512


class _Handler(RequestHandler):
    """Answers unreadable requests with a problem document."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        if status != 400:
            return super().handle_error(request, status, exc, message)
        detail = f"the request's head cannot be read or exceeds {MAX_HEADER_BYTES} bytes"
        response = format_problem(refuse(400, HEADER_INVALID, detail), make_request_id())
        response.force_close()
        return response


class Listener:
    """Serves one application on one address."""

    def __init__(self, app: web.Application, keep_alive_s: float = KEEP_ALIVE_S):
        self._runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        self._keep_alive_s = keep_alive_s
        self._server: asyncio.Server | None = None

    @property
    def port(self) -> int:
        """Return the TCP port of the listener."""
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]

    async def start(self, address: str) -> None:
        """Listen on HOST:PORT; raise OSError."""
        await self._runner.setup()
        host, _, port = address.rpartition(":")
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            self._build_handler, host, int(port), backlog=MAX_BACKLOG
        )

    def stop(self) -> None:
        """Accept no more connections; those that are open stay open."""
        if self._server is not None:
            self._server.close()

    async def close(self) -> None:
        """Close the listener and its connections; requests in progress are cancelled."""
        self.stop()
        await self._runner.cleanup()

    def _build_handler(self) -> _Handler:
        server = self._runner.server
        assert server is not None
        return _Handler(
            server,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=self._keep_alive_s,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
