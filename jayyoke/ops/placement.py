"""Placement: which upstream a request goes to."""

from __future__ import annotations

from dataclasses import dataclass

from jayyoke.core.error import Refusal, Run
from jayyoke.core.request import CallerRequest
from jayyoke.core.upstream import Upstream
from jayyoke.ops.control import Control
from jayyoke.ops.health import Health
from jayyoke.ops.rendezvous import rank


@dataclass(frozen=True, slots=True)
class Placement:
    """Holds the chosen upstream and why it was chosen."""

    upstream: Upstream
    reason: str
    passed_over: tuple[str, ...] = ()


class Placer:
    """Chooses upstreams and accounts for the work placed on them."""

    def __init__(self, control: Control, health: Health):
        self._control = control
        self._health = health

    async def place(self, request: CallerRequest, exclude: tuple[str, ...] = ()) -> Placement:
        """Return a placement that `release` ends; raise Refusal if no upstream may be used."""
        out = self._control.configuration.domains_out
        candidates = {}
        for upstream in self._health.candidates(request.service.name):
            if upstream.domain in out or upstream.name in exclude:
                continue
            candidates[upstream.name] = upstream
        order = rank(request.chat or request.request_id, candidates)
        if not order:
            detail = f"no upstream of service {request.service.name!r} may receive new work"
            raise Refusal(503, "no-upstream", detail, Run.NOT_RUN, retry_after_s=1.0)
        return Placement(candidates[order[0]], "rendezvous")

    def release(self, request: CallerRequest, placement: Placement) -> None:
        """End the accounting of a placement."""
