"""Version moves at the operators' interface; not built yet, every route answers 501."""

from __future__ import annotations

from aiohttp import web

from jayyoke.ops.node import Node
from jayyoke.server.reply import OperatorProblem


def add_move_routes(app: web.Application, node: Node) -> None:
    """Add the routes of version moves."""
    app.router.add_get("/v1/moves", _refuse)
    app.router.add_post("/v1/moves", _refuse)
    app.router.add_get("/v1/moves/{id}", _refuse)


async def _refuse(http: web.Request) -> web.Response:
    raise OperatorProblem(501, "not-built", "version moves are not built yet")
