"""Log of the requests that reached a stand-in, read by the demo and by tests."""

from __future__ import annotations

import time
from collections import deque

from aiohttp import web

MAX_ARRIVALS = 50_000


class ArrivalLog:
    """Records when each request arrived, the version it reached and whether it was accepted.

    Times are in monotonic seconds; all processes of a machine share this clock.
    """

    def __init__(self) -> None:
        self._arrivals: deque[tuple[float, str, str, bool]] = deque(maxlen=MAX_ARRIVALS)

    def record(self, request: web.Request, version: str = "", accepted: bool = True) -> None:
        """Record a request that arrives now."""
        request_id = request.headers.get("X-Request-Id", "")
        self._arrivals.append((time.monotonic(), version, request_id, accepted))

    def add_route(self, app: web.Application) -> None:
        """Serve the log at GET /arrivals."""
        app.router.add_get("/arrivals", self._list)

    async def _list(self, request: web.Request) -> web.Response:
        return web.json_response(list(self._arrivals))
