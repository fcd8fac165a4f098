"""Stand-in of a model engine with streams, resumption and a prefix cache."""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import json
import secrets
from typing import Any

from aiohttp import web

from standin.fault import Faults, add_fault_routes

KEEP_ALIVE_S = 0.5


def generate_token(prompt: str, position: int) -> str:
    """Return the token at a position; the same for the same prompt on every engine."""
    digest = hashlib.sha256(f"{prompt}|{position}".encode()).hexdigest()
    return f" {digest[:4]}"


def flatten_prompt(messages: list[dict[str, Any]]) -> str:
    """Return the messages as one text."""
    return "\n".join(f"{message.get('role')}:{message.get('content')}" for message in messages)


class EngineServer:
    """Streams deterministic tokens and counts the requests it runs."""

    def __init__(self, name: str, version: str = "v1", token_s: float = 0.01):
        self.name = name
        self.version = version
        self.token_s = token_s
        self.incarnation = secrets.token_hex(4)
        self.running = 0
        self.served = 0
        self.faults = Faults()

    def build(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=8 << 20)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_get("/load", self._load)
        add_fault_routes(app, self.faults)
        return app

    def _headers(self, request: web.Request) -> dict[str, str]:
        return {
            "X-Request-Id": request.headers.get("X-Request-Id", ""),
            "X-Engine-Incarnation": self.incarnation,
            "X-Engine-Version": self.version,
        }

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        await self.faults.before()
        body = await request.json()
        prompt = flatten_prompt(body["messages"])
        start = int(request.headers.get("X-Resume-From", "0"))
        count = int(body.get("max_tokens") or body.get("max_completion_tokens") or 16)
        response = web.StreamResponse(headers=self._headers(request))
        response.content_type = "text/event-stream"
        await response.prepare(request)
        self.running += 1
        try:
            for position in range(start, count):
                await asyncio.sleep(self.token_s)
                await self._send(response, body, generate_token(prompt, position), None)
            await self._send(response, body, "", "stop")
            await response.write(b"data: [DONE]\n\n")
            self.served += 1
        finally:
            self.running -= 1
        return response

    async def _send(
        self, response: web.StreamResponse, body: dict[str, Any], token: str, finish: str | None
    ) -> None:
        delta = {"content": token} if token else {}
        event = {
            "id": response.headers["X-Request-Id"],
            "object": "chat.completion.chunk",
            "created": 0,
            "model": body.get("model", ""),
            "choices": [{"index": 0, "delta": delta, "finish_reason": finish}],
        }
        await response.write(b"data: " + json.dumps(event).encode() + b"\n\n")

    async def _load(self, request: web.Request) -> web.Response:
        load = {"running": self.running, "served": self.served, "version": self.version}
        return web.json_response(load | {"incarnation": self.incarnation})


def main() -> None:
    """Serve an engine on an address."""
    from standin.serve import serve_application

    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("address")
    parser.add_argument("--name", required=True)
    parser.add_argument("--version", default="v1")
    options = parser.parse_args()
    server = EngineServer(options.name, options.version)
    asyncio.run(serve_application(server.build(), options.address))


if __name__ == "__main__":
    main()
