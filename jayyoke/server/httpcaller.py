"""The caller of one request to an entry instance, and how far its answer has come."""

from __future__ import annotations

from collections.abc import Callable
from enum import Enum

from aiohttp import HttpVersion11, web

from jayyoke.edge.call import CallerGone
from jayyoke.server.callerconnection import CallerConnection
from jayyoke.utils.pipelining import has_next_request

# What is written at once of an answer, which the transport copies if the caller does not read.
WRITTEN_BYTES = 16 << 10


class Stage(Enum):
    """How far a request has come."""

    RECEIVING = "receiving"
    WAITING = "waiting"
    SENT = "sent"
    ANSWERING = "answering"


class HttpCaller:
    """Writes one answer to the caller's connection."""

    __slots__ = ("_is_draining", "_request", "response", "stage")

    def __init__(self, request: web.BaseRequest, is_draining: Callable[[], bool]):
        self._request = request
        self._is_draining = is_draining
        self.response: web.StreamResponse | None = None
        self.stage = Stage.RECEIVING

    @property
    def started(self) -> bool:
        """Tell whether sending the answer has begun."""
        return self.response is not None

    @property
    def _may_leave_body_unsent(self) -> bool:
        """Tell whether the next bytes may be the body or, if the caller drops it, a request."""
        return awaits_continue(self._request) and not self._request.content.is_eof()

    @property
    def _is_last(self) -> bool:
        """Tell whether the connection is to be closed after this answer."""
        if self._may_leave_body_unsent:
            return True
        return self._is_draining() and not has_next_request(self._request)

    def note_received(self) -> None:
        """Record that the request is whole."""
        self.stage = Stage.WAITING

    def note_sent(self) -> None:
        """Record that the request was sent to an upstream, and so may have run."""
        if not self.started:
            self.stage = Stage.SENT

    async def start(
        self, status: int, phrase: str, headers: tuple[tuple[str, str], ...], length: int | None
    ) -> None:
        """Send the head; raise CallerGone."""
        response = web.StreamResponse(status=status, reason=phrase or None)
        for name, value in headers:
            response.headers.add(name, value)
        if length is not None:
            response.content_length = length
        if self._is_last:
            response.force_close()
        self.response = response
        self.stage = Stage.ANSWERING
        try:
            await response.prepare(self._request)
        except ConnectionError as error:
            raise CallerGone(str(error)) from error

    async def write(self, data: bytes) -> None:
        """Send a part of the body; raise CallerGone."""
        assert self.response is not None
        try:
            for start in range(0, len(data), WRITTEN_BYTES):
                await self.response.write(data[start : start + WRITTEN_BYTES])
        except ConnectionError as error:
            raise CallerGone(str(error)) from error

    async def finish(self) -> None:
        """End a whole answer; raise CallerGone."""
        assert self.response is not None
        try:
            await self.response.write_eof()
        except ConnectionError as error:
            raise CallerGone(str(error)) from error

    def cut(self) -> None:
        """End an unfinished answer, so that it does not look whole."""
        if self._request.version < HttpVersion11:
            # Its answers have no chunks, so an orderly close would end them.
            connection = self._request.protocol
            assert isinstance(connection, CallerConnection)
            connection.reset()

    def abort(self) -> None:
        """Close the connection, so that an unfinished answer does not look whole."""
        self.cut()
        transport = self._request.transport
        if transport is not None:
            transport.abort()


def awaits_continue(request: web.BaseRequest) -> bool:
    """Tell whether the caller may wait for `100 Continue` before it sends the body."""
    return request.headers.get("Expect", "").lower() == "100-continue"
