"""The callers' HTTP interface."""

from __future__ import annotations

import asyncio
import hashlib
import random
import re
from collections.abc import Callable

from absl import logging
from aiohttp import web

from jayyoke.core import code
from jayyoke.core.code import refuse
from jayyoke.core.config import ClassKind, ClassSpec, TeamSpec
from jayyoke.core.error import Refusal, RunState
from jayyoke.core.registry import find_plugin
from jayyoke.core.request import CallerRequest
from jayyoke.inputlimits.memoryplan import MemoryPlan, plan_memory
from jayyoke.ops.bodybudget import BodyBudget, HeldBody
from jayyoke.ops.deadline import DEADLINE_HEADER, parse_deadline
from jayyoke.ops.decisionlog import log_end, log_refusal
from jayyoke.ops.fairness import Ticket
from jayyoke.ops.node import Node
from jayyoke.ops.requestbudget import RequestBudget
from jayyoke.ops.requestdrain import RunningRequest, Stage, refuse_stopped
from jayyoke.plugins.late import fetch_reply
from jayyoke.server.bodyreader import BodiesFull, BodyTooLarge, check_length, read_body
from jayyoke.server.completion import BYTES_PER_TOKEN, find_chat_key, format_body, parse_completion
from jayyoke.server.problem import format_problem, make_request_id
from jayyoke.utils.pipelining import has_next_request
from jayyoke.utils.stalltimeout import StallTolerantTimeout

MAX_BODY_BYTES = 4 << 20
BODY_TIMEOUT_S = 10.0
# Bodies are held until their requests end, which takes about as long.
BODIES_FULL_RETRY_S = (0.3, 1.0)
# Requests in progress end in about this time.
REQUESTS_FULL_RETRY_S = (0.3, 1.0)
MAX_KEY_CHARACTERS = 512
_REQUEST_ID = re.compile(r"[A-Za-z0-9._~:/+=@-]{1,128}")
_IDEMPOTENCY_KEY = re.compile(r"[\x21-\x7e]{1,255}")
_METHODS = {"/v1/chat/completions": "POST", "/v1/models": "GET"}


