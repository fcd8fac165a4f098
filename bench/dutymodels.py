"""Models of processes, the store and the service of the duties, in virtual time.

A process that is frozen goes on at the point at which it stood; one that is killed never does.
"""

from __future__ import annotations

import asyncio
import contextvars
import random
import types
from collections.abc import Coroutine, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Any, Protocol

from bench.memory import VirtualLoop
from jayyoke.core.entrysettings import Bounds
from jayyoke.core.error import Conflict, DutyCallFailed, Effect, StoreUnavailable
from jayyoke.edge.countcollector import Collected
from jayyoke.edge.dutyholder import DutyHolder
from jayyoke.edge.roster import Member
from jayyoke.edge.storeera import StoreEra
from jayyoke.platform.dutyservice import Fence
from jayyoke.platform.rowstore import EraChanged, RowPage
from jayyoke.platform.table import Put, Row
from standin.dutyservice import DutyCall

BOUNDS = Bounds()
DOMAINS = 3
LATENCY_S = 0.002
CALL_CHECK_S = 0.05
STORE_TIMEOUT_S = 1.0
MAX_COPIES = 30
MAX_DELAYED_S = 8.0
MAX_RESEND_S = 3.0
SLOW_FACTOR = 60.0
current_process: contextvars.ContextVar[Process | None] = contextvars.ContextVar(
    "process", default=None
)


class Process:
    """Holds one process: whether it runs, and what it reaches."""

    def __init__(self, name: str, incarnation: str):
        self.name = name
        self.incarnation = incarnation
        self.frozen = False
        self.freeze_at_send_s = 0.0
        self.tasks: list[asyncio.Task[None]] = []
        self.era = StoreEra()
        self.holder: DutyHolder | None = None
        self._resumed: asyncio.Event = asyncio.Event()

    @types.coroutine
    def wait_running(self):
        """Wait until the process is not frozen."""
        while self.frozen:
            yield from self._resumed.wait().__await__()

    def freeze(self) -> None:
        """Stop the process where it stands."""
        self.frozen = True
        self._resumed = asyncio.Event()

    def thaw(self) -> None:
        """Let the process go on."""
        self.frozen = False
        self._resumed.set()


@types.coroutine
def _drive(process: Process, coroutine: Coroutine[Any, Any, Any]):
    """Run a coroutine, which goes on after a wait only while its process is not frozen."""
    error: BaseException | None = None
    while True:
        try:
            yield from process.wait_running()
        except GeneratorExit:
            coroutine.close()
            raise
        try:
            awaited = coroutine.send(None) if error is None else coroutine.throw(error)
        except StopIteration as end:
            return end.value
        error = None
        try:
            yield awaited
        except GeneratorExit:
            coroutine.close()
            raise
        except BaseException as caught:
            error = caught


def create_task(loop: asyncio.AbstractEventLoop, coroutine, **options) -> asyncio.Task:
    """Create a task of the present process, if there is one."""
    process = current_process.get()
    if process is None:
        return asyncio.Task(coroutine, loop=loop, **options)

    async def run() -> Any:
        return await _drive(process, coroutine)

    return asyncio.Task(run(), loop=loop, **options)


@dataclass(slots=True)
class Network:
    """Says which processes are cut off, and what the store and the service do."""

    cut_from_store: set[str] = field(default_factory=set)
    refused_by_store: set[str] = field(default_factory=set)
    cut_from_service: set[str] = field(default_factory=set)
    store_down: bool = False
    store_slow: bool = False
    store_loses: bool = False
    service_loses: bool = False
    service_slow: bool = False
    # When each process was thawed or its link to the service healed last.
    resumed_s: dict[str, float] = field(default_factory=dict)


class ModelStore:
    """Keeps rows with revisions, loses answers, and returns to older copies."""

    def __init__(self, loop: VirtualLoop, network: Network, source: random.Random):
        self._loop = loop
        self._network = network
        self._source = source
        self.rows: dict[str, tuple[bytes, int]] = {}
        self.revision = 1
        self.era = 1
        self.calls = 0
        self._copies: list[tuple[float, dict[str, tuple[bytes, int]], int]] = []

    def copy(self) -> None:
        """Keep a copy of the present contents."""
        self._copies.append((self._loop.time(), dict(self.rows), self.revision))
        del self._copies[:-MAX_COPIES]

    def restore(self, age_s: float) -> None:
        """Return to the newest copy that is as old, and name a new era."""
        now_s = self._loop.time()
        old = [found for found in self._copies if now_s - found[0] >= age_s] or self._copies[:1]
        _, rows, self.revision = old[-1] if old else (0.0, {}, 1)
        self.rows = dict(rows)
        self._copies = [found for found in self._copies if found[0] <= now_s - age_s]
        self.era += 1

    async def reach(self, process: Process) -> None:
        """Wait until a request arrives; raise StoreUnavailable."""
        network = self._network
        self.calls += 1
        await asyncio.sleep(LATENCY_S * (SLOW_FACTOR if network.store_slow else 1.0))
        if network.store_down or process.name in network.cut_from_store:
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreUnavailable("silent", Effect.UNKNOWN)
        if process.name in network.refused_by_store:
            raise StoreUnavailable("refused")

    async def answer(self, process: Process, era: int) -> None:
        """Wait until an answer arrives; raise StoreUnavailable if it is lost."""
        if self._network.store_loses and self._source.random() < 0.5:
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreUnavailable("the answer is lost", Effect.UNKNOWN)
        await asyncio.sleep(LATENCY_S * (SLOW_FACTOR if self._network.store_slow else 1.0))
        process.era.update(era)

    def apply(self, puts: Sequence[Put]) -> bool:
        """Write all puts if their conditions hold."""
        for put in puts:
            if put.expect is not None and self.rows.get(put.key, (b"", 0))[1] != put.expect:
                return False
        self.revision += 1
        for put in puts:
            if put.value is None:
                self.rows.pop(put.key, None)
            else:
                self.rows[put.key] = (put.value, self.revision)
        return True

    def apply_later(self, puts: Sequence[Put]) -> None:
        """Write puts after a while, in whatever era the store is then."""
        delay_s = self._source.uniform(0.0, MAX_DELAYED_S)
        self._loop.call_later(delay_s, self.apply, list(puts))


