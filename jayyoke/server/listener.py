"""HTTP listeners with limits on what is read, and problem documents for unreadable requests."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from absl import logging
from aiohttp import web

from jayyoke.core.code import HEADER_INVALID, INPUT_FULL, refuse
from jayyoke.inputlimits.budget import Phase
from jayyoke.inputlimits.refusals import Reason
from jayyoke.server.boundedhandler import BoundedHandler, RefusedConnection
from jayyoke.server.closingsockets import ClosingSockets
from jayyoke.server.inputguard import InputGuard, build_guard, listen
from jayyoke.server.problem import format_problem, make_request_id

MAX_HEADER_BYTES = 8190
# Also bounds how long a connection may take to send its first request's head.
KEEP_ALIVE_S = 75.0
# Time limit of a body whose handler has none of its own.
BODY_TIMEOUT_S = 30.0
RETRY_S = 1.0
CLOSE_TIMEOUT_S = 5.0
CLOSE_POLL_S = 0.02


class _Handler(BoundedHandler):
    """Answers unreadable requests with a problem document, and tells when a connection ends."""

    __slots__ = ("_body_timer", "_on_closing", "_on_opened", "_opened")

    def __init__(
        self,
        server: web.Server,
        guard: InputGuard,
        on_opened: Callable[[asyncio.Transport], None],
        on_closing: Callable[[asyncio.Transport, bool], None],
        keep_alive_s: float,
        own_bodies: bool,
        decompresses: bool,
    ):
        super().__init__(
            server,
            guard,
            MAX_HEADER_BYTES,
            keep_alive_s,
            auto_decompress=decompresses,
            counts_bodies=not own_bodies,
        )
        self._body_timer: asyncio.TimerHandle | None = None
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
        self._cancel_body_timer()
        if self._opened is not None:
            self._on_closing(self._opened, exc is None)
        self._opened = None
        super().connection_lost(exc)

    def data_received(self, data: bytes) -> None:
        """Parse received data and start the time limit of an unfinished body."""
        super().data_received(data)
        if self.client_phase is not Phase.BODY:
            self._cancel_body_timer()
        elif self._body_timer is None and self._opened is not None:
            self._body_timer = self._loop.call_later(BODY_TIMEOUT_S, self._close_slow_body)

    def format_refusal(self, status: int, message: str) -> web.StreamResponse:
        """Return the problem document for refused input."""
        if status == 503:
            refusal = refuse(503, INPUT_FULL, "other clients' input fills the memory", RETRY_S)
        else:
            detail = f"the request's head cannot be read or exceeds {MAX_HEADER_BYTES} bytes"
            refusal = refuse(status, HEADER_INVALID, detail)
        return format_problem(refusal, make_request_id())

    def _cancel_body_timer(self) -> None:
        if self._body_timer is not None:
            self._body_timer.cancel()
            self._body_timer = None

    def _close_slow_body(self) -> None:
        self._body_timer = None
        if self.client_phase is Phase.BODY:
            self._guard.refuse(Reason.SLOW_BODY)
            self.cut_off()


class Listener:
    """Serves one application on one address.

    An application with `own_bodies` bounds the bodies that it has read; those of others count as
    input until their requests are answered. Where nobody sends compressed bodies, `decompresses`
    can be off.
    """

    def __init__(
        self,
        app: web.Application,
        keep_alive_s: float = KEEP_ALIVE_S,
        guard: InputGuard | None = None,
        own_bodies: bool = False,
        decompresses: bool = True,
    ):
        self._runner = web.AppRunner(app, access_log=None, handler_cancellation=True)
        self._keep_alive_s = keep_alive_s
        self._guard = guard or build_guard()
        self._own_bodies = own_bodies
        self._decompresses = decompresses
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
        self._server = await listen(self._build_handler, address, self._guard)

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

    def _build_handler(self) -> _Handler | RefusedConnection:
        if not self._guard.admits():
            return RefusedConnection()
        server = self._runner.server
        assert server is not None
        return _Handler(
            server,
            self._guard,
            self._opened.add,
            self._note_closing,
            self._keep_alive_s,
            self._own_bodies,
            self._decompresses,
        )
