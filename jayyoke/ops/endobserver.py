"""Finds out whether an engine has ended after it broke off answers, and which parts are suspect.

A connection that breaks may be the fault of the connection alone. An engine whose process has ended
refuses new ones.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from jayyoke.core.upstream import Upstream
from jayyoke.ops.partrecord import EngineEnd
from jayyoke.ops.quarantine import Quarantine
from jayyoke.utils.port import refuses_connections

# Requests that lose their answers within this time share one check.
SHARED_S = 0.5
# Parts that are logged of one end or one message; a prompt may have thousands.
MAX_LOGGED_PARTS = 32


@dataclass(frozen=True, slots=True)
class ObservedEnd:
    """Holds the end of an engine: the first request that it cut, and the parts of its suspects.

    `quarantined` are the parts that are kept from engines from now on.
    """

    upstream: Upstream
    request_id: str
    keys: tuple[str, ...]
    quarantined: tuple[str, ...]


@dataclass(slots=True)
class _Check:
    """Holds a check of an engine, and the parts of the suspects that it cut."""

    at_s: float
    keys: dict[str, None] = field(default_factory=dict)
    task: asyncio.Task[bool] | None = None

    @property
    def done(self) -> bool:
        return self.task is not None and self.task.done()


class EndObserver:
    """Checks engines that broke off answers and records their ends in the quarantine.

    `on_end` is called once for each end, and again for suspects that are found later.
    """

    def __init__(
        self,
        quarantine: Quarantine,
        now_s: Callable[[], float],
        on_end: Callable[[ObservedEnd], None],
    ):
        self._quarantine = quarantine
        self._now_s = now_s
        self._on_end = on_end
        self._checks: dict[str, _Check] = {}

    async def observe(self, upstream: Upstream, request_id: str, keys: tuple[str, ...]) -> bool:
        """Return whether an engine that cut an answer has ended.

        `keys` are the parts of the request if it is a suspect. They are recorded even if the caller
        leaves meanwhile.
        """
        check = self._find_check(upstream)
        if check.task is None:
            check.keys.update(dict.fromkeys(keys))
            check.task = asyncio.create_task(self._check(upstream, check, request_id))
        elif not check.done:
            check.keys.update(dict.fromkeys(keys))
        elif check.task.result() and keys:
            self._record(upstream, check.at_s, keys, request_id)
        return await asyncio.shield(check.task)

    def _find_check(self, upstream: Upstream) -> _Check:
        now_s = self._now_s()
        for name, found in list(self._checks.items()):
            if found.done and now_s - found.at_s >= SHARED_S:
                del self._checks[name]
        return self._checks.setdefault(upstream.incarnation or upstream.name, _Check(now_s))

    async def _check(self, upstream: Upstream, check: _Check, request_id: str) -> bool:
        if not await refuses_connections(upstream.address):
            return False
        self._record(upstream, check.at_s, tuple(check.keys), request_id)
        return True

    def _record(
        self, upstream: Upstream, at_s: float, keys: tuple[str, ...], request_id: str
    ) -> None:
        end = EngineEnd(upstream.incarnation or upstream.name, at_s)
        quarantined = self._quarantine.record_end(keys, end)
        self._on_end(ObservedEnd(upstream, request_id, keys, tuple(quarantined)))
