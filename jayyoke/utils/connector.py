"""Connector of an HTTP client whose connections keep little of what a faulty server sends.

aiohttp bounds bodies by back pressure, but parses all bytes of a read at once: a read of 256 KB can
hold thousands of tiny answers, of which the parser makes objects of some KB each.
"""

from __future__ import annotations

import asyncio
import functools

import aiohttp
from aiohttp.client_proto import ResponseHandler

READ_BYTES = 16 << 10
PARSED_BYTES = 4 << 10
# Interim answers and those to no request; more are a fault of the server.
MAX_WAITING_ANSWERS = 4
# All connections share it, since its bytes are parsed before the next read of any of them.
_read_buffer = bytearray(READ_BYTES)


class BoundedHandler(ResponseHandler, asyncio.BufferedProtocol):
    """Parses few bytes at once, and closes a connection with answers that nobody takes."""

    def get_buffer(self, sizehint: int) -> bytearray:
        """Return the buffer for the next bytes."""
        return _read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Parse the bytes in the buffer."""
        data = bytes(memoryview(_read_buffer)[:nbytes])
        for start in range(0, nbytes, PARSED_BYTES):
            self.data_received(data[start : start + PARSED_BYTES])
            if len(self) > MAX_WAITING_ANSWERS:
                self.set_exception(aiohttp.ClientPayloadError("too many answers"))
                if self.transport is not None:
                    self.transport.abort()
                return


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
