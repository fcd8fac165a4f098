"""HTTP routes of version moves in the operators' interface."""

from __future__ import annotations

import time
from typing import Any

from aiohttp import web

from jayyoke.core.error import Conflict, StoreUnavailable
from jayyoke.core.move import PPM, Move, MoveActive, MovePhase, VersionInForce
from jayyoke.core.protocol import find_protocol
from jayyoke.ops.moves import Moves
from jayyoke.ops.node import Node
from jayyoke.parser.section import is_name
from jayyoke.parser.unit import parse_duration
from jayyoke.server.operatorproblem import OperatorProblem, explain_outage, read_json

MIN_DEADLINE_S = 1.0
MAX_DEADLINE_S = 7 * 86400.0


class MoveRoutes:
    """Serves version moves; answers 501 on an instance that carries out none."""

    def __init__(self, node: Node):
        self._node = node

    def add(self, app: web.Application) -> None:
        """Add the routes to an application."""
        app.router.add_get("/v1/moves", self._list)
        app.router.add_post("/v1/moves", self._start)
        app.router.add_get("/v1/moves/{id}", self._show)
        app.router.add_post("/v1/moves/{id}/stop", self._stop)

    async def _list(self, http_request: web.Request) -> web.Response:
        moves = [describe_move(move) for move in self._require_moves().moves]
        return web.json_response({"moves": moves})

    async def _show(self, http_request: web.Request) -> web.Response:
        return web.json_response(describe_move(self._find(http_request.match_info["id"])))

    async def _stop(self, http_request: web.Request) -> web.Response:
        move = self._find(http_request.match_info["id"])
        if move.phase is MovePhase.DONE:
            raise OperatorProblem(409, "move-done", f"move {move.id!r} is done; start a move back")
        # A halt needs no table; the move's holder then orders the engines to the old version.
        self._node.halts.halt(move.id, move.new_version, "stopped by an operator")
        return web.json_response(describe_move(move))

    def _find(self, move_id: str) -> Move:
        for move in self._require_moves().moves:
            if move.id == move_id:
                return move
        raise OperatorProblem(404, "unknown-move", f"move {move_id[:200]!r} is not known here")

    async def _start(self, http_request: web.Request) -> web.Response:
        moves_part = self._require_moves()
        service, version, deadline_s, again = self._parse_start(await read_json(http_request))
        if not again:
            for move in moves_part.moves:
                # A repeat after a lost answer returns the first move, even if that has ended.
                if (move.service, move.new_version) == (service, version):
                    return web.json_response(describe_move(move))
        try:
            move = await moves_part.start(service, version, deadline_s)
        except MoveActive as error:
            extra = {"move": describe_move(error.move)}
            raise OperatorProblem(409, "move-active", str(error), extra) from error
        except VersionInForce as error:
            raise OperatorProblem(409, "version-in-force", str(error)) from error
        except Conflict as error:
            detail = "another move of the service was started first"
            raise OperatorProblem(409, "move-changed", detail) from error
        except StoreUnavailable as error:
            raise explain_outage(error) from error
        return web.json_response(describe_move(move))

    def _require_moves(self) -> Moves:
        if self._node.moves is None:
            raise OperatorProblem(501, "not-built", "this instance carries out no version moves")
        return self._node.moves

    def _parse_start(self, body: Any) -> tuple[str, str, float, bool]:
        body = body if isinstance(body, dict) else {}
        service, version = body.get("service"), body.get("version")
        spec = None
        if isinstance(service, str):
            spec = self._node.change_log.configuration.services.get(service)
        if spec is None or not find_protocol(spec.protocol).loads_versions:
            raise _refuse("service", "the name of a service whose upstreams take orders")
        if not is_name(version):
            raise _refuse("version", "the name of a version")
        deadline_s = parse_duration(body.get("deadline"))
        if deadline_s is None or not MIN_DEADLINE_S <= deadline_s <= MAX_DEADLINE_S:
            raise _refuse("deadline", "a duration from 1s to 7d")
        return service, version, deadline_s, body.get("again") is True


def describe_move(move: Move) -> dict[str, Any]:
    """Return a move as operators see it; times are in seconds, shares from 0 to 1."""
    return {
        "id": move.id,
        "service": move.service,
        "old_version": move.old_version,
        "new_version": move.new_version,
        "state": move.phase.value,
        "step": move.step,
        "share": move.share_ppm / PPM,
        "deadline_in_s": round(move.deadline_s - time.time(), 1) if move.active else None,
        "reason": move.reason,
    }


def _refuse(key: str, expected: str) -> OperatorProblem:
    return OperatorProblem(422, "invalid-move", f"{key}: expected {expected}")
