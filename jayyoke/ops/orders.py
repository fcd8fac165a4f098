"""Orders to engines to load a version, with a fencing token, and the states that they report."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import aiohttp

from jayyoke.core.error import UpstreamError
from jayyoke.core.upstream import Upstream
from jayyoke.utils.connector import read_limited
from jayyoke.utils.jsontext import parse_json

ORDER_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 1.0
MAX_STATE_BYTES = 64 << 10


class OrderRefused(UpstreamError):
    """Reports that an engine refused an order, for example for its old fencing token."""


@dataclass(frozen=True, slots=True)
class EngineState:
    """Holds the state that an engine reports."""

    version: str
    incarnation: str
    state: str
    fence: int

    @property
    def ready(self) -> bool:
        """Tell whether the engine accepts work."""
        return self.state == "live"


async def read_engine_state(http: aiohttp.ClientSession, upstream: Upstream) -> EngineState | None:
    """Return the state of an engine, or None if it gives no valid answer."""
    timeout = aiohttp.ClientTimeout(total=READ_TIMEOUT_S)
    try:
        async with http.get(f"{upstream.url}/load", timeout=timeout) as answer:
            if answer.status != 200:
                return None
            return _parse_state(parse_json(await read_limited(answer, MAX_STATE_BYTES)))
    except (
        TimeoutError,
        aiohttp.ClientError,
        ValueError,
        KeyError,
        TypeError,
        OverflowError,
        RecursionError,
    ):
        return None


async def order_version(
    http: aiohttp.ClientSession, upstream: Upstream, version: str, fence: int
) -> None:
    """Order an engine to load a version; raise OrderRefused or UpstreamError.

    An engine answers once the version is loaded, so an order that times out may still succeed; the
    engine's state tells later.
    """
    order = {"action": "load-version", "version": version, "fence": fence}
    timeout = aiohttp.ClientTimeout(total=ORDER_TIMEOUT_S)
    try:
        async with http.post(f"{upstream.url}/orders", json=order, timeout=timeout) as answer:
            if answer.status == 409:
                raise OrderRefused(f"{upstream.name} refused fencing token {fence}")
            if answer.status != 200:
                raise UpstreamError(f"{upstream.name} answered an order with {answer.status}")
    except TimeoutError:
        return
    except aiohttp.ClientError as error:
        raise UpstreamError(f"{upstream.name}: {type(error).__name__}") from error


def _parse_state(body: Any) -> EngineState:
    return EngineState(
        str(body["version"]), str(body["incarnation"]), str(body["state"]), int(body["fence"])
    )
