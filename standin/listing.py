"""Stand-in of the platform's list of live and leaving instances and workers."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Any

from aiohttp import web

from standin.fault import Faults, add_fault_routes


class ListingServer:
    """Returns its entries; POST /entries adds, updates or removes entries by name."""

    def __init__(self, entries: list[dict[str, Any]]):
        self.entries = {entry["name"]: entry for entry in entries}
        self.faults = Faults()

    def build(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application()
        app.router.add_get("/v1/instances", self._list)
        app.router.add_post("/entries", self._update)
        add_fault_routes(app, self.faults)
        return app

    async def _list(self, request: web.Request) -> web.Response:
        await self.faults.apply_before()
        return web.json_response({"instances": list(self.entries.values())})

    async def _update(self, request: web.Request) -> web.Response:
        for entry in await request.json():
            if entry.get("state") == "gone":
                self.entries.pop(entry["name"], None)
                continue
            self.entries[entry["name"]] = self.entries.get(entry["name"], {}) | entry
        return web.json_response({"ok": True})


def main() -> None:
    """Serve the list; the arguments are HOST:PORT and a JSON file of entries."""
    from standin.serve import serve_application

    entries = json.loads(Path(sys.argv[2]).read_text(encoding="utf-8"))
    asyncio.run(serve_application(ListingServer(entries).build()))


if __name__ == "__main__":
    main()
