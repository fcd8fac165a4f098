"""Stand-in of the platform's rate-limited weight store."""

from __future__ import annotations

import asyncio
import time

from aiohttp import web

from standin.fault import Faults, add_fault_routes

READS_PER_S = 2.0


class WeightServer:
    """Returns weights of any version and refuses reads above its rate."""

    def __init__(self, reads_per_s: float = READS_PER_S):
        self.interval_s = 1.0 / reads_per_s
        self.next_read_s = 0.0
        self.faults = Faults()

    def build(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/weights/{version}", self._get)
        add_fault_routes(app, self.faults)
        return app

    async def _get(self, request: web.Request) -> web.Response:
        await self.faults.apply_before()
        now_s = time.monotonic()
        if now_s < self.next_read_s:
            raise web.HTTPTooManyRequests(headers={"Retry-After": "1"})
        self.next_read_s = now_s + self.interval_s
        return web.Response(text=f"weights of {request.match_info['version']}")


def main() -> None:
    """Serve the weight store at HOST:PORT, the first argument."""
    from standin.serve import serve_application

    asyncio.run(serve_application(WeightServer().build()))


if __name__ == "__main__":
    main()
