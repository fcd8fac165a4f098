"""Stand-in of a plain service that counts how often each request ran.

The processes of a service share one record of runs, the book: the first process keeps it, and
the others send their runs to it.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import time
from collections import Counter
from dataclasses import dataclass

import aiohttp
from aiohttp import web

from standin.arrivals import ArrivalLog
from standin.fault import Faults, add_fault_routes


@dataclass(frozen=True, slots=True)
class Outcome:
    """Holds the result of one run."""

    status: int
    body: bytes


class PlainServer:
    """Answers every call and counts runs by idempotency key, or by request id without a key."""

    def __init__(self, name: str, deduplicates: bool = False, book_url: str = ""):
        self.name = name
        self.book_url = book_url
        self.runs: Counter[str] = Counter()
        self.requests: list[str] = []
        self.received = 0
        self.last_received_s = 0.0
        self.arrivals = ArrivalLog()
        self.outcomes: dict[str, Outcome] = {}
        self.faults = Faults(deduplicates=deduplicates)

    def build(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=8 << 20)
        app.router.add_get("/runs", self._list_runs)
        app.router.add_get("/stats", self._report_stats)
        app.router.add_get("/requests", self._list_requests)
        app.router.add_get("/outcomes/{key:.+}", self._find_outcome)
        app.router.add_post("/book", self._serve_book)
        add_fault_routes(app, self.faults)
        self.arrivals.add_route(app)
        app.router.add_route("*", "/{path:.*}", self._serve)
        return app

    async def _report_stats(self, request: web.Request) -> web.Response:
        """Return what this process itself received, also if another process keeps the book."""
        idle_s = time.monotonic() - self.last_received_s
        return web.json_response({"received": self.received, "idle_s": idle_s})

    async def _serve(self, request: web.Request) -> web.StreamResponse:
        self.received += 1
        self.last_received_s = time.monotonic()
        self.arrivals.record(request)
        await self.faults.apply_before()
        if self.faults.use_up("refuse"):
            headers = {"X-Request-Id": request.headers.get("X-Request-Id", "")}
            if self.faults.pause_s:
                headers["Retry-After"] = f"{self.faults.pause_s:g}"
            return web.Response(status=503, headers=headers | self.faults.list_notices())
        body = await request.read()
        request_id = request.headers.get("X-Request-Id", "")
        key = request.headers.get("Idempotency-Key") or request_id
        if self.book_url:
            outcome = await self._run_in_book(request, body)
        else:
            outcome = self._run(request, key, request_id, body)
        return await self._answer(request, request_id, outcome)

    async def _run_in_book(self, request: web.Request, body: bytes) -> Outcome:
        names = ("X-Request-Id", "Idempotency-Key")
        headers = {name: request.headers[name] for name in names if name in request.headers}
        headers["X-Path"] = request.path
        async with (
            aiohttp.ClientSession() as http,
            http.post(f"{self.book_url}/book", data=body, headers=headers) as answer,
        ):
            return Outcome(answer.status, await answer.read())

    async def _serve_book(self, request: web.Request) -> web.Response:
        request_id = request.headers.get("X-Request-Id", "")
        key = request.headers.get("Idempotency-Key") or request_id
        outcome = self._run(request, key, request_id, await request.read())
        return web.Response(status=outcome.status, body=outcome.body)

    def _run(self, request: web.Request, key: str, request_id: str, body: bytes) -> Outcome:
        if self.faults.deduplicates and key in self.outcomes:
            return self.outcomes[key]
        self.runs[key] += 1
        self.requests.append(request_id)
        answer = {
            "server": self.name,
            "path": request.headers.get("X-Path", request.path),
            "run": self.runs[key],
            "echo": body.decode("utf-8", "replace"),
        }
        outcome = Outcome(200, json.dumps(answer).encode())
        if self.faults.stores_durably:
            self.outcomes[key] = outcome
            self.outcomes[request_id] = outcome
        return outcome

    async def _answer(
        self, request: web.Request, request_id: str, outcome: Outcome
    ) -> web.StreamResponse:
        if self.faults.late_s:
            await asyncio.sleep(self.faults.late_s)
        if self.faults.use_up("silence"):
            await asyncio.sleep(3600)
        if self.faults.use_up("drop"):
            request.transport.close()
        if self.faults.use_up("fail_after"):
            return web.Response(status=500, headers={"X-Request-Id": request_id})
        if self.faults.use_up("cross"):
            request_id = "another-request"
        headers = {"X-Request-Id": request_id, "Content-Type": "application/json"}
        headers |= self.faults.list_notices()
        if not self.faults.use_up("truncate"):
            return web.Response(status=outcome.status, body=outcome.body, headers=headers)
        headers["Content-Length"] = str(len(outcome.body))
        response = web.StreamResponse(headers=headers)
        await response.prepare(request)
        await response.write(outcome.body[: len(outcome.body) // 2])
        request.transport.close()
        return response

    async def _find_outcome(self, request: web.Request) -> web.Response:
        await self.faults.apply_before()
        if self.book_url:
            async with (
                aiohttp.ClientSession() as http,
                http.get(f"{self.book_url}{request.rel_url}") as answer,
            ):
                outcome = None
                if answer.status == 200:
                    outcome = Outcome(answer.status, await answer.read())
        else:
            outcome = self.outcomes.get(request.match_info["key"])
        headers = {"X-Request-Id": request.headers.get("X-Request-Id", "")}
        if outcome is None:
            return web.Response(status=404, headers=headers)
        headers["Content-Type"] = "application/json"
        return web.Response(status=outcome.status, body=outcome.body, headers=headers)

    async def _list_runs(self, request: web.Request) -> web.Response:
        return web.json_response(dict(self.runs))

    async def _list_requests(self, request: web.Request) -> web.Response:
        return web.json_response(self.requests)


def main() -> None:
    """Serve a plain service at an address."""
    from standin.serve import serve_application

    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("address")
    parser.add_argument("--name", required=True)
    parser.add_argument("--deduplicates", action="store_true")
    parser.add_argument(
        "--book", default="", help="URL of the process that keeps the record of runs"
    )
    options = parser.parse_args()
    server = PlainServer(options.name, options.deduplicates, options.book)
    asyncio.run(serve_application(server.build(), options.address))


if __name__ == "__main__":
    main()
