"""Faults of a stand-in that tests switch on from outside with POST /fault."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, fields

from aiohttp import web


@dataclass(slots=True)
class Faults:
    """Holds the faults in force; delay_s is in seconds."""

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0

    async def before(self) -> None:
        """Refuse or delay a call before it takes effect."""
        if self.down:
            raise web.HTTPServiceUnavailable
        if self.delay_s:
            await asyncio.sleep(self.delay_s)

    async def after_write(self) -> None:
        """Lose the answer of a write that took effect."""
        if self.lose_answers > 0:
            self.lose_answers -= 1
            raise web.HTTPGatewayTimeout


def add_fault_routes(app: web.Application, faults: Faults) -> None:
    """Let POST /fault set fields of the faults."""

    async def set_faults(request: web.Request) -> web.Response:
        body = await request.json()
        for field in fields(faults):
            if field.name in body:
                setattr(faults, field.name, body[field.name])
        return web.json_response({"ok": True})

    app.router.add_post("/fault", set_faults)
