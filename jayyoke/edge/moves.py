"""Takes part in version moves: sums the counts of all instances and writes the move's status.

No instance leads. Each writes its own counts. The followers of each domain, and instances that no
follower supplies with rows, read all counts and write the next state if one is due, on condition
that no other instance has written since; the others get the state from their followers. If all of
410 instances read the counts of all, each would need 40 KB/s for a move.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Mapping

from jayyoke.core.entrysettings import Bounds
from jayyoke.core.error import Conflict, StoreUnavailable
from jayyoke.core.move import OutcomeCounts
from jayyoke.core.route import MoveOrder, MoveState, MoveStatus
from jayyoke.edge.answertimes import AnswerTimes, MeanTimes
from jayyoke.edge.canary import (
    NextState,
    Split,
    decide_state,
    drop_versions,
    find_set_aside,
    split_versions,
)
from jayyoke.edge.log import log_event
from jayyoke.edge.storeclock import StoreClock
from jayyoke.edge.view import FleetView
from jayyoke.eras.movestatus import is_status_of
from jayyoke.ops.evidence import EvidencePool, judge, select_version
from jayyoke.platform import names
from jayyoke.platform.decode import MAX_NUMBER, encode_move_status
from jayyoke.platform.rowstore import RowPage, RowStore
from jayyoke.platform.table import Put, Row
from jayyoke.utils.jsontext import parse_json

# Counts, verdict and status each take up to one period; the users allow 5 s for the three together.
PERIOD_S = 0.8
# Keeps the writes of all instances together at half of the store's rate (400/s).
PERIOD_S_PER_INSTANCE = 0.005
EVIDENCE_TABLE = "evidence"
# Counts by version and route; a thousand routes take 60 KB.
MAX_COUNTS_BYTES = 1 << 20
_FINAL_STATES = (MoveState.DONE, MoveState.ROLLED_BACK)


class MoveParticipant:
    """Counts this instance's answers for the moves under way, and advances the moves."""

    def __init__(
        self,
        view: FleetView,
        store: RowStore,
        clock: StoreClock,
        instance: str,
        count_instances: Callable[[], int],
        bounds: Bounds,
        is_relayed: Callable[[], bool] = lambda: False,
    ):
        self._view = view
        self._count_instances = count_instances
        self._is_relayed = is_relayed
        self._bounds = bounds
        self._store = store
        self._clock = clock
        # Two incarnations of an instance must not count as one source, since totals only grow.
        self._source = f"{instance}~{random.getrandbits(32):08x}"
        self._own_counts: dict[str, dict[tuple[str, str], OutcomeCounts]] = {}
        self._pools: dict[tuple[str, str, int], EvidencePool] = {}
        # Services, versions, and revisions under which the orders were first written.
        self._halted: set[tuple[str, str, int]] = set()
        self._mean_times: dict[tuple[str, str], MeanTimes] = {}
        self._written: dict[str, bytes] = {}
        self._counts_era = 0

    @property
    def period_s(self) -> float:
        """Return the time between two exchanges of counts, in seconds."""
        return max(PERIOD_S, PERIOD_S_PER_INSTANCE * self._count_instances())

    def find_split(self, service: str) -> Split:
        """Return how the requests of a service are divided between its versions."""
        order = self._view.orders.get(service)
        status = self._view.statuses.get(service)
        if order is None and status is None:
            return Split()
        halted = order is not None and self._build_halt_key(order) in self._halted
        return split_versions(order, status, halted, self._view.earlier_orders.get(service, ()))

    def record_answer(
        self, service: str, route: str, version: str, failed: bool, times: AnswerTimes
    ) -> None:
        """Count an answer, which may have failed or be slow."""
        split = self.find_split(service)
        mean_times = self._mean_times.setdefault((service, route), MeanTimes())
        slow = not failed and mean_times.is_exceeded(times)
        if not failed and version not in (split.version, *split.set_aside):
            mean_times.add(times)
        self._add(service, route, version, OutcomeCounts(1, int(failed), int(slow)))

    def record_late_failure(self, service: str, route: str, version: str) -> None:
        """Count the failure of an answer that was recorded while it still ran."""
        self._add(service, route, version, OutcomeCounts(0, 1, 0))

    def _add(self, service: str, route: str, version: str, counted: OutcomeCounts) -> None:
        order = self._view.orders.get(service)
        if order is None or not self._is_open(order):
            return
        counts = self._own_counts.setdefault(service, {})
        counts[(version, route)] = counts.get((version, route), OutcomeCounts()).add(counted)

    async def run(self, sleep: Callable[[float], object] = asyncio.sleep) -> None:
        """Advance the moves until cancelled."""
        await self._read_first_status(sleep)
        while True:
            await sleep(self.period_s * random.uniform(0.8, 1.2))
            await self._write_kept()
            for order in list(self._view.orders.values()):
                if not self._is_open(order):
                    await self._clean_up(order)
                    continue
                try:
                    await self._advance(order)
                except Conflict:
                    # Another instance wrote first; its row comes with the feed.
                    log_event("move-raced", service=order.service, version=order.version)
                except StoreUnavailable as error:
                    log_event("move-store-away", service=order.service, reason=str(error))

    async def _read_first_status(self, sleep: Callable[[float], object]) -> None:
        """Read the state of moves that began before this instance, unless a peer sends it."""
        while self._view.tables[names.STATUS_TABLE].revision < 0:
            try:
                await self._read_status()
            except StoreUnavailable as error:
                log_event("move-store-away", service="", reason=str(error))
                await sleep(PERIOD_S)

    async def _write_kept(self) -> None:
        """Write the statuses again that the store has lost, unless followers do."""
        copy = self._view.tables[names.STATUS_TABLE]
        era = self._view.tables[names.OPERATOR_TABLE].era
        if copy.era > self._counts_era:
            # Evidence is in the store by the same writes as the statuses.
            self._counts_era = copy.era
            self._written = dict.fromkeys(self._written, b"")
        if self._is_relayed() or (copy.era >= era and not copy.kept):
            return
        try:
            page = await self._read_status()
            for key, fact in list(copy.kept.items()):
                row = copy.rows.get(key)
                put = Put(key, fact.row.value, row.version if row is not None else 0)
                await self._store.write(names.STATUS_TABLE, [put], page.era)
                log_event("move-status-written", row=key, era=page.era)
        except Conflict:
            log_event("move-raced", service="", version="")
        except StoreUnavailable as error:
            log_event("move-store-away", service="", reason=str(error))

    async def _read_status(self) -> RowPage:
        page = await self._store.read(names.STATUS_TABLE)
        self._clock.update(page.now_ms, page.answered_s, page.era)
        self._view.merge(
            names.STATUS_TABLE,
            page.rows,
            (),
            page.revision,
            whole=True,
            confirmed_s=self._view.now_s(),
            source="store",
            era=page.era,
        )
        return page

    def _is_open(self, order: MoveOrder) -> bool:
        status = self._view.statuses.get(order.service)
        return (
            status is None or not is_status_of(status, order) or status.state not in _FINAL_STATES
        )

    async def _advance(self, order: MoveOrder) -> None:
        own = self._own_counts.get(order.service, {})
        prefix = f"{order.service}/{order.revision}/"
        await self._write_counts(prefix, own)
        if self._is_relayed():
            return
        pool_key = (order.service, order.version, order.revision)
        pool = self._pools.setdefault(pool_key, EvidencePool())
        pool.replace(self._source, own)
        await self._read_counts(order, prefix, pool)
        counts = drop_versions(pool.total(), self.find_split(order.service).set_aside)
        self._halt_if_bad(order, counts)
        page = await self._read_status()
        key = names.MOVE_PREFIX + order.service
        row = next((row for row in page.rows if row.key == key), None)
        live_new = sum(
            found.version == order.version for found in self._view.by_service.get(order.service, ())
        )
        status = self._view.statuses.get(order.service)
        next_state = decide_state(order, status, page.now_ms, counts, live_new, self._bounds)
        if next_state is not None:
            await self._write_status(order, status, next_state, row, page)

    def _build_halt_key(self, order: MoveOrder) -> tuple[str, str, int]:
        origin = self._view.move_memory.find_origin(order)
        return order.service, order.version, origin

    def _halt_if_bad(
        self, order: MoveOrder, counts: Mapping[tuple[str, str], OutcomeCounts]
    ) -> None:
        """Stop all requests to a version as soon as the counts show that it is bad."""
        key = self._build_halt_key(order)
        if key in self._halted:
            return
        new = select_version(dict(counts), order.version)
        old: dict[str, OutcomeCounts] = {}
        for (version, route), value in counts.items():
            if version != order.version:
                old[route] = old.get(route, OutcomeCounts()).add(value)
        verdict = judge(new, old) if new else None
        if verdict is not None:
            self._halted.add(key)
            log_event("move-halted", service=order.service, reason=str(verdict))

    async def _write_counts(
        self, prefix: str, own: Mapping[tuple[str, str], OutcomeCounts]
    ) -> None:
        body = json.dumps(
            [
                [version, route, value.requests, value.failures, value.slow]
                for (version, route), value in sorted(own.items())
            ]
        ).encode()
        if own and self._written.get(prefix) != body:
            await self._store.write(EVIDENCE_TABLE, [Put(prefix + self._source, body)])
            self._written[prefix] = body

    async def _read_counts(self, order: MoveOrder, prefix: str, pool: EvidencePool) -> None:
        page = await self._store.read(EVIDENCE_TABLE)
        for row in page.rows:
            if row.key.startswith(prefix):
                if not row.key.endswith(self._source):
                    pool.replace(row.key, _parse_counts(row))
                continue
            if row.key.startswith(f"{order.service}/"):
                # The row of an instance that was killed during an earlier move.
                put = Put(row.key, None, row.version)
                await self._store.write(EVIDENCE_TABLE, [put], page.era)

    async def _write_status(
        self,
        order: MoveOrder,
        status: MoveStatus | None,
        next_state: NextState,
        row: Row | None,
        page: RowPage,
    ) -> None:
        begins = status is None or not is_status_of(status, order)
        written = MoveStatus(
            service=order.service,
            version=order.version,
            state=next_state.state,
            order=order.revision,
            started_ms=page.now_ms if begins else status.started_ms,
            reason=next_state.reason,
            share=next_state.share,
            set_aside=find_set_aside(
                order, status, self._view.earlier_orders.get(order.service, ())
            ),
        )
        put = Put(
            names.MOVE_PREFIX + order.service,
            encode_move_status(written),
            row.version if row is not None else 0,
        )
        await self._store.write(names.STATUS_TABLE, [put], page.era)
        log_event(
            "move",
            service=order.service,
            version=order.version,
            state=next_state.state.value,
            share=round(next_state.share, 3),
            reason=next_state.reason,
        )

    async def _clean_up(self, order: MoveOrder) -> None:
        """Remove this instance's counts of a finished move."""
        self._own_counts.pop(order.service, None)
        prefix = f"{order.service}/{order.revision}/"
        if prefix not in self._written:
            return
        try:
            await self._store.write(EVIDENCE_TABLE, [Put(prefix + self._source, None)])
        except (Conflict, StoreUnavailable) as error:
            log_event("evidence-kept", service=order.service, reason=str(error))
            return
        del self._written[prefix]


def _parse_counts(row: Row) -> dict[tuple[str, str], OutcomeCounts]:
    counts = {}
    try:
        for version, route, *numbers in parse_json(row.value, MAX_COUNTS_BYTES):
            # A newer revision may have added numbers.
            requests, failures, slow = map(int, numbers[:3])
            if (
                not 0
                <= min(requests, failures, slow)
                <= max(requests, failures, slow)
                <= MAX_NUMBER
            ):
                raise ValueError("a count is out of range")
            counts[(str(version), str(route))] = OutcomeCounts(requests, failures, slow)
    except (ValueError, TypeError, OverflowError) as error:
        log_event("row-unusable", finding=f"{EVIDENCE_TABLE}/{row.key}: {error!r}")
        return {}
    return counts
