"""Faults of a stand-in that tests switch on with POST /fault."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, fields

from aiohttp import web

# The header by which an upstream says that it leaves.
LEAVING = {"Server-Leaving": "1"}


@dataclass(slots=True)
class Faults:
    """Holds the faults in force; delay_s and late_s are seconds, integers count affected calls."""

    down: bool = False
    delay_s: float = 0.0
    lose_answers: int = 0
    malformed: int = 0
    writes_per_s: float = 0.0
    reads_per_s: float = 0.0
    # The remaining faults concern plain services.
    deduplicates: bool = False
    stores_durably: bool = True
    late_s: float = 0.0
    cross: int = 0
    truncate: int = 0
    drop: int = 0
    silence: int = 0
    fail_after: int = 0
    # Calls that are refused with a pause of `pause_s` seconds, and whether answers say that the
    # service leaves.
    refuse: int = 0
    pause_s: float = 0.0
    leaves: bool = False
    # Requests a second that answers name as the limit; negative names none.
    limit_per_s: float = -1.0

    def list_notices(self, leaves: bool = False) -> dict[str, str]:
        """Return the headers by which an answer says something of its upstream."""
        headers = dict(LEAVING) if leaves or self.leaves else {}
        if self.limit_per_s >= 0:
            headers["Server-Limit"] = f"{self.limit_per_s:g}"
        return headers

    async def apply_before(self) -> None:
        """Refuse or delay a call before it takes effect."""
        if self.down:
            raise web.HTTPServiceUnavailable
        if self.delay_s:
            await asyncio.sleep(self.delay_s)

    async def apply_after_write(self) -> None:
        """Replace the answer to a write that took effect by a gateway timeout."""
        if self.use_up("lose_answers"):
            raise web.HTTPGatewayTimeout

    def use_up(self, name: str) -> bool:
        """Count down a fault that affects a number of calls and tell whether it was in force."""
        left = getattr(self, name)
        if left <= 0:
            return False
        setattr(self, name, left - 1)
        return True


class RateLimit:
    """Refuses calls above a rate with 429; a rate of 0 sets no limit."""

    __slots__ = ("_seen_s", "_tokens")

    def __init__(self) -> None:
        self._seen_s = time.monotonic()
        self._tokens = float("inf")

    def admit(self, rate_per_s: float) -> None:
        """Count one call; raise HTTPTooManyRequests above the rate, after a burst of 1 s."""
        if rate_per_s <= 0:
            return
        now_s = time.monotonic()
        self._tokens = min(rate_per_s, self._tokens + (now_s - self._seen_s) * rate_per_s)
        self._seen_s = now_s
        if self._tokens < 1:
            raise web.HTTPTooManyRequests
        self._tokens -= 1


def add_fault_routes(app: web.Application, faults: Faults) -> None:
    """Add POST /fault, which sets fields of the faults."""

    async def set_faults(request: web.Request) -> web.Response:
        body = await request.json()
        for field in fields(faults):
            if field.name in body:
                setattr(faults, field.name, body[field.name])
        return web.json_response({"ok": True})

    app.router.add_post("/fault", set_faults)
