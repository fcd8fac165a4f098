"""Stand-in of the platform's object store."""

from __future__ import annotations

import asyncio

from aiohttp import web

from standin.fault import Faults, RateLimit, add_fault_routes

WRITES_PER_S = 400.0
READS_PER_S = 2000.0


class ObjectServer:
    """Keeps objects in memory, each read and written as a whole."""

    def __init__(self) -> None:
        self.objects: dict[str, bytes] = {}
        self.faults = Faults(writes_per_s=WRITES_PER_S, reads_per_s=READS_PER_S)
        self._write_limit = RateLimit()
        self._read_limit = RateLimit()

    def build(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=64 << 20)
        app.router.add_get("/o/{key:.+}", self._get)
        app.router.add_put("/o/{key:.+}", self._put)
        app.router.add_delete("/o/{key:.+}", self._delete)
        add_fault_routes(app, self.faults)
        return app

    async def _get(self, request: web.Request) -> web.Response:
        await self.faults.apply_before()
        self._read_limit.admit(self.faults.reads_per_s)
        value = self.objects.get(request.match_info["key"])
        if value is None:
            raise web.HTTPNotFound
        return web.Response(body=value, content_type="application/octet-stream")

    async def _put(self, request: web.Request) -> web.Response:
        await self.faults.apply_before()
        self._write_limit.admit(self.faults.writes_per_s)
        self.objects[request.match_info["key"]] = await request.read()
        await self.faults.apply_after_write()
        return web.Response(status=204)

    async def _delete(self, request: web.Request) -> web.Response:
        await self.faults.apply_before()
        self._write_limit.admit(self.faults.writes_per_s)
        self.objects.pop(request.match_info["key"], None)
        return web.Response(status=204)


def main() -> None:
    """Serve the object store at HOST:PORT, the first argument."""
    from standin.serve import serve_application

    asyncio.run(serve_application(ObjectServer().build()))


if __name__ == "__main__":
    main()
