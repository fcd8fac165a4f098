"""The operators' HTTP interface, health and readiness."""

from __future__ import annotations

import hashlib
import hmac

from aiohttp import web

from jayyoke.ops.node import Node
from jayyoke.parser.configuration import format_document
from jayyoke.server.change import Accepted, apply_document, known_domains, set_domain
from jayyoke.server.metrics import add_metrics_route
from jayyoke.server.moves import MoveRoutes
from jayyoke.server.operatorproblem import (
    MAX_BODY_BYTES,
    OperatorProblem,
    format_operator_problem,
    read_json,
)
from jayyoke.server.quarantine import QuarantineRoutes
from jayyoke.server.status import collect_status, find_unconfirmed, serve_status
from jayyoke.server.watch import Watch

_UNAUTHENTICATED_PATHS = ("/healthz", "/readyz", "/metrics")
_MAX_KEY_CHARACTERS = 512


class OperatorServer:
    """Serves operator actions; all but health, readiness and metrics need the operator key."""

    def __init__(self, node: Node):
        self._node = node
        self._watch = Watch(node)

    def build(self) -> web.Application:
        """Return the HTTP application."""
        middlewares = [self._convert_errors, self._check_key]
        app = web.Application(client_max_size=MAX_BODY_BYTES, middlewares=middlewares)
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/readyz", self._ready)
        add_metrics_route(app, self._node.metrics)
        app.router.add_get("/v1/configuration", self._show_configuration)
        app.router.add_put("/v1/configuration", self._apply_configuration)
        app.router.add_get("/v1/status", self._status)
        app.router.add_get("/v1/domains", self._list_domains)
        app.router.add_post("/v1/domains/{name}/{action:out|back}", self._set_domain)
        app.router.add_get("/v1/watch", self._watch.serve)
        MoveRoutes(self._node).add(app)
        QuarantineRoutes(self._node.chat_parts).add(app)
        app.on_shutdown.append(self._close)
        serve_status(self._node)
        return app

    @web.middleware
    async def _convert_errors(self, http_request: web.Request, handler) -> web.StreamResponse:
        try:
            return await handler(http_request)
        except OperatorProblem as problem:
            return format_operator_problem(problem)
        except web.HTTPError as error:
            detail = f"{http_request.method} {http_request.path[:200]}: {error.reason}"
            code = "-".join(error.reason.lower().split())
            return format_operator_problem(OperatorProblem(error.status, code, detail))

    @web.middleware
    async def _check_key(self, http_request: web.Request, handler) -> web.StreamResponse:
        if http_request.path in _UNAUTHENTICATED_PATHS:
            return await handler(http_request)
        scheme, _, key = http_request.headers.get("Authorization", "").partition(" ")
        digest = hashlib.sha256(key[:_MAX_KEY_CHARACTERS].encode("utf-8", "replace")).hexdigest()
        matches = hmac.compare_digest(digest, self._node.settings.operator_key_sha256)
        if scheme.lower() != "bearer" or not matches:
            raise OperatorProblem(401, "wrong-operator-key", "the operator key is missing or wrong")
        return await handler(http_request)

    async def _close(self, app: web.Application) -> None:
        self._watch.close()

    async def _health(self, http_request: web.Request) -> web.Response:
        return web.json_response({"instance": self._node.settings.instance})

    async def _ready(self, http_request: web.Request) -> web.Response:
        ready = self._node.ready
        version = self._node.change_log.configuration.version
        body = {"ready": ready, "configuration": version}
        return web.json_response(body, status=200 if ready else 503)

    async def _show_configuration(self, http_request: web.Request) -> web.Response:
        configuration = self._node.change_log.configuration
        body = {
            "version": configuration.version,
            "document": format_document(configuration),
            "domains_out": sorted(configuration.domains_out),
        }
        return web.json_response(body, headers={"ETag": f'"{configuration.version}"'})

    async def _apply_configuration(self, http_request: web.Request) -> web.Response:
        if_match = _parse_if_match(http_request.headers.get("If-Match", ""))
        return _format_accepted(
            await apply_document(self._node, await read_json(http_request), if_match)
        )

    async def _status(self, http_request: web.Request) -> web.Response:
        version = _parse_version(http_request.query.get("version"), self._node)
        statuses = await collect_status(self._node)
        body = {
            "instance": self._node.settings.instance,
            "version": version,
            "unconfirmed": find_unconfirmed(statuses, version),
            "instances": statuses,
        }
        return web.json_response(body)

    async def _list_domains(self, http_request: web.Request) -> web.Response:
        out = self._node.change_log.configuration.domains_out
        if self._node.domains is not None:
            out = self._node.domains.domains_out()
        names = sorted(known_domains(self._node))
        domains = [{"domain": name, "state": "out" if name in out else "in"} for name in names]
        version = self._node.change_log.configuration.version
        return web.json_response({"version": version, "domains": domains})

    async def _set_domain(self, http_request: web.Request) -> web.Response:
        out = http_request.match_info["action"] == "out"
        force = http_request.query.get("force") == "true"
        return _format_accepted(
            await set_domain(self._node, http_request.match_info["name"], out, force)
        )


def _format_accepted(accepted: Accepted) -> web.Response:
    body = {
        "version": accepted.version,
        "changed": accepted.changed,
        "changes": accepted.changes,
    }
    return web.json_response(body, headers={"ETag": f'"{accepted.version}"'})


def _parse_if_match(header: str) -> int | None:
    value = header.strip().strip('"')
    if value in ("", "*"):
        return None
    if value.isascii() and value.isdigit() and len(value) <= 15:
        return int(value)
    raise OperatorProblem(400, "malformed-version", "If-Match must hold one version number")


def _parse_version(value: str | None, node: Node) -> int:
    if value is None:
        return node.change_log.configuration.version
    if value.isascii() and value.isdigit() and len(value) <= 15:
        return int(value)
    raise OperatorProblem(400, "malformed-version", "version must be a whole number")
