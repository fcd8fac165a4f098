"""The operators' HTTP interface, health and readiness."""

from __future__ import annotations

import hashlib
import hmac

from aiohttp import web

from jayyoke.core.error import Conflict, StoreUnavailable
from jayyoke.ops.node import Node
from jayyoke.parser.configuration import build_configuration, format_configuration


class OperatorServer:
    """Serves operator actions; all but health, readiness and metrics need the operator key."""

    def __init__(self, node: Node):
        self._node = node

    def build(self) -> web.Application:
        """Return the HTTP application."""
        app = web.Application(client_max_size=8 << 20, middlewares=[self._check_key])
        app.router.add_get("/healthz", self._health)
        app.router.add_get("/readyz", self._ready)
        app.router.add_get("/v1/configuration", self._show)
        app.router.add_put("/v1/configuration", self._apply)
        return app

    @web.middleware
    async def _check_key(self, http: web.Request, handler) -> web.StreamResponse:
        if http.path in ("/healthz", "/readyz", "/metrics"):
            return await handler(http)
        key = http.headers.get("Authorization", "").removeprefix("Bearer ")
        digest = hashlib.sha256(key.encode()).hexdigest()
        if not hmac.compare_digest(digest, self._node.settings.operator_key_sha256):
            return web.json_response({"error": "operator key is missing or wrong"}, status=401)
        return await handler(http)

    async def _health(self, http: web.Request) -> web.Response:
        return web.json_response({"instance": self._node.settings.instance})

    async def _ready(self, http: web.Request) -> web.Response:
        ready = self._node.control.ready
        version = self._node.control.configuration.version
        body = {"ready": ready, "configuration": version}
        return web.json_response(body, status=200 if ready else 503)

    async def _show(self, http: web.Request) -> web.Response:
        configuration = self._node.control.configuration
        body = {"version": configuration.version, "spec": format_configuration(configuration)}
        return web.json_response(body)

    async def _apply(self, http: web.Request) -> web.Response:
        configuration = build_configuration(await http.json(), 0)
        try:
            version = await self._node.control.accept(configuration)
        except Conflict:
            return web.json_response({"error": "another change was accepted first"}, status=409)
        except StoreUnavailable as error:
            return web.json_response({"error": str(error)}, status=503)
        return web.json_response({"version": version})
