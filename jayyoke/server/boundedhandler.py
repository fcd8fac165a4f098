"""A client's HTTP connection whose unparsed and unread input is bounded.

aiohttp keeps each unreadable read of a connection together with its error, takes 256 KiB at once,
and bounds neither the whole head nor what surrounds heads and bodies.
"""

from __future__ import annotations

import asyncio
import itertools
import random
from collections import deque

from aiohttp import web
from aiohttp.http_exceptions import BadHttpMessage
from aiohttp.http_parser import HttpRequestParser, RawRequestMessage
from aiohttp.streams import EMPTY_PAYLOAD, StreamReader
from aiohttp.web_protocol import RequestHandler, RequestPayloadError, _ErrInfo

from jayyoke.inputlimits.budget import SMALL_HEAD_BYTES, Client, Phase
from jayyoke.inputlimits.meter import InputMeter, estimate_request
from jayyoke.inputlimits.refusals import Reason
from jayyoke.server.closingsockets import reset_transport
from jayyoke.server.inputguard import InputGuard

READ_BYTES = 16 << 10
# Unread bytes of one body; chunks of one byte take many times as much memory.
BODY_BUFFER_BYTES = 16 << 10
CHUNK_BYTES = 100
# Bytes of answers that are written ahead of a slow client.
WRITE_AHEAD_BYTES = 8 << 10
# What is written at once is held by its handler and by the transport.
ANSWER_COPIES = 2
# What waits at the upstream's connection while a client does not read its answer.
UNREAD_ANSWER_BYTES = 96 << 10
# The window and the state of a decompressor.
DECODER_BYTES = 64 << 10
# Requests that are parsed ahead of the one in progress; others wait as bytes.
MAX_QUEUED_REQUESTS = 8
# Memory of pipelined requests that are read ahead of the one in progress.
READ_AHEAD_BYTES = 64 << 10
# Input that is dropped until a refused client has its answer; then it is read no more.
DROPPED_BYTES = 256 << 10
INPUT_STATUSES = (400, 431, 503)
MAX_MESSAGE_CHARACTERS = 200
INPUT_FULL_RETRY_S = (0.3, 1.0)
# All connections share it, since its bytes are parsed before the next read of any of them.
_read_buffer = bytearray(READ_BYTES)


