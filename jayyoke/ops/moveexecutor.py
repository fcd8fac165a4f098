"""Executes the plan of a move as the holder of its lease, and renews the lease."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, replace

import aiohttp
from absl import logging

from jayyoke.core.clock import Clock
from jayyoke.core.error import Conflict, StoreUnavailable, UpstreamError
from jayyoke.core.move import Move, OutcomeCounts
from jayyoke.core.upstream import Upstream
from jayyoke.ops.moveplan import EngineView, HaltVersion, OrderVersion, UpdateMove, plan_move
from jayyoke.ops.moverow import LEASE_S, RENEW_INTERVAL_S, MoveRow, write_move
from jayyoke.ops.orders import ORDER_TIMEOUT_S, EngineState, order_version, read_engine_state
from jayyoke.platform.table import Table

TICK_S = 0.5
# An engine that is still listed but has not answered for this long no longer delays a move.
ABSENT_AFTER_S = 10.0
READS_PER_TICK = 10
DEFAULT_LOAD_S = 5.0


@dataclass(slots=True)
class _KnownEngine:
    state: EngineState
    seen_s: float
    order_sent_s: float = 0.0


class MoveExecutor:
    """Executes one move until it is final or the lease is lost."""

    def __init__(
        self,
        row: MoveRow,
        taken_s: float,
        table: Table,
        http: aiohttp.ClientSession,
        clock: Clock,
        list_engines: Callable[[str], Sequence[Upstream]],
        read_evidence: Callable[[str], Mapping[str, Mapping[str, OutcomeCounts]]],
        is_halted: Callable[[str, str], bool],
        halt: Callable[[str, str, str], None],
        checks_fencing: Callable[[str], bool],
        publish: Callable[[MoveRow], None],
        announce: Callable[[MoveRow, str], None],
        wall_s: Callable[[], float] = time.time,
    ):
        self._row = row
        self._renewed_s = taken_s
        self._table = table
        self._http = http
        self._clock = clock
        self._list_engines = list_engines
        self._read_evidence = read_evidence
        self._is_halted = is_halted
        self._halt = halt
        self._checks_fencing = checks_fencing
        self._publish = publish
        self._announce = announce
        self._wall_s = wall_s
        self._known: dict[str, _KnownEngine] = {}
        self._cursor = 0
        self._load_s = DEFAULT_LOAD_S
        self._orders: set[asyncio.Task[None]] = set()
        self._started_s = taken_s

    async def run(self) -> None:
        """Execute the move; return when it is final, another holds it, or the lease lapsed."""
        try:
            while self._row.move.active and self._lease_left_s() > 0:
                try:
                    await self._tick()
                except Conflict:
                    logging.warning("move %s: another instance holds it", self._row.move.id)
                    return
                except StoreUnavailable as error:
                    logging.warning("move %s: %s", self._row.move.id, error)
                await asyncio.sleep(TICK_S)
        finally:
            for task in self._orders:
                task.cancel()

    def _lease_left_s(self) -> float:
        return self._renewed_s + LEASE_S - self._clock.now_s()

    def _may_order(self) -> bool:
        move = self._row.move
        if self._checks_fencing(move.service):
            return self._lease_left_s() > 0
        # The engine does not refuse orders of an earlier holder. This holder orders only while
        # more than half of the lease remains, and only after orders of an earlier holder have
        # timed out.
        waited_s = self._clock.now_s() - self._started_s
        if move.fence > 1 and waited_s < ORDER_TIMEOUT_S:
            return False
        return self._lease_left_s() > LEASE_S / 2

    async def _tick(self) -> None:
        move = self._row.move
        engines = self._list_engines(move.service)
        await self._read_states(engines)
        if not self._all_known(engines):
            await self._renew_if_due()
            return
        actions = plan_move(
            move,
            self._build_views(engines),
            self._read_evidence(move.id),
            self._is_halted(move.id, move.new_version),
            self._wall_s(),
            self._load_s,
        )
        by_name = {engine.name: engine for engine in engines}
        for action in actions:
            match action:
                case HaltVersion(reason):
                    self._halt(move.id, move.new_version, reason)
                case UpdateMove(changed):
                    await self._write(changed)
                case OrderVersion(engine, version):
                    self._send_order(by_name[engine], version)
        if self._row.move.active:
            await self._renew_if_due()

    async def _renew_if_due(self) -> None:
        if self._clock.now_s() - self._renewed_s >= RENEW_INTERVAL_S:
            await self._write(self._row.move)

    async def _write(self, move: Move) -> None:
        before_s = self._clock.now_s()
        changed = replace(move, renewal=self._row.move.renewal + 1)
        self._row = await write_move(self._table, changed, self._row.version)
        self._renewed_s = before_s
        self._publish(self._row)

    async def _read_states(self, engines: Sequence[Upstream]) -> None:
        """Read engines with orders in progress, unknown ones, and some of the others in turn."""
        chosen = []
        for engine in engines:
            known = self._known.get(engine.name)
            if known is None or not known.state.ready or known.order_sent_s > known.seen_s:
                chosen.append(engine)
        for _ in range(min(READS_PER_TICK, len(engines))):
            self._cursor = (self._cursor + 1) % len(engines)
            if engines[self._cursor] not in chosen:
                chosen.append(engines[self._cursor])
        states = await asyncio.gather(*(read_engine_state(self._http, engine) for engine in chosen))
        now_s = self._clock.now_s()
        for engine, state in zip(chosen, states, strict=True):
            if state is None:
                continue
            known = self._known.get(engine.name)
            if known is None:
                self._known[engine.name] = _KnownEngine(state, now_s)
                continue
            if known.order_sent_s and state.ready and state.version != known.state.version:
                self._load_s = max(TICK_S, now_s - known.order_sent_s)
                known.order_sent_s = 0.0
            known.state = state
            known.seen_s = now_s

    def _all_known(self, engines: Sequence[Upstream]) -> bool:
        if self._clock.now_s() - self._started_s > ABSENT_AFTER_S:
            return True
        return all(engine.name in self._known for engine in engines)

    def _build_views(self, engines: Sequence[Upstream]) -> list[EngineView]:
        now_s = self._clock.now_s()
        move = self._row.move
        checks_fencing = self._checks_fencing(move.service)
        views = []
        for engine in engines:
            known = self._known.get(engine.name)
            if known is None or now_s - known.seen_s > ABSENT_AFTER_S:
                continue
            ordered = now_s - known.order_sent_s < ORDER_TIMEOUT_S and known.order_sent_s > 0
            ready = known.state.ready and not ordered
            fenced = not checks_fencing or known.state.fence >= move.fence
            views.append(EngineView(engine.name, known.state.version, ready, fenced))
        return views

    def _send_order(self, engine: Upstream, version: str) -> None:
        if not self._may_order():
            return
        known = self._known[engine.name]
        known.order_sent_s = self._clock.now_s()
        if version == self._row.move.new_version:
            self._announce(self._row, engine.name)
        task = asyncio.create_task(self._order(engine, version))
        self._orders.add(task)
        task.add_done_callback(self._orders.discard)

    async def _order(self, engine: Upstream, version: str) -> None:
        move = self._row.move
        before = await read_engine_state(self._http, engine)
        if before is None or not self._may_order():
            return
        if before.version == version and before.fence >= move.fence:
            return
        logging.info("move %s: %s loads %s", move.id, engine.name, version)
        try:
            await order_version(self._http, engine, version, move.fence)
        except UpstreamError as error:
            logging.warning("move %s: order failed: %s", move.id, error)
