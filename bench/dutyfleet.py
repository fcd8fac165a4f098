"""Simulates instances that share the duties, in virtual time, and checks the rules under faults.

The holder's code runs as it is, over models of the store and of the service of the duties. Each
collection of counts gives other figures, so that any second report of a window shows. A process
that is frozen goes on at the point at which it stood; one that is killed never does.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from bench.dutymodels import (
    BOUNDS,
    ModelCollector,
    ModelDutyClient,
    ModelRoster,
    ModelStore,
    ModelStoreClient,
    Network,
    Process,
    create_task,
    current_process,
)
from bench.memory import VirtualLoop
from jayyoke.core.entrysettings import DutyService
from jayyoke.core.error import DutyCallFailed
from jayyoke.duties.lease import LeaseRow
from jayyoke.duties.report import ReportPlanner, find_barred
from jayyoke.duties.truetime import TrueTime
from jayyoke.edge.dutyholder import DutyHolder
from jayyoke.edge.usagereporter import UsageReporter
from jayyoke.utils.task import cancel_tasks
from standin.dutyservice import DutyCall, check_order, check_reports, check_tokens

COPY_PERIOD_S = 0.5
ORDER_PERIOD_S = (0.05, 0.3)


class DutyFleet:
    """Runs the processes, and injects faults at random."""

    def __init__(self, seed: int):
        self.source = random.Random(seed)
        self.loop = VirtualLoop()
        self.loop.set_task_factory(create_task)
        self.network = Network()
        self.store = ModelStore(self.loop, self.network, self.source)
        self.processes: dict[str, Process] = {}
        self.everything: list[Process] = []
        self.calls: list[DutyCall] = []
        # Those that arrived just after their process was thawed or its link healed.
        self.resumed_calls: list[DutyCall] = []
        self.faults = 0

    def now_s(self) -> float:
        """Return the virtual time, which is every process's steady clock and true time."""
        return self.loop.time()

    def run(self, duration_s: float, fault_period_s: float = 0.0) -> None:
        """Run for a time; faults come at random, on average once in `fault_period_s`."""
        self.loop.run_until_complete(self._run(duration_s, fault_period_s))
        self.loop.close()

    async def sleep_outside(self, duration_s: float) -> None:
        """Sleep as the system does, also while the process is frozen."""
        done = self.loop.create_future()
        self.loop.call_later(duration_s, done.set_result, None)
        await done

    async def _run(self, duration_s: float, fault_period_s: float) -> None:
        for domain, members in ModelRoster().list_followers().items():
            for member in members:
                self._start(member.name)
                assert domain
        copying = asyncio.create_task(self._copy())
        faults = asyncio.create_task(self._inject(fault_period_s))
        await asyncio.sleep(duration_s)
        await cancel_tasks([copying, faults])
        for process in self.everything:
            process.thaw()
        await cancel_tasks([task for process in self.everything for task in process.tasks])

    async def _copy(self) -> None:
        while True:
            self.store.copy()
            await asyncio.sleep(COPY_PERIOD_S)

    def _start(self, name: str) -> None:
        process = Process(name, f"{self.source.getrandbits(60):x}")
        self.processes[name] = process
        self.everything.append(process)
        store = ModelStoreClient(self.store, process, self.network)
        planner = ReportPlanner(BOUNDS.report_window_s, BOUNDS.usage_delay_s)
        true_time = TrueTime(self.now_s(), self.now_s())

        def begin(lease: LeaseRow) -> None:
            planner.begin(lease.reported, lease.barred, self.now_s())

        process.holder = DutyHolder(
            name,
            process.incarnation,
            DutyService("127.0.0.1:1", metering=True),
            BOUNDS,
            store,
            process.era,
            ModelRoster(),
            self.now_s,
            lambda at_s: find_barred(at_s, BOUNDS.report_window_s),
            begin,
            lambda: planner.reported,
        )
        reporter = UsageReporter(
            planner,
            process.holder,
            ModelCollector(self.source),
            ModelDutyClient(self, process),
            true_time,
            self.now_s,
        )
        token = current_process.set(process)
        ordering = self._order(process.holder, ModelDutyClient(self, process))
        for coroutine in (process.holder.run(), reporter.run(), ordering):
            process.tasks.append(self.loop.create_task(coroutine))
        current_process.reset(token)

    def find_violations(self) -> list[str]:
        """Return how the calls broke the rules.

        Tokens and order do not count in calls of a process that was just thawed or connected.
        """
        resumed = {id(call) for call in self.resumed_calls}
        in_time = [call for call in self.calls if id(call) not in resumed]
        return [
            *check_reports(self.calls),
            *check_tokens(in_time),
            *check_order(in_time, BOUNDS.lease_s),
        ]

    async def _order(self, holder: DutyHolder, client: ModelDutyClient) -> None:
        """Order upstreams all the time, so that two holders at a time show."""
        while True:
            await asyncio.sleep(self.source.uniform(*ORDER_PERIOD_S))
            try:
                await holder.call(lambda fence: client.order_upstreams(fence, "desk", "d0", 1))
            except DutyCallFailed:
                continue

    def find_holder(self) -> Process | None:
        """Return a process that acts as the holder now."""
        for process in self.processes.values():
            if not process.frozen and process.holder is not None and process.holder.active:
                return process
        return None

    def freeze(self, process: Process, duration_s: float) -> None:
        """Freeze a process for a time."""
        process.freeze()

        def thaw() -> None:
            self.network.resumed_s[process.name] = self.now_s()
            process.thaw()

        self.loop.call_later(duration_s, thaw)

    async def _inject(self, period_s: float) -> None:
        while period_s:
            await asyncio.sleep(self.source.expovariate(1 / period_s))
            self.faults += 1
            victim = self.find_holder()
            if victim is None or self.source.random() < 0.3:
                victim = self.source.choice(list(self.processes.values()))
            self.source.choice(
                (
                    self._kill,
                    self._release,
                    self._freeze_for_a_while,
                    self._freeze_at_send,
                    self._cut_store,
                    self._cut_service,
                    self._cut_both,
                    self._refuse,
                    self._restore,
                    self._set_store_down,
                    self._set_store_slow,
                    self._lose_store_answers,
                    self._lose_service_answers,
                    self._slow_service,
                )
            )(victim)

    def _kill(self, process: Process) -> None:
        if process.frozen:
            return
        process.freeze()
        self.loop.call_later(self.source.uniform(0.1, 4.0), self._start, process.name)

    def _release(self, process: Process) -> None:
        if process.frozen or process.holder is None:
            return
        token = current_process.set(process)
        process.tasks.append(self.loop.create_task(process.holder.release()))
        current_process.reset(token)
        self.loop.call_later(self.source.uniform(0.1, 4.0), self._restart, process)

    def _restart(self, process: Process) -> None:
        if self.processes[process.name] is process and not process.frozen:
            process.freeze()
            self._start(process.name)

    def _freeze_for_a_while(self, process: Process) -> None:
        if not process.frozen:
            self.freeze(process, self.source.uniform(0.1, 8.0))

    def _freeze_at_send(self, process: Process) -> None:
        process.freeze_at_send_s = self.source.uniform(0.5, 8.0)

    def _cut_store(self, process: Process) -> None:
        self._set_for_a_while(self.network.cut_from_store, process.name)

    def _cut_service(self, process: Process) -> None:
        name = process.name
        self.network.cut_from_service.add(name)

        def heal() -> None:
            self.network.cut_from_service.discard(name)
            self.network.resumed_s[name] = self.now_s()

        self.loop.call_later(self.source.uniform(0.2, 6.0), heal)

    def _cut_both(self, process: Process) -> None:
        self._cut_store(process)
        self._cut_service(process)

    def _refuse(self, process: Process) -> None:
        self._set_for_a_while(self.network.refused_by_store, process.name)

    def _restore(self, _: Process) -> None:
        self.store.restore(self.source.uniform(0.0, 12.0))

    def _set_store_down(self, _: Process) -> None:
        self._switch("store_down")

    def _set_store_slow(self, _: Process) -> None:
        self._switch("store_slow")

    def _lose_store_answers(self, _: Process) -> None:
        self._switch("store_loses")

    def _lose_service_answers(self, _: Process) -> None:
        self._switch("service_loses")

    def _slow_service(self, _: Process) -> None:
        self._switch("service_slow")

    def _switch(self, name: str) -> None:
        setattr(self.network, name, True)
        end: Callable[[], None] = lambda: setattr(self.network, name, False)  # noqa: E731
        self.loop.call_later(self.source.uniform(0.2, 6.0), end)

    def _set_for_a_while(self, names: set[str], name: str) -> None:
        names.add(name)
        self.loop.call_later(self.source.uniform(0.2, 6.0), names.discard, name)