class BoundedHandler(RequestHandler, asyncio.BufferedProtocol):
    """Counts what its client has sent and closes the connection where the limits say so."""

    __slots__ = (
        "_body_bytes",
        "_client",
        "_costs",
        "_costs_bytes",
        "_counts_bodies",
        "_decodes",
        "_dropped_bytes",
        "_guard",
        "_meter",
        "_newest_payload",
        "_refused",
        "_whole_requests",
    )

    def __init__(
        self,
        server: web.Server,
        guard: InputGuard,
        header_bytes: int,
        keep_alive_s: float,
        auto_decompress: bool = True,
        counts_bodies: bool = False,
    ):
        super().__init__(
            server,
            loop=asyncio.get_running_loop(),
            access_log=None,
            keepalive_timeout=keep_alive_s,
            max_line_size=header_bytes,
            max_field_size=header_bytes,
            read_bufsize=BODY_BUFFER_BYTES,
            auto_decompress=auto_decompress,
        )
        self._parser = HttpRequestParser(
            self,
            self._loop,
            BODY_BUFFER_BYTES,
            max_line_size=header_bytes,
            max_field_size=header_bytes,
            payload_exception=RequestPayloadError,
            auto_decompress=auto_decompress,
            max_msg_queue_size=MAX_QUEUED_REQUESTS,
        )
        self._max_msg_queue_size = MAX_QUEUED_REQUESTS
        self._msg_queue_resume_size = MAX_QUEUED_REQUESTS // 2
        self._decodes = auto_decompress
        self._counts_bodies = counts_bodies
        self._guard = guard
        self._meter = InputMeter(header_bytes, READ_BYTES)
        # The memory of each request that is not answered, the one in progress first.
        self._costs: deque[int] = deque()
        self._costs_bytes = 0
        self._newest_payload: StreamReader = EMPTY_PAYLOAD
        self._body_bytes = 0
        self._refused = False
        self._dropped_bytes = 0
        self._client: Client = guard.open(self)

    @property
    def client_phase(self) -> Phase:
        """Return what the connection waits for."""
        if len(self._costs) <= 1 and not self._newest_payload.is_eof():
            return Phase.BODY
        if self._costs:
            return Phase.ANSWER
        if self._meter.unfinished or not self._request_count:
            return Phase.HEAD
        return Phase.IDLE

    @property
    def _unread_bytes(self) -> int:
        """Return the memory of body bytes that no handler has read, or of all if they count."""
        payload = self._newest_payload
        if payload is EMPTY_PAYLOAD:
            return self._ahead_body_bytes
        size = payload.total_bytes if self._counts_bodies and self._costs else payload._size
        size += CHUNK_BYTES * len(payload._http_chunk_splits or ())
        return size + self._ahead_body_bytes

    @property
    def _ahead_body_bytes(self) -> int:
        """Return the memory of the bodies of requests that wait, without the newest one's."""
        if len(self._messages) <= 1:
            return 0
        newest = self._newest_payload
        return sum(payload._size for _, payload in self._messages if payload is not newest)

    @property
    def _ahead_bytes(self) -> int:
        """Return the memory of requests that wait for the one in progress."""
        size = self._costs_bytes + self._ahead_body_bytes
        if len(self._costs) > len(self._messages):
            return size - self._costs[0]
        return size

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to read requests."""
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(high=WRITE_AHEAD_BYTES)
        super().connection_made(transport)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Count the connection no more."""
        self._guard.close(self._client)
        super().connection_lost(exc)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next bytes."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Handle the bytes in the buffer."""
        self.data_received(bytes(memoryview(_read_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse received data, and refuse what exceeds the limits."""
        if self._refused or self._close or self._force_close:
            self._drop(len(data))
            return
        requests_before = self._request_count
        body_ended = self._newest_payload.is_eof()
        super().data_received(data)
        new = min(self._request_count - requests_before, len(self._messages))
        used_bytes = self._count_heads(new) if new else 0
        body_bytes = self._newest_payload.total_bytes
        used_bytes += body_bytes - self._body_bytes
        progressed = bool(new) or body_bytes > self._body_bytes
        self._body_bytes = body_bytes
        is_eof = self._newest_payload.is_eof()
        progressed = progressed or (is_eof and not body_ended)
        paused = self._buffer_paused or self._reading_paused
        ended = progressed and is_eof and not paused and data.endswith(b"\r\n\r\n")
        self._meter.add(data, used_bytes, progressed, ended)
        if self._meter.exceeded and not self._refused:
            self._refuse_pending()
        if not self._buffer_paused and self._messages and self._ahead_bytes > READ_AHEAD_BYTES:
            self._pause_reading_for_buffer()
        self._enter_phase()
        self._hold()
        if new and self._guard.budget.short and not self._refused:
            self._refuse_large()

    def pause_writing(self) -> None:
        """Count the answers that the client does not read."""
        super().pause_writing()
        self._client.stalled_since_s = self._loop.time()
        self._hold()

    def resume_writing(self) -> None:
        """Count the answers that the client has read no more."""
        super().resume_writing()
        self._client.stalled_since_s = None
        self._hold()

    def measure(self) -> None:
        """Record what the connection holds now."""
        self._guard.update(self._client, *self._estimate())

    def cut_off(self) -> None:
        """Close the connection at once with a reset, which frees what the system holds of it.

        Many may be closed before the event loop tells any of them that it has ended.
        """
        self._refused = True
        self._parser = None
        if self._waiter is None:
            self._messages.clear()
        if self.transport is not None:
            reset_transport(self.transport)

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Answer input that was refused; such answers are counted instead of logged."""
        if status not in INPUT_STATUSES:
            return super().handle_error(request, status, exc, message)
        response = self.format_refusal(status, message or "")
        response.force_close()
        return response

    def format_refusal(self, status: int, message: str) -> web.StreamResponse:
        """Return the answer to refused input."""
        response = web.Response(status=status, text=message)
        if status == 503:
            response.headers["Retry-After"] = f"{random.uniform(*INPUT_FULL_RETRY_S):.3f}"
        return response

    def note_head_pending(self) -> None:
        """Let a subclass bound the time of a head that arrived beside an earlier request."""

    async def _handle_request(self, request, start_time, request_handler):
        try:
            return await super()._handle_request(request, start_time, request_handler)
        finally:
            if self._costs:
                self._costs_bytes -= self._costs.popleft()
            self._enter_phase()
            self._hold()
            if not self._costs and self._meter.unfinished:
                self.note_head_pending()

    def _resume_reading_if_drained(self) -> None:
        # The base class asks again when it takes the next request.
        if self._messages and self._ahead_bytes > READ_AHEAD_BYTES:
            return
        super()._resume_reading_if_drained()

    def _count_heads(self, new: int) -> int:
        """Count the newest requests; return how many bytes of heads and of earlier bodies."""
        used_bytes = self._newest_payload.total_bytes - self._body_bytes
        self._body_bytes = 0
        start = len(self._messages) - new
        for index, (message, payload) in enumerate(
            itertools.islice(self._messages, start, None), start
        ):
            if not isinstance(message, RawRequestMessage):
                self._note_unreadable(index, message)
                break
            head_bytes = _measure_head(message)
            cost = estimate_request(head_bytes, len(message.raw_headers))
            if message.compression and self._decodes:
                cost += DECODER_BYTES
            self._costs.append(cost)
            self._costs_bytes += cost
            if not self._meter.allows_head(head_bytes):
                self._replace_from(index, 431, "the request's head is too large")
                self._end_input(Reason.TOO_LARGE)
                break
            self._newest_payload = payload
            self._body_bytes = payload.total_bytes
            used_bytes += head_bytes + payload.total_bytes
        return used_bytes

    def _note_unreadable(self, index: int, found: _ErrInfo) -> None:
        """Keep of an error only a short text; its traceback holds the bytes that were read."""
        if not self._newest_payload.is_eof():
            self._messages.pop()
            self._request_count -= 1
            self._guard.refuse(Reason.UNREADABLE)
            self.cut_off()
            return
        text = found.message.partition("\n")[0][:MAX_MESSAGE_CHARACTERS]
        self._costs.append(0)
        self._messages[index] = (_build_error(400, text), EMPTY_PAYLOAD)
        self._newest_payload = EMPTY_PAYLOAD
        self._end_input(Reason.UNREADABLE)

    def _refuse_pending(self) -> None:
        """Refuse a head without end; what surrounds a body ends the connection."""
        if not self._newest_payload.is_eof():
            self._guard.refuse(Reason.TOO_LARGE)
            self.cut_off()
            return
        self._costs.append(0)
        self._request_count += 1
        error = _build_error(431, "the request's head is too large")
        self._messages.append((error, EMPTY_PAYLOAD))
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)
        self._end_input(Reason.TOO_LARGE)

    def _refuse_large(self) -> None:
        """Refuse the newest request if it is large and there is no room for it."""
        if not self._messages or self._costs[-1] <= SMALL_HEAD_BYTES:
            return
        self._replace_from(len(self._messages) - 1, 503, "input-full")
        self._end_input(Reason.MEMORY)
        self._hold()

    def _replace_from(self, index: int, status: int, text: str) -> None:
        """Answer a request that has not begun with an error, and drop those after it."""
        while len(self._messages) > index + 1:
            self._messages.pop()
            self._request_count -= 1
        self._costs_bytes -= self._costs.pop()
        self._costs.append(0)
        self._messages[index] = (_build_error(status, text), EMPTY_PAYLOAD)
        self._newest_payload = EMPTY_PAYLOAD

    def _end_input(self, reason: Reason) -> None:
        self._refused = True
        # The parser holds an unfinished head.
        self._parser = None
        self._meter.add(b"", 0, True, True)
        self._guard.refuse(reason)

    def _drop(self, size: int) -> None:
        self._dropped_bytes += size
        if self._dropped_bytes > DROPPED_BYTES:
            self._pause_transport_reading()

    def _enter_phase(self) -> None:
        self._client.enter(self.client_phase, self._loop.time())

    def _hold(self) -> None:
        self._guard.hold(self._client, *self._estimate())

    def _estimate(self) -> tuple[int, int]:
        """Return the memory that the connection holds, and that of a request that is whole."""
        held_bytes = self._costs_bytes + self._meter.held_bytes + self._unread_bytes
        if self.transport is not None:
            held_bytes += ANSWER_COPIES * self.transport.get_write_buffer_size()
        if self._paused:
            held_bytes += UNREAD_ANSWER_BYTES
        kept_bytes = 0
        if self._client.phase is Phase.ANSWER and self._costs:
            kept_bytes = self._costs[0]
        return held_bytes, kept_bytes


class RefusedConnection(asyncio.Protocol):
    """Closes a connection for which there is no room."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Close at once."""
        assert isinstance(transport, asyncio.Transport)
        reset_transport(transport)


def _measure_head(message: RawRequestMessage) -> int:
    """Return the bytes of a head, without white space around its values."""
    size = len(message.method) + len(message.path) + len(" HTTP/1.1\r\n\r\n") + 1
    for name, value in message.raw_headers:
        size += len(name) + len(value) + 4
    return size


def _build_error(status: int, text: str) -> _ErrInfo:
    return _ErrInfo(status=status, exc=BadHttpMessage(text), message=text)