class CallerServer:
    """Authenticates callers, parses requests and hands them to class plug-ins.

    `close_stalled` closes a connection whose client does not read its answer, if there is one.
    """

    def __init__(
        self,
        node: Node,
        body_timeout_s: float = BODY_TIMEOUT_S,
        plan: MemoryPlan | None = None,
        close_stalled: Callable[[], bool] = lambda: False,
    ):
        self._node = node
        self._body_timeout_s = body_timeout_s
        self._in_progress: set[tuple[str, str]] = set()
        plan = plan or plan_memory()
        self._bodies = BodyBudget(plan.body_bytes, plan.small_body_bytes)
        self._close_stalled = close_stalled
        self._requests = RequestBudget(plan.requests)

    def build(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post("/v1/chat/completions", self._chat)
        app.router.add_get("/v1/models", self._models)
        app.router.add_get("/v1/models/{class}", self._models)
        app.router.add_route("*", "/v1/work/{class}", self._work)
        app.router.add_route("*", "/v1/work/{class}/{path:.*}", self._work)
        app.router.add_get("/v1/replies/{request_id}", self._reply)
        app.router.add_route("*", "/{path:.*}", self._answer_unknown_path)
        return app

    async def _reply(self, http_request: web.Request) -> web.StreamResponse:
        request_id = http_request.match_info["request_id"]
        try:
            team = self._authenticate(http_request)
            return await fetch_reply(self._node, request_id, team)
        except Refusal as refusal:
            return format_problem(refusal, request_id)

    async def _chat(self, http_request: web.Request) -> web.StreamResponse:
        return await self._serve(http_request, chat=True)

    async def _work(self, http_request: web.Request) -> web.StreamResponse:
        return await self._serve(http_request, chat=False)

    async def _answer_unknown_path(self, http_request: web.Request) -> web.StreamResponse:
        allowed = _METHODS.get(http_request.path)
        if allowed is None:
            refusal = refuse(404, code.UNKNOWN_PATH, "no such path")
            return self._refuse(refusal, make_request_id())
        refusal = refuse(405, code.METHOD_NOT_ALLOWED, f"use {allowed}")
        response = self._refuse(refusal, make_request_id())
        response.headers["Allow"] = allowed
        return response

    async def _models(self, http_request: web.Request) -> web.StreamResponse:
        try:
            team = self._authenticate(http_request)
            name = http_request.match_info.get("class")
            if name is not None:
                return web.json_response(_format_model(self._find_class(name, team, True)))
        except Refusal as refusal:
            return self._refuse(refusal, make_request_id())
        models = []
        for spec in self._node.change_log.configuration.classes.values():
            if spec.kind is ClassKind.CHAT and (not team.classes or spec.name in team.classes):
                models.append(_format_model(spec))
        return web.json_response({"object": "list", "data": models})

    async def _serve(self, http_request: web.Request, chat: bool) -> web.StreamResponse:
        node = self._node
        request_id = make_request_id()
        running = node.drain.enter(request_id)
        held = HeldBody(self._bodies)
        try:
            running.request_id = request_id = _read_request_id(http_request) or request_id
            class_name = http_request.match_info.get("class", "")
            if not self._find_room(class_name):
                raise _refuse_full_requests()
            with self._requests.running(class_name):
                request = await self._parse_while_open(http_request, request_id, chat, held)
                response = await self._run(request, http_request, running)
        except Refusal as refusal:
            response = self._refuse(refusal, request_id)
        except (ConnectionError, asyncio.CancelledError):
            node.metrics.count(node.metrics.requests, "", "caller-gone")
            event = "unanswered" if node.drain.ended else "caller-left"
            log_end(event, request_id, running.stage.value)
            raise
        except Exception:
            logging.exception("request %s failed", request_id)
            refusal = Refusal(500, code.INTERNAL, "the router failed", RunState.UNKNOWN)
            response = self._refuse(refusal, request_id)
        finally:
            held.release()
            node.drain.leave(running)
        last = node.drain.draining and not has_next_request(http_request)
        if last and not response.prepared:
            response.force_close()
        return response

    def _find_room(self, class_name: str) -> bool:
        """Tell whether a request may begin, after ending one that makes no progress if need be."""
        if self._requests.allows(class_name):
            return True
        return self._bodies.evict_slowest() or self._close_stalled()

    async def _run(
        self, request: CallerRequest, http_request: web.Request, running: RunningRequest
    ) -> web.StreamResponse:
        """Wait for admission, then let the plug-in of the class answer."""
        node = self._node
        if not node.drain.window.may_begin(request.deadline_s, once=True, now_s=node.clock.now_s()):
            raise self._refuse_stopping()
        request_key = (request.team.name, request.request_id)
        if request_key in self._in_progress:
            # The request in progress may run at an upstream; this answer must not say otherwise.
            detail = "a request with this id is in progress"
            raise Refusal(409, code.REQUEST_ID_IN_USE, detail, RunState.UNKNOWN)
        self._in_progress.add(request_key)
        try:
            running.stage = Stage.QUEUE
            ticket = await self._admit(request)
            running.stage = Stage.CALL
            try:
                handle = find_plugin("class", request.class_spec.kind.value)
                response = await handle(node, request, http_request)
            finally:
                node.limits.leave(request, ticket)
        finally:
            self._in_progress.discard(request_key)
        took_s = node.clock.now_s() - request.arrival_s
        node.limits.durations.add(request.class_spec.name, took_s)
        node.metrics.observe("whole", request.class_spec.name, took_s)
        node.metrics.count(node.metrics.requests, request.class_spec.name, "answered")
        return response

    async def _admit(self, request: CallerRequest) -> Ticket:
        node = self._node
        try:
            async with node.drain.limit(deadline_s=request.deadline_s):
                return await node.limits.admit(request)
        except TimeoutError:
            raise self._refuse_stopping() from None

    def _refuse_stopping(self) -> Refusal:
        now_s = self._node.clock.now_s()
        return refuse_stopped(False, self._node.drain.window.find_return_s(now_s) or None)

    def _refuse(self, refusal: Refusal, request_id: str) -> web.Response:
        log_refusal(request_id, refusal)
        metrics = self._node.metrics
        metrics.count(metrics.refusals, refusal.code, refusal.run_state.value)
        metrics.count(metrics.requests, "", "refused")
        return format_problem(refusal, request_id)

    async def _parse_while_open(
        self, http_request: web.Request, request_id: str, chat: bool, held: HeldBody
    ) -> CallerRequest:
        try:
            async with self._node.drain.limit():
                return await self._parse(http_request, request_id, chat, held)
        except TimeoutError:
            raise self._refuse_stopping() from None

    async def _parse(
        self, http_request: web.Request, request_id: str, chat: bool, held: HeldBody
    ) -> CallerRequest:
        team = self._authenticate(http_request)
        now_s = self._node.clock.now_s()
        idempotency_key = http_request.headers.get("Idempotency-Key", "")
        if idempotency_key and not _IDEMPOTENCY_KEY.fullmatch(idempotency_key):
            detail = "Idempotency-Key is not 1 to 255 visible ASCII characters"
            raise refuse(400, code.IDEMPOTENCY_KEY_INVALID, detail)
        body = await self._read_body(http_request, held)
        fields = {}
        if chat:
            completion = parse_completion(body)
            spec = self._find_class(completion.model, team, chat=True)
            fields = {
                "chat": find_chat_key(completion, http_request.headers.get("X-Chat-Id")),
                "prompt_tokens": len(body) // BYTES_PER_TOKEN,
                "output_tokens": completion.output_tokens,
                "stream": completion.stream,
                "include_usage": completion.include_usage,
            }
            body = format_body(completion, body, spec.model)
            # The text may be longer than the caller's.
            if not held.grow(len(body) - held.size_bytes):
                raise _refuse_full_bodies()
        else:
            spec = self._find_class(http_request.match_info["class"], team, chat=False)
        within_s = parse_deadline(http_request.headers.get(DEADLINE_HEADER), spec.within_s)
        return CallerRequest(
            request_id=request_id,
            team=team,
            class_spec=spec,
            service=self._node.change_log.configuration.services[spec.service],
            arrival_s=now_s,
            deadline_s=now_s + within_s,
            method=http_request.method,
            path=http_request.match_info.get("path", ""),
            query=http_request.query_string,
            content_type=http_request.content_type,
            body=body,
            idempotency_key=idempotency_key,
            **fields,
        )

    async def _read_body(self, http_request: web.Request, held: HeldBody) -> bytes:
        content = http_request.content
        try:
            check_length(http_request.content_length, MAX_BODY_BYTES, held)
            if content.is_eof():
                return await read_body(content, MAX_BODY_BYTES, held)
            async with StallTolerantTimeout(self._body_timeout_s) as timeout:
                with held.arriving(timeout.expire):
                    return await read_body(content, MAX_BODY_BYTES, held)
        except TimeoutError:
            if held.evicted:
                raise _refuse_full_bodies() from None
            detail = f"the body did not arrive within {self._body_timeout_s:g} s"
            raise refuse(408, code.BODY_TIMEOUT, detail) from None
        except BodyTooLarge:
            detail = f"the body exceeds {MAX_BODY_BYTES} bytes"
            raise refuse(413, code.BODY_TOO_LARGE, detail) from None
        except BodiesFull:
            raise _refuse_full_bodies() from None
        except web.RequestPayloadError as error:
            raise refuse(400, code.MALFORMED_REQUEST, "the body cannot be decoded") from error

    def _authenticate(self, http_request: web.Request) -> TeamSpec:
        configuration = self._node.change_log.configuration
        scheme, _, key = http_request.headers.get("Authorization", "").partition(" ")
        if scheme.lower() == "bearer" and 0 < len(key) <= MAX_KEY_CHARACTERS:
            digest = hashlib.sha256(key.encode("utf-8", "surrogateescape")).hexdigest()
            team = configuration.team_by_key.get(digest)
            if team is not None:
                return team
        raise refuse(401, code.UNKNOWN_TEAM, "the bearer key is missing or belongs to no team")

    def _find_class(self, name: str, team: TeamSpec, chat: bool) -> ClassSpec:
        spec = self._node.change_log.configuration.classes.get(name)
        if spec is None or chat != (spec.kind is ClassKind.CHAT):
            raise refuse(404, code.UNKNOWN_CLASS, f"class {name[:100]!r} does not exist")
        if team.classes and name not in team.classes:
            detail = f"team {team.name!r} may not call class {name!r}"
            raise refuse(403, code.CLASS_NOT_ALLOWED, detail)
        return spec


def _read_request_id(http_request: web.Request) -> str | None:
    given = http_request.headers.get("X-Request-Id")
    if given is not None and not _REQUEST_ID.fullmatch(given):
        detail = "X-Request-Id is not 1 to 128 letters, digits or characters of ._~:/+=@-"
        raise refuse(400, code.REQUEST_ID_INVALID, detail)
    return given


def _refuse_full_bodies() -> Refusal:
    detail = "the bodies of other requests take the memory for this one"
    return refuse(503, code.BODIES_FULL, detail, random.uniform(*BODIES_FULL_RETRY_S))


def _refuse_full_requests() -> Refusal:
    detail = "the requests in progress take the memory for this one"
    return refuse(503, code.REQUESTS_FULL, detail, random.uniform(*REQUESTS_FULL_RETRY_S))


def _format_model(spec: ClassSpec) -> dict[str, object]:
    return {"id": spec.name, "object": "model", "created": 0, "owned_by": spec.service}
