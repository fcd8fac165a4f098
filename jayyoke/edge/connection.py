"""One HTTP/1.1 connection to an upstream; requests are sent once and never repeated here.

aiohttp's client repeats some methods by itself after a lost connection and hides unexpected
answers, so its parser is used directly.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque

from aiohttp import StreamReader
from aiohttp.base_protocol import BaseProtocol
from aiohttp.http_exceptions import HttpProcessingError
from aiohttp.http_parser import HttpResponseParser, RawResponseMessage

from jayyoke.core.error import AnswerBroken, AnswerMismatched, ConnectFailed, PathLost
from jayyoke.platform.message import AnswerHead, decode_answer
from jayyoke.utils.unwritten import count_unwritten_bytes

# Unread bytes of an answer; chunks of one byte take many times as much memory.
READ_BUFFER_BYTES = 16 << 10
MAX_HEADER_BYTES = 32 << 10
# Linux's number; the socket module does not name it in every version.
_TCP_USER_TIMEOUT = 18
# A round trip takes a few ms; the system needs about 1 s to repeat a packet lost three times.
UNACKNOWLEDGED_MS = 1500
KEEP_ALIVE_IDLE_S = 2
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 2
# All bytes of one answer, including those of late answers before it. The users' longest streams
# have 100 KB.
MAX_ANSWER_BYTES = 16 << 20
# Bytes before the end of a head, which the parser itself does not count.
MAX_HEAD_BYTES = 256 << 10
# Late answers to earlier requests; more than these are a fault of the upstream.
MAX_FOREIGN_ANSWERS = 4
# Interim answers included; a status outside of it is none of HTTP.
STATUSES = range(100, 600)
# Read and parsed at once: the parser makes an object of each tiny answer and chunk.
PARSED_BYTES = 16 << 10
# Bytes that the system keeps of an answer until they are read.
RECEIVE_BYTES = 64 << 10
# What is written at once of a request; the transport copies what the upstream does not take.
SENT_BYTES = 32 << 10
# All connections share it, since its bytes are parsed before the next read of any of them.
_read_buffer = bytearray(PARSED_BYTES)
_NOTHING = memoryview(b"")


class UpstreamConnection(BaseProtocol, asyncio.BufferedProtocol):
    """Carries one request at a time."""

    def __init__(self, loop: asyncio.AbstractEventLoop):
        super().__init__(loop)
        self._answers: deque[tuple[RawResponseMessage, StreamReader]] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._payload: StreamReader | None = None
        self._newest_payload: StreamReader | None = None
        self._received = 0
        self._head_received = 0
        self._error: Exception | None = None
        self._not_reusable = False
        self._broken = False
        self._idle = True
        self._reused = False
        self._unsent = _NOTHING
        self.idle_since_s = 0.0
        self.keep_alive_s: float | None = None

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes of the request have not been passed to the system."""
        waiting = 0 if self.transport is None else self.transport.get_write_buffer_size()
        return len(self._unsent) + waiting

    @property
    def reusable(self) -> bool:
        """Tell whether the connection is open and got no bytes outside of an answer."""
        return (
            self.transport is not None
            and not self.transport.is_closing()
            and not self._not_reusable
            and not self._answers
            and (self._payload is None or self._payload.is_eof())
            and not self.unsent_bytes
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Set the socket options that detect a dead connection."""
        super().connection_made(transport)
        assert isinstance(transport, asyncio.Transport)
        transport.set_write_buffer_limits(high=0)
        opened = transport.get_extra_info("socket")
        set_liveness_options(opened)
        if opened is not None:
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES // 2)

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next bytes."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes in the buffer."""
        self.data_received(bytes(memoryview(_read_buffer)[:nbytes]))

    def data_received(self, data: bytes) -> None:
        """Parse bytes of an answer, or close the connection if no request is open."""
        if self._idle:
            # Bytes on an idle connection belong to no request.
            if data:
                self._not_reusable = True
                self.abort()
            return
        assert self._parser is not None
        try:
            messages, _, _ = self._parser.feed_data(data)
        except HttpProcessingError as error:
            self._break(f"the upstream's bytes are no answer: {error.message}")
            return
        for message in messages:
            if message[0].code not in STATUSES:
                self._break(f"status {message[0].code} is no answer")
                return
            if len(self._answers) > MAX_FOREIGN_ANSWERS:
                self._break("the upstream sends answers that belong to no request")
                return
            self._answers.append(message)
            self._newest_payload = message[1]
        self._check_size(len(data), bool(messages))
        if messages:
            self._wake()

    def _check_size(self, size: int, head_ended: bool) -> None:
        """Count the bytes of an answer, and abort the connection if they exceed a limit."""
        self._received += size
        in_head = self._newest_payload is None or self._newest_payload.is_eof()
        self._head_received = self._head_received + size if in_head and not head_ended else 0
        if self._received > MAX_ANSWER_BYTES:
            self._break(f"the answer exceeds {MAX_ANSWER_BYTES} bytes")
        elif self._head_received > MAX_HEAD_BYTES:
            self._break(f"the head of the answer exceeds {MAX_HEAD_BYTES} bytes")

    def eof_received(self) -> None:
        """Break an answer that ends with its connection before the request was written.

        The transport would write the rest of the request and then end in order.
        """
        payload = self._newest_payload
        unfinished = payload is None or not payload.is_eof()
        unwritten = self._unsent or count_unwritten_bytes(self.transport)
        if not self._idle and unfinished and unwritten:
            self._break("the upstream ended its answer before the request was written")

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the answer: complete if it has no length and the end was orderly, else broken."""
        super().connection_lost(exc)
        self._unsent = _NOTHING
        # The system ends a connection with a timeout if its other end acknowledges nothing.
        kind = PathLost if isinstance(exc, TimeoutError) else AnswerBroken
        self._fail(kind(f"the connection ended: {exc or 'closed by the upstream'}"))
        payload = self._newest_payload
        if payload is None or payload.is_eof():
            return
        if self._broken and self._error is not None:
            # This side ended the connection, so the answer is not complete.
            payload.set_exception(self._error)
            return
        # Only an orderly end completes an answer that has no length.
        if exc is None and self._parser is not None:
            try:
                self._parser.feed_eof()
            except HttpProcessingError as error:
                payload.set_exception(AnswerBroken(f"the answer was cut: {error.message}"))
                return
            if payload.is_eof():
                return
        payload.set_exception(kind(f"the answer was cut: {exc or 'closed'}"))

    def send(self, method: str, head: bytes, body: bytes) -> None:
        """Write a complete request; raise ConnectFailed if the connection is closed already."""
        if self.transport is None or self.transport.is_closing():
            raise ConnectFailed("the connection was closed before the request was sent")
        self._parser = HttpResponseParser(
            self,
            self._loop,
            READ_BUFFER_BYTES,
            max_line_size=MAX_HEADER_BYTES,
            max_field_size=MAX_HEADER_BYTES,
            payload_exception=AnswerBroken,
            response_with_body=method != "HEAD",
            read_until_eof=True,
            auto_decompress=False,
        )
        self._idle = False
        self._payload = None
        self._newest_payload = None
        self._received = 0
        self._head_received = 0
        self._unsent = memoryview(body)[SENT_BYTES:]
        self.transport.write(head + body[:SENT_BYTES])
        self._send_parts()

    def resume_writing(self) -> None:
        """Write more of the body, since the upstream has taken what was written."""
        super().resume_writing()
        self._send_parts()

    async def receive(self, request_id: str) -> Answer:
        """Return the answer to the request sent last; raise AnswerBroken or AnswerMismatched.

        Late answers to earlier requests on this connection are skipped. An answer counts only if it
        names the request: a refusal of another request would hide that this one has run.
        """
        for _ in range(MAX_FOREIGN_ANSWERS):
            message, payload = await self._next_answer()
            if 100 <= message.code < 200:
                continue
            head = decode_answer(message.raw_headers)
            if head.request_id != request_id:
                self._not_reusable = True
                if not head.request_id and not self._reused:
                    raise AnswerMismatched("the answer names no request")
                await _discard(payload)
                continue
            self._payload = payload
            if head.close or message.should_close:
                self._not_reusable = True
            self.keep_alive_s = head.keep_alive_s
            framed = message.chunked or "Content-Length" in message.headers
            return Answer(message.code, message.reason, message.raw_headers, head, payload, framed)
        raise AnswerMismatched("the upstream answers other requests on this connection")

    def mark_idle(self, now_s: float) -> None:
        """Mark the connection idle after a complete answer."""
        self._idle = True
        self._reused = True
        self.idle_since_s = now_s

    def abort(self) -> None:
        """Close at once, so that the upstream stops its work."""
        if self.transport is not None:
            self.transport.abort()

    async def _next_answer(self) -> tuple[RawResponseMessage, StreamReader]:
        while not self._answers:
            if self._error is not None:
                raise self._error
            self._waiter = self._loop.create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        return self._answers.popleft()

    def _send_parts(self) -> None:
        """Write the body in parts until the upstream does not take one at once."""
        transport = self.transport
        while self._unsent and not self._paused and transport and not transport.is_closing():
            part = self._unsent[:SENT_BYTES]
            self._unsent = self._unsent[SENT_BYTES:]
            transport.write(part)
        if not self._unsent:
            # An empty view would keep the body.
            self._unsent = _NOTHING

    def _break(self, reason: str) -> None:
        """Abort the connection and its answer, since the upstream's answer is invalid."""
        self._broken = True
        self._fail(AnswerBroken(reason))
        self.abort()

    def _fail(self, error: Exception) -> None:
        if self._error is None:
            self._error = error
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


class Answer:
    """Holds an upstream's status and headers, and the reader of its body.

    A body that is not `framed` has neither a length nor chunks and ends with its connection.
    """

    __slots__ = ("body", "framed", "head", "raw_headers", "reason", "status")

    def __init__(
        self,
        status: int,
        reason: str,
        raw_headers: tuple[tuple[bytes, bytes], ...],
        head: AnswerHead,
        body: StreamReader,
        framed: bool = True,
    ):
        self.status = status
        self.reason = reason
        self.raw_headers = raw_headers
        self.head = head
        self.body = body
        self.framed = framed


def set_liveness_options(opened: socket.socket | None) -> None:
    """Make the system detect a dead connection, which nothing else would end."""
    if opened is None:
        return
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    opened.setsockopt(socket.IPPROTO_TCP, _TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS)


async def _discard(payload: StreamReader) -> None:
    while not payload.at_eof():
        await payload.readany()