class ModelStoreClient:
    """Calls the store for one process, as RowStore does."""

    def __init__(self, store: ModelStore, process: Process, network: Network):
        self._store = store
        self._process = process
        self._network = network

    async def read_row(self, table: str, key: str) -> RowPage:
        """Return a page with a row or none."""
        await self._store.reach(self._process)
        era = self._store.era
        found = self._store.rows.get(key)
        rows = () if found is None else (Row(key, *found),)
        page = RowPage(rows, self._store.revision, 0, era=era)
        await self._store.answer(self._process, era)
        return page

    async def write(self, table: str, puts: Sequence[Put], era: int | None = None) -> RowPage:
        """Write all puts or none."""
        if era is not None and era != self._process.era.value:
            raise EraChanged("older era", Effect.NONE)
        await self._store.reach(self._process)
        answered_era = self._store.era
        if self._network.store_loses and self._store._source.random() < 0.3:
            self._store.apply_later(puts)
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreUnavailable("the write is late", Effect.UNKNOWN)
        written = self._store.apply(puts)
        revision = self._store.revision
        await self._store.answer(self._process, answered_era)
        if not written:
            raise Conflict([0])
        if era is not None and answered_era != era:
            raise EraChanged("older era", Effect.UNKNOWN)
        return RowPage((), revision, 0, era=answered_era)


class World(Protocol):
    """Describes what the model of the service uses of its fleet."""

    source: random.Random
    network: Network
    calls: list[DutyCall]
    resumed_calls: list[DutyCall]

    def now_s(self) -> float:
        """Return the virtual time."""

    def freeze(self, process: Process, duration_s: float) -> None:
        """Freeze a process for a time."""

    async def sleep_outside(self, duration_s: float) -> None:
        """Sleep as the system does."""


class ModelDutyClient:
    """Calls the service of the duties for one process, as DutyClient does."""

    def __init__(self, fleet: World, process: Process):
        self._fleet = fleet
        self._process = process

    async def report_usage(self, fence: Fence, window: int, counts: Mapping[str, int]) -> int:
        """Report a window."""
        return await self._call(fence, "usage", {"windowId": window, "counts": dict(counts)})

    async def order_upstreams(self, fence: Fence, service: str, domain: str, desired: int) -> int:
        """Order upstreams."""
        return await self._call(fence, f"scale/{service}/{domain}", {"desired": desired})

    async def _call(self, fence: Fence, subject: str, body: dict[str, Any]) -> int:
        fleet, name = self._fleet, self._process.name
        until_s = fleet.now_s() + fence.call_s
        for _ in range(2):
            slow_s = 0.4 if fleet.network.service_slow else 5 * LATENCY_S
            await asyncio.sleep(fleet.source.uniform(LATENCY_S, slow_s))
        if not fence.may_send():
            raise DutyCallFailed("too late", begun=False)
        if self._process.freeze_at_send_s:
            fleet.freeze(self._process, self._process.freeze_at_send_s)
            self._process.freeze_at_send_s = 0.0
            # The check was made; the bytes leave when the process goes on.
            await asyncio.sleep(0)
        dropped_s = fleet.now_s() + fence.call_s
        arrives_s = fleet.now_s()
        while name in fleet.network.cut_from_service or fleet.now_s() < arrives_s:
            # The system keeps the bytes until it sends them again after the link has healed, the
            # call is given up, or its own timeout ends.
            if name in fleet.network.cut_from_service:
                arrives_s = fleet.now_s() + fleet.source.uniform(0.0, MAX_RESEND_S)
            await fleet.sleep_outside(CALL_CHECK_S)
            if fleet.now_s() > dropped_s:
                raise DutyCallFailed("hanging")
            if not self._process.frozen and (fleet.now_s() > until_s or not fence.may_send()):
                raise DutyCallFailed("hanging")
        call = DutyCall(fleet.now_s(), name, fence.token, subject, body)
        resumed_s = fleet.network.resumed_s.get(name, float("-inf"))
        fleet.calls.append(call)
        if fleet.now_s() - resumed_s <= BOUNDS.thaw_s:
            fleet.resumed_calls.append(call)
        if fleet.network.service_slow:
            await asyncio.sleep(fleet.source.uniform(0.1, 2.0))
        if fleet.now_s() > until_s or fleet.network.service_loses:
            raise DutyCallFailed("the answer is lost")
        await asyncio.sleep(LATENCY_S)
        return 200


class ModelCollector:
    """Gives other counts each time, as followers that come and go would."""

    def __init__(self, source: random.Random):
        self._source = source

    async def collect(self, window: int) -> Collected:
        """Return random counts."""
        await asyncio.sleep(LATENCY_S)
        return Collected({"yard": self._source.randrange(1 << 30)})


class ModelRoster:
    """Knows the followers of all domains."""

    def list_followers(self) -> dict[str, list[Member]]:
        """Return two followers for each domain."""
        return {
            f"d{n}": [Member(f"d{n}-{m}", f"d{n}", "127.0.0.1:1", 0) for m in range(2)]
            for n in range(DOMAINS)
        }
