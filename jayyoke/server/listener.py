"""HTTP listeners with limits on what is read, and problem documents for unreadable requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from absl import logging
from aiohttp import web
from aiohttp.web_protocol import RequestHandler

from jayyoke.core.code import HEADER_INVALID, refuse
from jayyoke.server.closingsockets import ClosingSockets
from jayyoke.server.problem import format_problem, make_request_id

MAX_HEADER_BYTES = 8190
# Also bounds how long a connection may take to send its first request's head.
KEEP_ALIVE_S = 75.0
MAX_BACKLOG = 512
CLOSE_TIMEOUT_S = 5.0
CLOSE_POLL_S = 0.02


class _Handler(RequestHandler):
    """Answers unreadable requests with a problem document, and tells when a connection ends."""

    __slots__ = ("_on_closing", "_on_opened", "_opened")

    def __init__(
        self,
        server: web.Server,
        on_opened: Callable[[asyncio.Transport], None],
        on_closing: Callable[[asyncio.Transport, bool], None],
        keep_alive_s: float,
    ):
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=keep_alive_s,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
        )
        self._on_opened = on_opened
        self._on_closing = on_closing
        # The base class forgets its transport before the last bytes are written.
        self._opened: asyncio.Transport | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to read requests."""
        assert isinstance(transport, asyncio.Transport)
        self._opened = transport
        self._on_opened(transport)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the request in progress; `exc` is None if the connection was closed in order."""
        if self._opened is not None:
            self._on_closing(self._opened, exc is None)
        self._opened = None
        super().connection_lost(exc)

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
        self._draining = False
        self._opened: set[asyncio.Transport] = set()
        self._closing = ClosingSockets()

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

    def drain(self) -> None:
        """Keep the sockets of connections that are closed until their bytes have been sent."""
        self._draining = True

    def stop(self) -> None:
        """Accept no more connections; those that are open stay open."""
        self._draining = True
        if self._server is not None:
            self._server.close()

    async def close(self, timeout_s: float = CLOSE_TIMEOUT_S) -> None:
        """Close the listener and its connections once their answers have been sent.

        Requests in progress and answers that are not sent after the timeout are given up.
        """
        self.stop()
        loop = asyncio.get_running_loop()
        end_s = loop.time() + timeout_s
        cleanup = loop.create_task(self._runner.cleanup())
        while loop.time() < end_s:
            self._closing.sweep()
            if cleanup.done() and not self._opened and not self._closing.unsent_bytes:
                break
            await asyncio.sleep(CLOSE_POLL_S)
        if self._opened or self._closing.unsent_bytes:
            unsent_bytes = self._closing.unsent_bytes
            for transport in tuple(self._opened):
                unsent_bytes += transport.get_write_buffer_size()
                transport.abort()
            logging.warning("%d bytes of answers were not sent in time", unsent_bytes)
        await cleanup
        self._closing.close()

    def _note_closing(self, transport: asyncio.Transport, in_order: bool) -> None:
        self._opened.discard(transport)
        if self._draining and in_order:
            self._closing.sweep()
            self._closing.keep(transport)

    def _build_handler(self) -> _Handler:
        server = self._runner.server
        assert server is not None
        return _Handler(server, self._opened.add, self._note_closing, self._keep_alive_s)
