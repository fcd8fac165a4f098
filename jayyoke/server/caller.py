"""The callers' HTTP interface."""

from __future__ import annotations

import hashlib
import json
import uuid
from typing import Any

from aiohttp import web

from jayyoke.core.config import ClassKind, ClassSpec, TeamSpec
from jayyoke.core.error import Refusal, Run
from jayyoke.core.kernel import find
from jayyoke.core.request import CallerRequest
from jayyoke.ops.node import Node
from jayyoke.plugins.late import fetch_reply
from jayyoke.server.problem import format_problem

MAX_BODY_BYTES = 4 << 20
DEFAULT_OUTPUT_TOKENS = 256


class CallerServer:
    """Authenticates callers, parses requests and hands them to class plug-ins."""

    def __init__(self, node: Node):
        self._node = node

    def build(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=MAX_BODY_BYTES)
        app.router.add_post("/v1/chat/completions", self._chat)
        app.router.add_route("*", "/v1/work/{class}", self._work)
        app.router.add_route("*", "/v1/work/{class}/{path:.*}", self._work)
        app.router.add_get("/v1/replies/{request_id}", self._reply)
        return app

    async def _reply(self, http: web.Request) -> web.StreamResponse:
        request_id = http.match_info["request_id"]
        try:
            team = self._authenticate(http)
            return await fetch_reply(self._node, request_id, team)
        except Refusal as refusal:
            return format_problem(refusal, request_id)

    async def _chat(self, http: web.Request) -> web.StreamResponse:
        return await self._serve(http, chat=True)

    async def _work(self, http: web.Request) -> web.StreamResponse:
        return await self._serve(http, chat=False)

    async def _serve(self, http: web.Request, chat: bool) -> web.StreamResponse:
        request_id = http.headers.get("X-Request-Id") or uuid.uuid4().hex
        try:
            request = await self._parse(http, request_id, chat)
            handle = find("class", request.spec.kind.value)
            return await handle(self._node, request, http)
        except Refusal as refusal:
            return format_problem(refusal, request_id)

    async def _parse(self, http: web.Request, request_id: str, chat: bool) -> CallerRequest:
        team = self._authenticate(http)
        body = await http.read()
        if chat:
            document = _parse_chat(body)
            spec = self._find_class(str(document.get("model", "")), team, chat=True)
            key, prompt, output = _describe_chat(document, http)
        else:
            spec = self._find_class(http.match_info["class"], team, chat=False)
            key, prompt, output = "", 0, 0
        now_s = self._node.clock.now_s()
        return CallerRequest(
            request_id=request_id,
            team=team,
            spec=spec,
            service=self._node.control.configuration.services[spec.service],
            arrival_s=now_s,
            deadline_s=now_s + spec.within_s,
            method=http.method,
            path=http.match_info.get("path", ""),
            query=http.query_string,
            content_type=http.content_type,
            body=body,
            chat=key,
            idempotency_key=http.headers.get("Idempotency-Key", ""),
            prompt_tokens=prompt,
            output_tokens=output,
        )

    def _authenticate(self, http: web.Request) -> TeamSpec:
        scheme, _, key = http.headers.get("Authorization", "").partition(" ")
        digest = hashlib.sha256(key.encode()).hexdigest()
        for team in self._node.control.configuration.teams.values():
            if scheme == "Bearer" and team.key_sha256 == digest:
                return team
        raise Refusal(401, "unknown-team", "the bearer key belongs to no team", Run.NOT_RUN)

    def _find_class(self, name: str, team: TeamSpec, chat: bool) -> ClassSpec:
        spec = self._node.control.configuration.classes.get(name)
        if spec is None or chat != (spec.kind is ClassKind.CHAT):
            raise Refusal(404, "unknown-class", f"class {name!r} does not exist", Run.NOT_RUN)
        if team.classes and name not in team.classes:
            detail = f"team {team.name!r} may not call class {name!r}"
            raise Refusal(403, "class-not-allowed", detail, Run.NOT_RUN)
        return spec


def _parse_chat(body: bytes) -> dict[str, Any]:
    try:
        document = json.loads(body)
        if isinstance(document["messages"], list) and document["messages"]:
            return document
    except (ValueError, KeyError, TypeError):
        pass
    raise Refusal(400, "malformed-request", "body is not a chat completion request", Run.NOT_RUN)


def _describe_chat(document: dict[str, Any], http: web.Request) -> tuple[str, int, int]:
    messages = json.dumps(document["messages"])
    key = document.get("prompt_cache_key") or http.headers.get("X-Chat-Id")
    if not key:
        key = hashlib.sha256(json.dumps(document["messages"][:2]).encode()).hexdigest()
    output = document.get("max_completion_tokens") or document.get("max_tokens")
    return str(key), len(messages) // 4, int(output or DEFAULT_OUTPUT_TOKENS)
