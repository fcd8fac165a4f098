"""Stand-in of an engine that follows a script for each request, with one fault at a time.

A script is a text of steps: a number sends that many tokens and `rest` the remaining ones; `half`
sends half of an event; `break` aborts the connection; `end` ends the body without a finish event;
`silent` sends nothing more and keeps the connection open; `mute` does so before the response head;
`error` sends an error event; `crossed` answers with another request's id; `status:503` refuses, and
`status:503:30` also asks for a pause of 30 s; `leaving` as the first step says so in the head, and
`limit:4` there names a limit of 4 requests a second;
`comments` sends keep-alive comments; `usage` sends the usage numbers of this connection; `finish`
sends the finish event and `stop` also the end mark; `wait` waits for `continue_event`; `restart`
changes the incarnation, if the engine has one.
"""

from __future__ import annotations

import asyncio
import json

from aiohttp import web

from standin.enginemodel import flatten_prompt, generate_token

COMPLETE_ANSWER = "rest stop"


class ScriptedEngine:
    """Follows one script for each request, and answers completely once no script is left."""

    def __init__(self, name: str, *scripts: str):
        self.name = name
        self.scripts = list(scripts)
        self.ports: list[int] = []
        self.headers: list[dict[str, str]] = []
        self.bodies: list[dict] = []
        self.cancelled_ids: list[str] = []
        self.aborted = asyncio.Event()
        self.called = asyncio.Event()
        self.cancel_received = asyncio.Event()
        self.continue_event = asyncio.Event()
        self._runner: web.AppRunner | None = None
        self.address = ""
        self.incarnation = ""

    async def start(self, address: str = "127.0.0.1:0") -> None:
        """Listen on a loopback port."""
        app = web.Application(client_max_size=8 << 20)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_post("/cancel", self._cancel)
        app.router.add_get("/load", self._load)
        self._runner = web.AppRunner(
            app, access_log=None, handler_cancellation=True, shutdown_timeout=0.1
        )
        await self._runner.setup()
        host, _, port = address.rpartition(":")
        await web.TCPSite(self._runner, host, int(port)).start()
        self.address = f"127.0.0.1:{self._runner.addresses[0][1]}"

    async def close(self) -> None:
        """Stop listening."""
        if self._runner is not None:
            await self._runner.cleanup()

    async def _cancel(self, request: web.Request) -> web.Response:
        self.cancelled_ids.append(request.headers.get("X-Request-Id", ""))
        self.cancel_received.set()
        return web.json_response({})

    async def _load(self, request: web.Request) -> web.Response:
        body = {"version": "v1", "incarnation": self.incarnation, "state": "live", "fence": 0}
        return web.json_response(body)

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        assert request.transport is not None
        self.ports.append(request.transport.get_extra_info("peername")[1])
        self.headers.append(dict(request.headers))
        self.called.set()
        body = await request.json()
        self.bodies.append(body)
        steps = (self.scripts.pop(0) if self.scripts else COMPLETE_ANSWER).split()
        try:
            return await self._run_script(request, body, steps)
        except (asyncio.CancelledError, ConnectionError):
            self.aborted.set()
            raise

    async def _run_script(
        self, request: web.Request, body: dict, steps: list[str]
    ) -> web.StreamResponse:
        if steps[0].startswith("status:"):
            status, _, pause = steps[0][7:].partition(":")
            headers = {"Retry-After": pause} if pause else None
            return web.Response(status=int(status), headers=headers)
        if steps[0] == "mute":
            await asyncio.Event().wait()
        crossed = steps[0] == "crossed"
        request_id = "other" if crossed else request.headers["X-Request-Id"]
        headers = {"X-Request-Id": request_id, "Content-Type": "text/event-stream"}
        if self.incarnation:
            headers["X-Engine-Incarnation"] = self.incarnation
        if steps[0] == "leaving":
            headers["Server-Leaving"] = "1"
        if steps[0].startswith("limit:"):
            headers["Server-Limit"] = steps[0][6:]
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        position = int(request.headers.get("X-Resume-From", "0"))
        await response.write(_format_event({"role": "assistant", "content": ""}))
        for step in steps:
            position = await self._run_step(request, response, body, step, position)
        return response

    async def _run_step(
        self, request: web.Request, response: web.StreamResponse, body: dict, step: str, start: int
    ) -> int:
        prompt = flatten_prompt(body["messages"])
        token_count = int(body.get("max_tokens") or 16)
        if step.isdigit() or step == "rest":
            count = token_count - start if step == "rest" else int(step)
            for position in range(start, start + count):
                await response.write(_format_event({"content": generate_token(prompt, position)}))
            return start + count
        match step:
            case "half":
                event = _format_event({"content": generate_token(prompt, start)})
                await response.write(event[: len(event) // 2])
            case "break":
                # Let the written bytes reach the router before the connection is aborted.
                await asyncio.sleep(0.02)
                request.transport.abort()
            case "silent":
                await asyncio.Event().wait()
            case "restart":
                self.incarnation += "+"
            case "wait":
                await self.continue_event.wait()
            case "error":
                await response.write(b'data: {"error": {"message": "out of memory"}}\n\n')
            case "comments":
                await response.write(b": keep-alive\n\n" * 2)
            case "usage":
                used = {
                    "prompt_tokens": 7,
                    "completion_tokens": token_count - start,
                    "total_tokens": 9,
                }
                event = json.dumps({"choices": [], "usage": used}).encode()
                await response.write(b"data: " + event + b"\n\n")
            case "finish":
                await response.write(_format_event({}, "stop"))
            case "stop":
                await response.write(_format_event({}, "stop") + b"data: [DONE]\n\n")
        return start


def _format_event(delta: dict, finish: str | None = None) -> bytes:
    choice = {"index": 0, "delta": delta, "finish_reason": finish}
    event = {"id": "c", "object": "chat.completion.chunk", "created": 0, "model": "m"}
    return b"data: " + json.dumps(event | {"choices": [choice]}).encode() + b"\n\n"
