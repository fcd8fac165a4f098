"""Finds out whether an engine has ended after it broke off answers, and which parts are suspect.

A connection that breaks may be the fault of the connection alone. An engine whose process has ended
refuses new ones.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from jayyoke.core.upstream import Upstream
from jayyoke.edge.log import log_event
from jayyoke.ops.quarantine import EngineEnd, Quarantine

# A refusal takes one round trip, 80 ms at most between the users' regions. A host that is silent
# tells nothing.
CHECK_TIMEOUT_S = 0.15
# Calls that lose their answers within this time share one check.
SHARED_S = 0.5


@dataclass(slots=True)
class _Check:
    """Holds a check of an engine, and the parts of the suspects that it cut."""

    at_s: float
    keys: dict[str, None] = field(default_factory=dict)
    requests: int = 0
    task: asyncio.Task[bool] | None = None


class EndObserver:
    """Checks engines that broke off answers and records their ends in the quarantine."""

    def __init__(
        self,
        quarantine: Quarantine,
        now_s: Callable[[], float],
        on_quarantined: Callable[[str], None],
    ):
        self._quarantine = quarantine
        self._now_s = now_s
        self._on_quarantined = on_quarantined
        self._checks: dict[str, _Check] = {}

    async def observe(self, upstream: Upstream, request_id: str, keys: tuple[str, ...]) -> bool:
        """Return whether an engine that cut an answer has ended.

        `keys` are the parts of the request if it is a suspect. They are recorded even if the caller
        leaves meanwhile.
        """
        check = self._find_check(upstream)
        check.requests += 1
        if keys:
            check.keys.update(dict.fromkeys(keys))
        if check.task is None:
            check.task = asyncio.create_task(self._check(upstream, check, request_id))
        elif check.task.done() and check.task.result():
            self._record(upstream, check, keys, request_id)
        return await asyncio.shield(check.task)

    def _find_check(self, upstream: Upstream) -> _Check:
        now_s = self._now_s()
        for name, found in list(self._checks.items()):
            if now_s - found.at_s >= SHARED_S and found.task is not None and found.task.done():
                del self._checks[name]
        return self._checks.setdefault(upstream.incarnation, _Check(now_s))

    async def _check(self, upstream: Upstream, check: _Check, request_id: str) -> bool:
        if not await _refuses_connections(upstream.address):
            return False
        log_event(
            "engine-ended",
            request_id=request_id,
            upstream=upstream.name,
            cut=check.requests,
            suspect_parts=list(check.keys),
        )
        self._record(upstream, check, tuple(check.keys), request_id)
        return True

    def _record(
        self, upstream: Upstream, check: _Check, keys: tuple[str, ...], request_id: str
    ) -> None:
        end = EngineEnd(upstream.incarnation, check.at_s)
        for key in self._quarantine.record_end(keys, end):
            log_quarantined(self._quarantine, key, request_id=request_id, source="own")
        for key in self._quarantine.list_quarantined():
            if key in keys:
                self._on_quarantined(key)


def log_quarantined(quarantine: Quarantine, key: str, **fields: object) -> None:
    """Log that a part is quarantined, and on what evidence."""
    known = quarantine.describe(key)
    log_event(
        "part-quarantined",
        part=key,
        ends=[end.engine for end in known.ends],
        known=known.good_s is not None,
        wait_s=quarantine.find_wait_s([key]),
        **fields,
    )


async def _refuses_connections(address: str) -> bool:
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(CHECK_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except ConnectionRefusedError:
        return True
    except (TimeoutError, OSError):
        return False
    writer.close()
    return False
