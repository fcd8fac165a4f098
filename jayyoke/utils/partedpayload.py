"""Request bodies that an HTTP client writes in parts."""

from __future__ import annotations

from aiohttp.abc import AbstractStreamWriter
from aiohttp.payload import BytesPayload

PART_BYTES = 32 << 10


class PartedPayload(BytesPayload):
    """Writes bytes in parts, and waits while the server does not take them.

    aiohttp passes a whole body to the transport, which copies what the server does not take.
    """

    async def write_with_length(
        self, writer: AbstractStreamWriter, content_length: int | None
    ) -> None:
        """Write the body, at most `content_length` bytes of it."""
        view = memoryview(self._value)[:content_length]
        for start in range(0, len(view), PART_BYTES):
            await writer.write(view[start : start + PART_BYTES])


def build_payload(body: bytes) -> bytes | PartedPayload:
    """Return what to pass to aiohttp as the body of a request."""
    return body if len(body) <= PART_BYTES else PartedPayload(body)
