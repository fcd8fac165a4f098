"""Stand-in of a model engine; docs/platform.md describes its protocol."""

from __future__ import annotations

import argparse
import asyncio
import secrets
import time
from typing import Any

from aiohttp import web

from standin.arrivals import ArrivalLog
from standin.batch import Batch
from standin.enginemodel import (
    Capacity,
    EngineFaults,
    Event,
    flatten_prompt,
    format_chunk,
    generate_token,
    write_event,
)
from standin.fault import add_fault_routes
from standin.prefixcache import PrefixCache, hash_blocks, split_tokens

KEEP_ALIVE_INTERVAL_S = 0.5
PREFILL_TOKEN_S = 0.0002
DEFAULT_ANSWER_TOKENS = 16
MAX_EVENTS = 2000


class EngineServer:
    """Streams deterministic tokens, with a prefix cache, batching, orders and settable faults."""

    def __init__(
        self,
        name: str,
        version: str = "v1",
        token_s: float = 0.01,
        slots: int = 16,
        cache_tokens: int = 200_000,
        capacity: Capacity | None = None,
        checks_fencing: bool = True,
        warm: bool = True,
        load_s: float = 0.5,
    ):
        self.name = name
        self.version = version
        self.token_s = token_s
        self.load_s = load_s
        self.checks_fencing = checks_fencing
        self.capacity = capacity or Capacity()
        self.batch = Batch(slots)
        self.cache = PrefixCache(cache_tokens)
        self.faults = EngineFaults()
        self.incarnation = secrets.token_hex(4)
        self.started_s = time.monotonic() - (self.capacity.warm_up_s if warm else 0.0)
        self.loading = False
        self.leaving = False
        self.fence = 0
        self.orders: list[dict[str, Any]] = []
        self.served_by_version: dict[str, int] = {}
        self.received = 0
        self.arrivals = ArrivalLog()
        self.last_received_s = 0.0
        # Work in progress of requests since the last cold start, without older streams.
        self.new_work_tokens = 0
        self.cold_peak_with_old = 0.0
        self.cold_peak = 0.0
        self.cold_peak_at_s = 0.0
        self.streams: dict[str, asyncio.Task[Any]] = {}
        self._events: list[Event] = []
        self._sequence = 0
        self._load_reports: list[tuple[float, dict[str, Any]]] = []

    def build(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=8 << 20)
        app.router.add_post("/v1/chat/completions", self._complete)
        app.router.add_post("/cancel", self._cancel)
        app.router.add_get("/load", self._report_load)
        app.router.add_get("/stats", self._stats)
        app.router.add_get("/events", self._list_events)
        app.router.add_post("/orders", self._obey_order)
        app.router.add_get("/kv/{chat}", self._export_blocks)
        app.router.add_put("/kv/{chat}", self._import_blocks)
        app.router.add_post("/restart", self._restart)
        add_fault_routes(app, self.faults)
        self.arrivals.add_route(app)
        return app

    async def _complete(self, request: web.Request) -> web.StreamResponse:
        await self.faults.apply_before()
        accepted = not (self.loading or self.leaving)
        self.arrivals.record(request, self.version, accepted)
        if not accepted:
            # Refused before the body is read, so the router may try another engine.
            headers = self.faults.list_notices(self.leaving)
            return web.json_response({"error": "not accepting work"}, status=503, headers=headers)
        body = await request.json()
        self.received += 1
        self.last_received_s = time.monotonic()
        prompt = flatten_prompt(body["messages"])
        tokens = split_tokens(prompt)
        answer_tokens = int(
            body.get("max_completion_tokens") or body.get("max_tokens") or DEFAULT_ANSWER_TOKENS
        )
        work_tokens = len(tokens) + answer_tokens
        request_id = request.headers.get("X-Request-Id", "")
        if self._should_fail(body):
            return web.json_response({"error": "engine failed"}, status=500)
        self.streams[request_id] = asyncio.current_task()  # type: ignore[assignment]
        response = await self._start_response(request)
        priority = int(request.headers.get("X-Priority", "5"))
        admitted = self.batch.enqueue(priority, work_tokens)
        incarnation = self.incarnation
        self.new_work_tokens += work_tokens
        self._record_cold_peak()
        try:
            await self._keep_alive_until(admitted, response)
            await self._stream(request, response, body, prompt, tokens, answer_tokens)
        finally:
            self.batch.remove(admitted, work_tokens)
            if incarnation == self.incarnation:
                self.new_work_tokens -= work_tokens
            self.streams.pop(request_id, None)
        return response

    async def _start_response(self, request: web.Request) -> web.StreamResponse:
        request_id = request.headers.get("X-Request-Id", "")
        if self.faults.wrong_id > 0:
            self.faults.wrong_id -= 1
            request_id = f"other-{secrets.token_hex(4)}"
        headers = {
            "X-Request-Id": request_id,
            "X-Engine-Incarnation": self.incarnation,
            "X-Engine-Version": self.version,
        } | self.faults.list_notices(self.leaving)
        response = web.StreamResponse(headers=headers)
        response.content_type = "text/event-stream"
        await response.prepare(request)
        return response

    async def _keep_alive_until(
        self, admitted: asyncio.Future[None], response: web.StreamResponse
    ) -> None:
        while not admitted.done():
            await asyncio.wait((admitted,), timeout=KEEP_ALIVE_INTERVAL_S)
            if not admitted.done():
                await response.write(b": keep-alive\n\n")

    async def _stream(
        self,
        request: web.Request,
        response: web.StreamResponse,
        body: dict[str, Any],
        prompt: str,
        tokens: list[str],
        answer_tokens: int,
    ) -> None:
        hashes = hash_blocks(tokens)
        cached = self.cache.count_cached(hashes)
        await asyncio.sleep((len(tokens) - cached) * PREFILL_TOKEN_S * self._find_slow_factor(body))
        start = int(request.headers.get("X-Resume-From", "0"))
        truncate_at, silent_at = self._use_up_stream_faults()
        for position in range(start, answer_tokens):
            await asyncio.sleep(self.token_s * self._find_slow_factor(body))
            if position == truncate_at and request.transport is not None:
                request.transport.close()
                return
            if position == silent_at:
                await asyncio.sleep(3600)
            await self._send(response, body, generate_token(prompt, position))
        self._cache_prefix(body, prompt, answer_tokens, hashes)
        usage = {
            "prompt_tokens": len(tokens),
            "completion_tokens": answer_tokens,
            "total_tokens": len(tokens) + answer_tokens,
            "prompt_tokens_details": {"cached_tokens": cached},
        }
        await self._finish(response, body, usage)
        self.served_by_version[self.version] = self.served_by_version.get(self.version, 0) + 1

    def _cache_prefix(
        self, body: dict[str, Any], prompt: str, answer_tokens: int, hashes: list[str]
    ) -> None:
        answer = "".join(generate_token(prompt, position) for position in range(answer_tokens))
        all_tokens = split_tokens(f"{prompt}\nassistant {answer}")
        chat = str(body.get("prompt_cache_key") or "")
        evicted = self.cache.store(chat, [*hashes, *hash_blocks(all_tokens)[len(hashes) :]])
        self.add_event("stored", chat, len(all_tokens))
        for evicted_chat in evicted:
            if evicted_chat != chat:
                self.add_event("evicted", evicted_chat, 0)

    def _use_up_stream_faults(self) -> tuple[int, int]:
        if self.faults.count <= 0:
            return -1, -1
        self.faults.count -= 1
        return self.faults.truncate_after, self.faults.silent_after

    async def _send(self, response: web.StreamResponse, body: dict[str, Any], token: str) -> None:
        await write_event(response, format_chunk(response, body, {"content": token}, None))

    async def _finish(
        self, response: web.StreamResponse, body: dict[str, Any], usage: dict[str, Any]
    ) -> None:
        await write_event(response, format_chunk(response, body, {}, "stop") | {"usage": usage})
        if (body.get("stream_options") or {}).get("include_usage"):
            chunk = format_chunk(response, body, {}, None) | {"choices": [], "usage": usage}
            await write_event(response, chunk)
        await response.write(b"data: [DONE]\n\n")
        await response.write_eof()

    def _find_bad_version(self, body: dict[str, Any]) -> dict[str, Any] | None:
        bad_version = self.faults.bad_versions.get(self.version)
        if bad_version is None:
            return None
        if time.monotonic() - self.started_s < bad_version.get("after_s", 0.0):
            return None
        if self.batch.running < bad_version.get("above_running", 0):
            return None
        if bad_version.get("route") and bad_version["route"] != body.get("model"):
            return None
        return bad_version

    def _should_fail(self, body: dict[str, Any]) -> bool:
        bad_version = self._find_bad_version(body)
        return self.faults.fail or (bad_version is not None and bad_version.get("mode") == "fail")

    def _find_slow_factor(self, body: dict[str, Any]) -> float:
        bad_version = self._find_bad_version(body)
        factor = self.faults.slow_factor
        if bad_version is not None and bad_version.get("mode") == "slow":
            factor *= bad_version.get("factor", 10.0)
        return factor

    def _record_cold_peak(self) -> None:
        age_s = time.monotonic() - self.started_s
        if age_s < self.capacity.warm_up_s:
            limit = self.capacity.find_limit(age_s)
            self.cold_peak_with_old = max(self.cold_peak_with_old, self.batch.work_tokens / limit)
            ratio = self.new_work_tokens / limit
            if ratio > self.cold_peak:
                self.cold_peak, self.cold_peak_at_s = ratio, time.monotonic()

    def add_event(self, kind: str, chat: str, tokens: int) -> None:
        """Add an event of the cache; while `event_gap` is set, use up its number only."""
        self._sequence += 1
        if self.faults.event_gap > 0:
            self.faults.event_gap -= 1
            return
        self._events.append(Event(self._sequence, time.monotonic(), kind, chat, tokens))
        del self._events[:-MAX_EVENTS]

    async def _list_events(self, request: web.Request) -> web.Response:
        await self.faults.apply_before()
        after = int(request.query.get("after", "0"))
        visible_s = time.monotonic() - self.faults.event_lag_s
        events = []
        for event in self._events:
            if event.sequence <= after or event.at_s > visible_s:
                continue
            events.append(
                {
                    "n": event.sequence,
                    "kind": event.kind,
                    "chat": event.chat,
                    "tokens": event.tokens,
                }
            )
        return web.json_response({"incarnation": self.incarnation, "events": events})

    async def _report_load(self, request: web.Request) -> web.Response:
        await self.faults.apply_before()
        now_s = time.monotonic()
        self._load_reports.append((now_s, self._measure_load()))
        while (
            len(self._load_reports) > 1
            and self._load_reports[1][0] <= now_s - self.faults.load_lag_s
        ):
            self._load_reports.pop(0)
        # Only the load figures lag; incarnation, version and state are current.
        return web.json_response(self._load_reports[0][1] | self._describe_state())

    async def _stats(self, request: web.Request) -> web.Response:
        stats = self._measure_load() | self._describe_state()
        stats["cold_peak"] = self.cold_peak
        stats["cold_peak_at_s"] = self.cold_peak_at_s
        stats["cold_peak_with_old"] = self.cold_peak_with_old
        stats["received"] = self.received
        stats["idle_s"] = time.monotonic() - self.last_received_s
        stats["served_by_version"] = self.served_by_version
        stats["orders"] = self.orders
        return web.json_response(stats)

    def _measure_load(self) -> dict[str, Any]:
        return {
            "running": self.batch.running,
            "waiting": self.batch.waiting,
            "work_tokens": self.batch.work_tokens,
        }

    def _describe_state(self) -> dict[str, Any]:
        state = "leaving" if self.leaving else "loading" if self.loading else "live"
        return {
            "incarnation": self.incarnation,
            "version": self.version,
            "state": state,
            "fence": self.fence,
            "uptime_s": time.monotonic() - self.started_s,
        }

    async def _cancel(self, request: web.Request) -> web.Response:
        task = self.streams.get(str((await request.json()).get("request_id")))
        if task is not None:
            task.cancel()
        return web.json_response({"cancelled": task is not None})

    async def _obey_order(self, request: web.Request) -> web.Response:
        await self.faults.apply_before()
        order = await request.json()
        fence = int(order.get("fence", 0))
        if self.checks_fencing and fence < self.fence:
            detail = {"error": "old fencing token", "fence": self.fence}
            return web.json_response(detail, status=409)
        self.fence = max(self.fence, fence)
        self.orders.append(order)
        if order.get("action") == "load-version" and order["version"] != self.version:
            await self._switch_version(str(order["version"]))
        if order.get("action") == "leave":
            self.leaving = True
        await self.faults.apply_after_write()
        return web.json_response(self._describe_state())

    async def _switch_version(self, version: str) -> None:
        # Requests in progress finish on the old version while the new one loads.
        self.loading = True
        try:
            await asyncio.sleep(self.load_s)
        finally:
            self.loading = False
        self.version = version
        self._turn_cold()

    async def _restart(self, request: web.Request) -> web.Response:
        """Restart as a cold engine, without notice and at the same address."""
        for task in list(self.streams.values()):
            task.cancel()
        self._turn_cold()
        return web.json_response(self._describe_state())

    def _turn_cold(self) -> None:
        self.new_work_tokens = 0
        self.incarnation = secrets.token_hex(4)
        self.started_s = time.monotonic()
        self.cache.clear()
        self._events.clear()

    async def _export_blocks(self, request: web.Request) -> web.Response:
        return web.json_response({"blocks": self.cache.export(request.match_info["chat"])})

    async def _import_blocks(self, request: web.Request) -> web.Response:
        blocks = [str(block) for block in (await request.json())["blocks"]]
        self.cache.store(request.match_info["chat"], blocks)
        return web.json_response({"imported": len(blocks)})


def main() -> None:
    """Serve an engine at an address."""
    from standin.serve import serve_application

    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("address")
    parser.add_argument("--name", required=True)
    parser.add_argument("--version", default="v1")
    parser.add_argument("--token-s", type=float, default=0.01)
    parser.add_argument("--load-s", type=float, default=0.5)
    parser.add_argument("--cold-work-tokens", type=int, default=2000)
    parser.add_argument("--full-work-tokens", type=int, default=16000)
    parser.add_argument("--warm-up-s", type=float, default=30.0)
    parser.add_argument("--ignores-fencing", action="store_true")
    parser.add_argument("--cold", action="store_true")
    options = parser.parse_args()
    capacity = Capacity(options.cold_work_tokens, options.full_work_tokens, options.warm_up_s)
    server = EngineServer(
        options.name,
        options.version,
        token_s=options.token_s,
        load_s=options.load_s,
        capacity=capacity,
        checks_fencing=not options.ignores_fencing,
        warm=not options.cold,
    )
    asyncio.run(serve_application(server.build(), options.address))


if __name__ == "__main__":
    main()
