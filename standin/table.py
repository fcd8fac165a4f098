"""Stand-in of the platform's transactional table service."""

from __future__ import annotations

import asyncio
import base64
from typing import Any

from aiohttp import web

from standin.fault import Faults, RateLimit, add_fault_routes

WRITES_PER_S = 400.0
READS_PER_S = 2000.0


class TableServer:
    """Keeps rows in memory; a commit applies all its puts or none."""

    def __init__(self) -> None:
        self.rows: dict[str, tuple[bytes, int]] = {}
        self.writes = 0
        self.reads = 0
        self.faults = Faults(writes_per_s=WRITES_PER_S, reads_per_s=READS_PER_S)
        self._write_limit = RateLimit()
        self._read_limit = RateLimit()

    def build(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=8 << 20)
        app.router.add_post("/v1/get", self._get)
        app.router.add_post("/v1/scan", self._scan)
        app.router.add_post("/v1/commit", self._commit)
        app.router.add_get("/stats", self._stats)
        add_fault_routes(app, self.faults)
        return app

    async def _admit_read(self) -> None:
        await self.faults.apply_before()
        self._read_limit.admit(self.faults.reads_per_s)

    async def _get(self, request: web.Request) -> web.Response:
        await self._admit_read()
        self.reads += 1
        if self.faults.use_up("malformed"):
            return web.json_response({"row": {"key": 1}, "rows": [{"value": "?"}]})
        key = (await request.json())["key"]
        row = self._format(key) if key in self.rows else None
        return web.json_response({"row": row})

    async def _scan(self, request: web.Request) -> web.Response:
        await self._admit_read()
        self.reads += 1
        if self.faults.use_up("malformed"):
            return web.json_response({"row": {"key": 1}, "rows": [{"value": "?"}]})
        body = await request.json()
        keys = sorted(
            key for key in self.rows if key.startswith(body["prefix"]) and key > body["after"]
        )
        return web.json_response({"rows": [self._format(key) for key in keys[: body["limit"]]]})

    async def _commit(self, request: web.Request) -> web.Response:
        await self.faults.apply_before()
        self._write_limit.admit(self.faults.writes_per_s)
        self.writes += 1
        puts = (await request.json())["puts"]
        conflicts = [index for index, put in enumerate(puts) if not self._meets_condition(put)]
        if not conflicts:
            for put in puts:
                self._apply(put)
        await self.faults.apply_after_write()
        if self.faults.use_up("malformed"):
            return web.Response(text="{", content_type="application/json")
        if conflicts:
            return web.json_response({"conflicts": conflicts})
        return web.json_response({"committed": True})

    async def _stats(self, request: web.Request) -> web.Response:
        counts = {"writes": self.writes, "reads": self.reads, "rows": len(self.rows)}
        return web.json_response(counts)

    def _meets_condition(self, put: dict[str, Any]) -> bool:
        if put["expect"] is None:
            return True
        current = self.rows[put["key"]][1] if put["key"] in self.rows else 0
        return current == put["expect"]

    def _apply(self, put: dict[str, Any]) -> None:
        key = put["key"]
        if put["value"] is None:
            self.rows.pop(key, None)
            return
        version = self.rows[key][1] + 1 if key in self.rows else 1
        self.rows[key] = (base64.b64decode(put["value"]), version)

    def _format(self, key: str) -> dict[str, Any]:
        value, version = self.rows[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "version": version}


def main() -> None:
    """Serve the table at HOST:PORT, the first argument."""
    from standin.serve import serve_application

    asyncio.run(serve_application(TableServer().build()))


if __name__ == "__main__":
    main()
