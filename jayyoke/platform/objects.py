"""Client of the platform's object store."""

from __future__ import annotations

from urllib.parse import quote

import aiohttp

from jayyoke.core.error import Effect, StoreUnavailable
from jayyoke.platform.body import read_body

MAX_OBJECT_BYTES = 64 << 20


class Objects:
    """Reads and writes whole objects over HTTP; every call has a timeout in seconds."""

    __slots__ = ("_http", "_timeout", "_url")

    def __init__(self, http: aiohttp.ClientSession, url: str, timeout_s: float = 2.0):
        self._http = http
        self._url = url
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)

    async def get(self, key: str) -> bytes | None:
        """Return an object, or None if it does not exist; raise StoreUnavailable."""
        status, body = await self._call("GET", key, None, Effect.NONE)
        if status == 404:
            return None
        if status != 200:
            raise StoreUnavailable(f"object store answered a read with {status}")
        return body

    async def put(self, key: str, value: bytes) -> None:
        """Write an object; raise StoreUnavailable with the known effect."""
        status, _ = await self._call("PUT", key, value, Effect.UNKNOWN)
        if status not in (200, 201, 204):
            raise StoreUnavailable(f"object store answered a write with {status}", Effect.UNKNOWN)

    async def _call(
        self, method: str, key: str, value: bytes | None, effect: Effect
    ) -> tuple[int, bytes]:
        url = f"{self._url}/o/{quote(key)}"
        try:
            async with self._http.request(
                method, url, data=value, timeout=self._timeout
            ) as response:
                return response.status, await read_body(response, MAX_OBJECT_BYTES, effect)
        except aiohttp.ClientConnectorError as error:
            raise StoreUnavailable(f"object store cannot be reached: {error}") from error
        except (TimeoutError, aiohttp.ClientError) as error:
            detail = f"object store did not answer: {type(error).__name__}"
            raise StoreUnavailable(detail, effect) from error
