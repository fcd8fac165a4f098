"""Callers' listener of an entry instance: reads whole requests and relays answers."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import Callable

from aiohttp import web

from jayyoke.core.entrysettings import Bounds
from jayyoke.core.route import CallerLimits
from jayyoke.edge.access import Admitted, Rejected, admit
from jayyoke.edge.call import Call, CallerGone
from jayyoke.edge.forward import Forwarder
from jayyoke.edge.log import log_event
from jayyoke.edge.view import FleetView
from jayyoke.inputlimits.memoryplan import MemoryPlan, plan_memory
from jayyoke.ops.bodybudget import BodyBudget, HeldBody
from jayyoke.ops.requestbudget import RequestBudget
from jayyoke.ops.stopwindow import STOPPING_RETRY_S
from jayyoke.platform.message import RequestHead, decode_request
from jayyoke.server.bodyreader import (
    BodiesFull,
    BodyTooLarge,
    check_length,
    discard_body,
    read_body,
)
from jayyoke.server.boundedhandler import RefusedConnection
from jayyoke.server.callerconnection import CallerConnection
from jayyoke.server.closingsockets import ClosingSockets
from jayyoke.server.httpcaller import HttpCaller, Stage, awaits_continue
from jayyoke.server.inputguard import InputGuard, build_guard, listen
from jayyoke.utils.stalltimeout import StallTolerantTimeout

# Time limit of a body, counted once its head has been read.
BODY_TIMEOUT_S = 10.0
# Calls end this long before the deadline, so that the answer reaches the caller in time.
ANSWER_SLACK_S = 0.02
# Time to write the answers to requests that the end of the process cuts off.
END_CALLS_S = 0.05
# Bodies are held until their calls end, which takes about as long.
BODIES_FULL_RETRY_S = (0.3, 1.0)
# Requests in progress end in about this time.
REQUESTS_FULL_RETRY_S = (0.3, 1.0)


class EntryListener:
    """Serves callers on one address."""

    def __init__(
        self,
        view: FleetView,
        forwarder: Forwarder,
        bounds: Bounds,
        now_s: Callable[[], float],
        guard: InputGuard | None = None,
        plan: MemoryPlan | None = None,
    ):
        self._view = view
        self._forwarder = forwarder
        self._bounds = bounds
        self._now_s = now_s
        self._web = web.Server(self._handle, handler_cancellation=True)
        self._guard = guard or build_guard()
        self._server: asyncio.Server | None = None
        self._calls: set[asyncio.Task[None]] = set()
        self._ending = False
        plan = plan or plan_memory()
        self._bodies = BodyBudget(plan.body_bytes, plan.small_body_bytes)
        self._requests = RequestBudget(plan.requests)
        self._closing = ClosingSockets()
        self.draining = False

    @property
    def port(self) -> int:
        """Return the TCP port of the listener."""
        assert self._server is not None
        return self._server.sockets[0].getsockname()[1]

    async def start(self, address: str) -> None:
        """Listen on HOST:PORT; raise OSError."""
        self._server = await listen(self._build_connection, address, self._guard)

    def stop(self) -> None:
        """Accept no more connections; those that are open stay open."""
        if self._server is not None:
            self._server.close()

    @property
    def busy(self) -> int:
        """Return how many connections have a request that is not answered yet."""
        return sum(connection.busy for connection in self._web.connections)

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes of answers the callers have not acknowledged."""
        open_bytes = sum(connection.unsent_bytes for connection in self._web.connections)
        return open_bytes + self._closing.unsent_bytes

    @property
    def settled(self) -> bool:
        """Tell whether every request has its answer, and every answer is out."""
        return self.busy == 0 and self.unsent_bytes == 0

    def close_idle(self) -> None:
        """Close connections that carry no request; the bytes of their answers are still sent."""
        self._closing.sweep()
        for connection in list(self._web.connections):
            # The base class does not report a parsed request whose task has not started yet.
            if not connection.busy:
                connection.force_close()

    async def end_calls(self) -> None:
        """Answer the requests that have no answer yet, and cut the answers that have begun."""
        self._ending = True
        for call in list(self._calls):
            call.cancel()
        await asyncio.sleep(END_CALLS_S)

    async def close(self) -> None:
        """Cancel the requests in progress and close every connection."""
        self.stop()
        self._ending = True
        await self._web.shutdown(0.1)
        self._closing.close()

    def _build_connection(self) -> CallerConnection | RefusedConnection:
        if not self._guard.admits():
            return RefusedConnection()
        config = self._view.config
        limits = config.limits if config is not None else CallerLimits()
        return CallerConnection(self._web, self._guard, limits, self._keep_closing)

    def _keep_closing(self, transport: asyncio.BaseTransport) -> None:
        if self.draining:
            self._closing.keep(transport)

    async def _handle(self, request: web.BaseRequest) -> web.StreamResponse:
        arrived_s = self._now_s()
        head = decode_request(request.raw_headers)
        caller = HttpCaller(request, lambda: self.draining)
        task = asyncio.current_task()
        assert task is not None
        self._calls.add(task)
        held = HeldBody(self._bodies)
        try:
            return await self._serve(request, head, caller, held, arrived_s)
        except asyncio.CancelledError:
            if not self._ending:
                log_event("caller-left", request_id=head.request_id, started=caller.started)
                raise
            log_event(
                "ended-by-stop",
                request_id=head.request_id,
                stage=caller.stage.value,
                took_ms=round((self._now_s() - arrived_s) * 1000, 1),
            )
            if caller.started:
                caller.cut()
                raise
            task.uncancel()
            with contextlib.suppress(CallerGone):
                return await self._answer_stopped(head, caller)
            raise
        except CallerGone:
            log_event("caller-left", request_id=head.request_id, started=caller.started)
            caller.abort()
            return caller.response or web.Response(status=502)
        finally:
            held.release()
            self._calls.discard(task)
            assert isinstance(request.protocol, CallerConnection)
            request.protocol.note_answered()

    async def _serve(
        self,
        request: web.BaseRequest,
        head: RequestHead,
        caller: HttpCaller,
        held: HeldBody,
        arrived_s: float,
    ) -> web.StreamResponse:
        path = request.raw_path.partition("?")[0]
        decision = admit(self._view, self._bounds, request.headers.get("Host", ""), path, head)
        route = "" if isinstance(decision, Rejected) else decision.route.name
        if not self._find_room(route):
            retry_after_s = random.uniform(*REQUESTS_FULL_RETRY_S)
            return await self._reject(head, caller, Rejected(503, "requests-full", retry_after_s))
        with self._requests.running(route):
            return await self._serve_admitted(request, head, caller, held, decision, arrived_s)

    def _find_room(self, route: str) -> bool:
        """Tell whether a request may begin, after ending one that makes no progress if need be."""
        if self._requests.allows(route):
            return True
        return self._bodies.evict_slowest() or self._guard.close_stalled()

    async def _serve_admitted(
        self,
        request: web.BaseRequest,
        head: RequestHead,
        caller: HttpCaller,
        held: HeldBody,
        decision: Admitted | Rejected,
        arrived_s: float,
    ) -> web.StreamResponse:
        config = self._view.config
        limits = config.limits if config is not None else CallerLimits()
        body: bytes | Rejected | None = None
        if request.body_exists:
            kept = not isinstance(decision, Rejected)
            body = await _read_body(request, limits, held, kept)
        if isinstance(body, Rejected):
            decision = body
        if isinstance(decision, Rejected):
            return await self._reject(head, caller, decision)
        assert not isinstance(body, Rejected)
        caller.note_received()
        call = self._build_call(request, head, body, decision, arrived_s)
        await self._forwarder.serve(call, caller)
        assert caller.response is not None
        return caller.response

    def _build_call(
        self,
        request: web.BaseRequest,
        head: RequestHead,
        body: bytes | None,
        admitted: Admitted,
        arrived_s: float,
    ) -> Call:
        limit_s = admitted.route.timeout_s
        if head.deadline_s is not None:
            limit_s = min(limit_s, head.deadline_s)
        return Call(
            head=head,
            method=request.method,
            target=request.raw_path.encode("utf-8", "surrogateescape"),
            raw_headers=request.raw_headers,
            body=body,
            route=admitted.route,
            team=admitted.team,
            rank=admitted.rank,
            arrived_s=arrived_s,
            deadline_s=arrived_s + limit_s - ANSWER_SLACK_S,
            config_version=admitted.config_version,
        )

    async def _answer_stopped(self, head: RequestHead, caller: HttpCaller) -> web.StreamResponse:
        """Answer a request that the end of the process cuts off before its answer has begun."""
        if caller.stage is Stage.SENT:
            return await self._reject(head, caller, Rejected(504, "stopped"))
        retry_after_s = random.uniform(*STOPPING_RETRY_S)
        return await self._reject(head, caller, Rejected(503, "stopping", retry_after_s))

    async def _reject(
        self, head: RequestHead, caller: HttpCaller, decision: Rejected
    ) -> web.StreamResponse:
        log_event(
            "rejected",
            request_id=head.request_id,
            status=decision.status,
            reason=decision.reason,
            config_age_s=round(self._view.config_age_s, 2),
        )
        headers: tuple[tuple[str, str], ...] = ()
        if decision.retry_after_s is not None:
            headers = (("Retry-After", f"{decision.retry_after_s:.3f}"),)
        body = decision.reason.encode()
        await caller.start(decision.status, "", headers, len(body))
        await caller.write(body)
        await caller.finish()
        assert caller.response is not None
        return caller.response


async def _read_body(
    request: web.BaseRequest, limits: CallerLimits, held: HeldBody, kept: bool
) -> bytes | Rejected | None:
    """Return the whole body, or why the request is rejected.

    A body that is not `kept` is only read.
    """
    try:
        if kept:
            check_length(request.content_length, limits.body_bytes, held)
        if awaits_continue(request) and request.transport:
            request.transport.write(b"HTTP/1.1 100 Continue\r\n\r\n")
        async with StallTolerantTimeout(BODY_TIMEOUT_S) as timeout:
            with held.arriving(timeout.expire):
                if kept:
                    return await read_body(request.content, limits.body_bytes, held)
                await discard_body(request.content, limits.body_bytes)
                return None
    except BodyTooLarge:
        return Rejected(413, "body-too-large")
    except BodiesFull:
        return Rejected(503, "bodies-full", random.uniform(*BODIES_FULL_RETRY_S))
    except TimeoutError:
        if held.evicted:
            return Rejected(503, "bodies-full", random.uniform(*BODIES_FULL_RETRY_S))
        return Rejected(408, "body-too-slow")
