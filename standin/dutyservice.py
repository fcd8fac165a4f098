"""Stand-in of the service that takes usage reports and scale orders, with settable faults.

It records every call and checks the rules that no holder of the duties may break.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from aiohttp import web


@dataclass(frozen=True, slots=True)
class DutyCall:
    """Holds a call as it arrived; `subject` is the duty, or the service and the domain."""

    at_s: float
    owner: str
    token: int
    subject: str
    body: dict[str, Any]
    accepted: bool = True


class DutyService:
    """Serves both calls on loopback."""

    def __init__(self) -> None:
        self._runner: web.AppRunner | None = None
        self._stopped = asyncio.Event()
        self.address = ""
        self.calls: list[DutyCall] = []
        self.refusal_status: int | None = None
        self.lose_answers = False
        self.silent = False

    @property
    def reports(self) -> dict[int, dict[str, int]]:
        """Return the counts of each window that was reported."""
        accepted = [call for call in self.calls if call.subject == "usage" and call.accepted]
        return {call.body["windowId"]: call.body["counts"] for call in accepted}

    @property
    def orders(self) -> dict[tuple[str, str], list[int]]:
        """Return the orders of each service and domain."""
        found: dict[tuple[str, str], list[int]] = {}
        for call in self.calls:
            if call.subject != "usage" and call.accepted:
                name = (call.body["backend"], call.body["az"])
                found.setdefault(name, []).append(call.body["desired"])
        return found

    async def start(self) -> None:
        """Listen on a free port of loopback."""
        app = web.Application()
        app.router.add_post("/usage", self._take_usage)
        app.router.add_post("/scale", self._take_order)
        self._runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.1)
        await self._runner.setup()
        site = web.TCPSite(self._runner, "127.0.0.1", 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def close(self) -> None:
        """Stop listening and end waiting calls."""
        self._stopped.set()
        if self._runner is not None:
            await self._runner.cleanup()

    async def _take_usage(self, request: web.Request) -> web.Response:
        return await self._take(request, "usage")

    async def _take_order(self, request: web.Request) -> web.Response:
        body = json.loads(await request.read())
        return await self._take(request, f"scale/{body['backend']}/{body['az']}")

    async def _take(self, request: web.Request, subject: str) -> web.Response:
        body = json.loads(await request.read())
        if self.silent:
            await self._stopped.wait()
        call = DutyCall(
            at_s=asyncio.get_running_loop().time(),
            owner=request.headers["Duty-Owner"],
            token=int(request.headers["Fence-Token"]),
            subject=subject,
            body=body,
            accepted=self.refusal_status is None,
        )
        self.calls.append(call)
        if self.refusal_status is not None:
            return web.Response(status=self.refusal_status)
        if self.lose_answers:
            assert request.transport is not None
            request.transport.abort()
        return web.json_response({})


def find_violations(calls: Sequence[DutyCall], lease_s: float) -> list[str]:
    """Return how the calls broke the rules: reports, tokens, and the order of holders."""
    return [*check_reports(calls), *check_tokens(calls), *check_order(calls, lease_s)]


def check_reports(calls: Sequence[DutyCall]) -> list[str]:
    """Return the windows of which reports with different counts were accepted."""
    known: dict[int, dict[str, int]] = {}
    found = []
    for call in calls:
        if call.subject != "usage" or not call.accepted:
            continue
        window, counts = call.body["windowId"], call.body["counts"]
        if known.setdefault(window, counts) != counts:
            found.append(f"window {window} has two reports")
    return found


def check_tokens(calls: Sequence[DutyCall]) -> list[str]:
    """Return the tokens that two holders sent, or that came after a higher one."""
    newest: dict[str, int] = {}
    owners: dict[tuple[str, int], str] = {}
    found = []
    for call in calls:
        if call.token < newest.get(call.subject, 0):
            found.append(f"{call.owner} sent the old token {call.token} for {call.subject}")
        newest[call.subject] = max(call.token, newest.get(call.subject, 0))
        if owners.setdefault((call.subject, call.token), call.owner) != call.owner:
            found.append(f"two holders sent the token {call.token} for {call.subject}")
    return found


def check_order(calls: Sequence[DutyCall], lease_s: float) -> list[str]:
    """Return the holders that acted, let another one act, and acted again within the lease."""
    last_s: dict[str, float] = {}
    others_since: dict[str, bool] = {}
    found = []
    for call in calls:
        if others_since.get(call.owner) and call.at_s - last_s[call.owner] < lease_s:
            found.append(f"{call.owner} acted again after another holder")
        for owner in last_s:
            others_since[owner] = others_since.get(owner, False) or owner != call.owner
        last_s[call.owner] = call.at_s
        others_since[call.owner] = False
    return found
