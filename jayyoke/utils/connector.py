"""Connector of an HTTP client whose connections keep little of what a faulty server sends.

aiohttp bounds bodies by back pressure, but parses all bytes of a read at once: a read of 256 KB can
hold thousands of tiny answers, of which the parser makes objects of some KB each.
"""

from __future__ import annotations

import asyncio
import functools

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http_parser import RawResponseMessage
from aiohttp.streams import StreamReader

from jayyoke.utils.unwritten import count_unwritten_bytes

READ_BYTES = 16 << 10
PARSED_BYTES = 4 << 10
# Interim answers and those to no request; more are a fault of the server.
MAX_WAITING_ANSWERS = 4
# Interim answers included; a status outside of it is none of HTTP.
STATUSES = range(100, 600)
# All connections share it, since its bytes are parsed before the next read of any of them.
_read_buffer = bytearray(READ_BYTES)


class BoundedHandler(ResponseHandler, asyncio.BufferedProtocol):
    """Parses few bytes at once, and closes a connection whose answers are not to be taken.

    Those are answers that nobody takes, those with a status that HTTP does not have, and those
    that end with their connection before their request was written.
    """

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next bytes."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes in the buffer."""
        data = bytes(memoryview(_read_buffer)[:nbytes])
        for start in range(0, nbytes, PARSED_BYTES):
            self.data_received(data[start : start + PARSED_BYTES])
            if len(self) > MAX_WAITING_ANSWERS:
                self._break("too many answers")
                return

    def feed_data(self, data: tuple[RawResponseMessage, StreamReader], size: int = 0) -> None:
        """Take the head of an answer."""
        code = data[0].code
        if code not in STATUSES:
            self._break(f"status {code} is no answer")
            return
        super().feed_data(data, size)

    def eof_received(self) -> None:
        """Break an answer that ends with its connection before its request was written.

        The transport would write the rest of the request and then end in order.
        """
        super().eof_received()
        unfinished = self._payload is None or not self._payload.is_eof()
        if unfinished and count_unwritten_bytes(self.transport):
            self._break("the answer ended before the request was written")

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the answer, which only an orderly end completes if it has no length."""
        if exc is not None:
            self._break_payload(aiohttp.ClientPayloadError(f"the answer was cut: {exc}"))
        super().connection_lost(exc)

    def _break_payload(self, error: aiohttp.ClientError) -> None:
        if self._payload is not None and not self._payload.is_eof():
            self._payload.set_exception(error)
            # The base class would complete an answer without a length.
            self._parser = None

    def _break(self, reason: str) -> None:
        error = aiohttp.ClientPayloadError(reason)
        self._break_payload(error)
        self.set_exception(error)
        if self.transport is not None:
            self.transport.abort()


class BoundedConnector(aiohttp.TCPConnector):
    """Opens connections with bounded handlers."""

    def __init__(self, **options: object):
        super().__init__(**options)  # type: ignore[arg-type]
        # aiohttp has no option for it; connector_test.py fails if an update changes this.
        self._factory = functools.partial(BoundedHandler, loop=self._loop)


async def read_limited(answer: aiohttp.ClientResponse, limit_bytes: int) -> bytes:
    """Return the body of an answer; raise ClientPayloadError if it exceeds the limit."""
    chunks = []
    size = 0
    async for chunk in answer.content.iter_any():
        size += len(chunk)
        if size > limit_bytes:
            answer.close()
            raise aiohttp.ClientPayloadError(f"the answer exceeds {limit_bytes} bytes")
        chunks.append(chunk)
    return b"".join(chunks)
