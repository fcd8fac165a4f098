"""Reading of the platform's answers up to a size limit."""

from __future__ import annotations

import aiohttp

from jayyoke.core.error import Effect, StoreUnavailable

CHUNK_BYTES = 64 << 10


async def read_body(response: aiohttp.ClientResponse, limit: int, effect: Effect) -> bytes:
    """Return the body of an answer of at most `limit` bytes; raise StoreUnavailable."""
    chunks = []
    size = 0
    async for chunk in response.content.iter_chunked(CHUNK_BYTES):
        size += len(chunk)
        if size > limit:
            response.close()
            raise StoreUnavailable(f"the platform's answer exceeds {limit} bytes", effect)
        chunks.append(chunk)
    return b"".join(chunks)
