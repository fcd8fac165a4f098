"""One caller's connection to an entry instance."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from aiohttp import web

from jayyoke.core.route import CallerLimits
from jayyoke.edge.log import log_event
from jayyoke.server.boundedhandler import BoundedHandler
from jayyoke.server.closingsockets import reset_transport
from jayyoke.server.inputguard import InputGuard
from jayyoke.utils.unwritten import count_unacknowledged_bytes

# Connections stay open this long past the idle limit, so that one reused at the limit still works.
IDLE_SLACK_S = 2.0


class CallerConnection(BoundedHandler):
    """Bounds how long a caller may take to send a request's head, and counts what is not done.

    `on_closing` is called with the transport of a connection that is closed in order.
    """

    __slots__ = ("_answered", "_head_timeout_s", "_head_timer", "_on_closing", "_opened")

    def __init__(
        self,
        server: web.Server,
        guard: InputGuard,
        limits: CallerLimits,
        on_closing: Callable[[asyncio.BaseTransport], None],
    ):
        super().__init__(
            server,
            guard,
            limits.header_bytes,
            limits.idle_timeout_s + IDLE_SLACK_S,
            auto_decompress=False,
        )
        self._head_timeout_s = limits.header_timeout_s
        self._head_timer: asyncio.TimerHandle | None = None
        self._answered = 0
        self._on_closing = on_closing
        # The base class forgets its transport before the last bytes are written.
        self._opened: asyncio.Transport | None = None

    @property
    def busy(self) -> bool:
        """Tell whether a request has begun to arrive and is not answered yet."""
        return self._request_count > self._answered or self._head_timer is not None

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes of answers the caller has not acknowledged."""
        if self._opened is None:
            return 0
        opened = self._opened.get_extra_info("socket")
        return self._opened.get_write_buffer_size() + count_unacknowledged_bytes(opened)

    def note_answered(self) -> None:
        """Count a request whose answer has been written."""
        self._answered += 1

    def reset(self) -> None:
        """Close the connection with a reset, which drops bytes that are not sent."""
        opened, self._opened = self._opened, None
        if opened is not None:
            reset_transport(opened)

    def cut_off(self) -> None:
        """Close the connection with a reset, for which nothing is kept until it is sent."""
        self._opened = None
        super().cut_off()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to read requests."""
        super().connection_made(transport)
        assert isinstance(transport, asyncio.Transport)
        self._opened = transport

    def data_received(self, data: bytes) -> None:
        """Parse received data and start the time limit of an unfinished head."""
        requests_before = self._request_count
        super().data_received(data)
        if self._request_count > requests_before or self._current_request is not None:
            self._cancel_head_timer()
            return
        if data:
            self.note_head_pending()

    def note_head_pending(self) -> None:
        """Start the time limit of a head that has begun to arrive."""
        if self._head_timer is None and self._opened is not None:
            self._head_timer = self._loop.call_later(self._head_timeout_s, self._close_slow_head)

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the request in progress; `exc` is None if the connection was closed in order."""
        self._cancel_head_timer()
        if exc is None and self._opened is not None:
            self._on_closing(self._opened)
        self._opened = None
        super().connection_lost(exc)

    def _cancel_head_timer(self) -> None:
        if self._head_timer is not None:
            self._head_timer.cancel()
            self._head_timer = None

    def _close_slow_head(self) -> None:
        self._head_timer = None
        if self._current_request is None and not self._messages:
            log_event("head-too-slow", limit_s=self._head_timeout_s)
            self.force_close()
