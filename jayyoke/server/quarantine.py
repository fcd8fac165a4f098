"""Operators' view of the messages that are kept from engines, and their clearance."""

from __future__ import annotations

from aiohttp import web

from jayyoke.ops.chatparts import ChatParts
from jayyoke.ops.partkeys import MAX_KEY_CHARACTERS
from jayyoke.server.operatorproblem import OperatorProblem, read_json


class QuarantineRoutes:
    """Lists the parts that are kept from engines, and clears one."""

    def __init__(self, chat_parts: ChatParts):
        self._chat_parts = chat_parts

    def add(self, app: web.Application) -> None:
        """Add the routes to the operators' application."""
        app.router.add_get("/v1/quarantine", self._show)
        app.router.add_post("/v1/quarantine/clear", self._clear)

    async def _show(self, http_request: web.Request) -> web.Response:
        quarantine = self._chat_parts.quarantine
        parts = []
        for key in sorted(quarantine.list_quarantined()):
            engines = [end.engine for end in quarantine.describe(key).ends]
            wait_s = quarantine.find_wait_s([key])
            parts.append(
                {
                    "part": key,
                    "engines": engines,
                    "trial_in_s": 0.0 if wait_s is None else round(wait_s, 1),
                }
            )
        return web.json_response({"parts": parts})

    async def _clear(self, http_request: web.Request) -> web.Response:
        body = await read_json(http_request)
        part = body.get("part") if isinstance(body, dict) else None
        if not isinstance(part, str) or not 0 < len(part) <= MAX_KEY_CHARACTERS:
            detail = f"part is not a text of 1 to {MAX_KEY_CHARACTERS} characters"
            raise OperatorProblem(422, "invalid-part", detail)
        return web.json_response({"cleared": self._chat_parts.record_good([part])})
