"""Stand-in of a plain service that counts how often each request ran."""

from __future__ import annotations

import argparse
import asyncio
from collections import Counter

from aiohttp import web

from standin.fault import Faults, add_fault_routes


class PlainServer:
    """Answers every call and counts runs by idempotency key and by request id."""

    def __init__(self, name: str):
        self.name = name
        self.runs: Counter[str] = Counter()
        self.faults = Faults()

    def build(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=8 << 20)
        app.router.add_get("/runs", self._runs)
        add_fault_routes(app, self.faults)
        app.router.add_route("*", "/{path:.*}", self._serve)
        return app

    async def _serve(self, request: web.Request) -> web.Response:
        await self.faults.before()
        body = await request.read()
        request_id = request.headers.get("X-Request-Id", "")
        key = request.headers.get("Idempotency-Key") or request_id
        self.runs[key] += 1
        answer = {
            "server": self.name,
            "path": request.path,
            "echo": body.decode("utf-8", "replace"),
        }
        return web.json_response(answer, headers={"X-Request-Id": request_id})

    async def _runs(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.runs))


def main() -> None:
    """Serve a plain service on an address."""
    from standin.serve import serve_application

    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("address")
    parser.add_argument("--name", required=True)
    options = parser.parse_args()
    asyncio.run(serve_application(PlainServer(options.name).build(), options.address))


if __name__ == "__main__":
    main()
