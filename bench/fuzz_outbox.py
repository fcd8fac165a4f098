"""Fuzz model of tags and late replies: acknowledged work is delivered and answered."""

from __future__ import annotations

import asyncio
import random
from types import SimpleNamespace

from absl import logging
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from bench.fuzz_once import (
    INSTANCES,
    MOSTLY_FALSE,
    SERVICE_RATES,
    TABLE_RATES,
    TEAM,
    CountingService,
    Gate,
    GatedService,
    GatedTable,
)
from bench.memory import MemoryObjects, MemoryTable, VirtualLoop
from jayyoke.core.config import ClassKind, ClassSpec, ServiceSpec, SettlementMethod
from jayyoke.core.error import Refusal, RunState
from jayyoke.core.member import Member
from jayyoke.core.request import CallerRequest
from jayyoke.ops.outbox import Outbox
from jayyoke.ops.reply import Replies
from jayyoke.ops.requestdrain import RequestDrain
from jayyoke.plugins.late import handle_late
from jayyoke.plugins.tag import handle_tag
from jayyoke.wire.local import LocalHub

WITHIN_S = 2.0
FINISH_S = 400.0
SPECS = {
    ClassKind.TAG: ClassSpec("tag", ClassKind.TAG, "service", WITHIN_S),
    ClassKind.LATE: ClassSpec("late", ClassKind.LATE, "service", WITHIN_S, keep_s=1e6),
}
KINDS = (ClassKind.TAG, ClassKind.LATE)
HANDLERS = {ClassKind.TAG: handle_tag, ClassKind.LATE: handle_late}


class OutboxProcess:
    """Holds one incarnation of a simulated instance."""

    def __init__(self, index: int, incarnation: int, model: OutboxMachine):
        self.gate = Gate()
        table = GatedTable(model.table, self.gate)
        peers = model.hub.join(Member(str(index), "domain", incarnation, ""))
        service = GatedService(model.service, self.gate)
        replies = Replies(table, model.objects, wall_s=model.loop.time)
        outbox = Outbox(table, table.commit, service, replies, peers, model.loop)
        durable_work = SimpleNamespace(outbox=outbox, replies=replies, service=service)
        self.node = SimpleNamespace(
            durable_work=durable_work, clock=model.loop, drain=RequestDrain()
        )
        self.task = model.loop.create_task(outbox.run())


class OutboxMachine(RuleBasedStateMachine):
    """Checks refusals after each step, and acknowledged work at the end."""

    @initialize(
        seed=st.integers(0, 2**32),
        durable=st.booleans(),
        table=TABLE_RATES,
        service=SERVICE_RATES,
    )
    def start(self, seed: int, durable: bool, table: float, service: float) -> None:
        """Start the instances around one table and one service."""
        logging.set_verbosity(logging.FATAL)
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        rng = random.Random(seed)
        self.table = MemoryTable(rng, table)
        self.objects = MemoryObjects()
        self.service = CountingService(rng, SettlementMethod.NONE)
        self.service.fault_rate = service
        self.service_spec = ServiceSpec("service", "plain", stores_durably=durable)
        self.hub = LocalHub()
        self.incarnations = 0
        self.gates: list[Gate] = []
        self.processes = [self._new_process(index) for index in range(INSTANCES)]
        self.results: dict[str, object] = {}
        self.sent_count = 0

    def _new_process(self, index: int) -> OutboxProcess:
        self.incarnations += 1
        process = OutboxProcess(index, self.incarnations, self)
        self.gates.append(process.gate)
        return process

    @rule(index=st.integers(0, INSTANCES - 1), kind=st.sampled_from(list(HANDLERS)))
    def send(self, index: int, kind: ClassKind) -> None:
        """Let a caller send a tag or a late call through an instance."""
        self.sent_count += 1
        now_s = self.loop.time()
        request = CallerRequest(
            f"request-{self.sent_count}",
            TEAM,
            SPECS[kind],
            self.service_spec,
            now_s,
            now_s + WITHIN_S,
        )
        self.loop.create_task(self._call(self.processes[index], request))

    @rule(count=st.integers(2, 8), steps=st.integers(0, 60), crash=st.booleans())
    def burst(self, count: int, steps: int, crash: bool) -> None:
        """Let callers send requests through one instance, which may be killed between two steps."""
        for index in range(count):
            self.send(0, KINDS[index % 2])
        self.step(steps)
        if crash:
            self.crash(0)
        self.advance(2.5)

    async def _call(self, process: OutboxProcess, request: CallerRequest) -> None:
        await process.gate()
        try:
            result = await HANDLERS[request.class_spec.kind](process.node, request, None)
        except Refusal as refusal:
            result = refusal
        await process.gate()
        self.results[request.request_id] = (request.class_spec.kind, result)

    @rule(iterations=st.integers(1, 30))
    def step(self, iterations: int) -> None:
        """Run a few callbacks, so that the next rule takes effect between them."""
        for _ in range(iterations):
            self.loop.run_until_complete(asyncio.sleep(0))

    @rule(seconds=st.sampled_from((0.004, 0.02, 0.3, 2.5, 12.0)))
    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(index=st.integers(0, INSTANCES - 1))
    def crash(self, index: int) -> None:
        """Kill an instance and start another in its place."""
        gate = self.processes[index].gate
        gate.killed = True
        gate.running.set()
        self.hub.leave(str(index))
        self.processes[index] = self._new_process(index)

    @rule(index=st.integers(0, INSTANCES - 1), seconds=st.sampled_from((0.5, 12.0, 40.0)))
    def pause(self, index: int, seconds: float) -> None:
        """Pause an instance for a while, as SIGSTOP does."""
        gate = self.processes[index].gate
        gate.running.clear()
        self.loop.call_later(seconds, gate.running.set)

    @rule(table=TABLE_RATES, service=SERVICE_RATES, down=MOSTLY_FALSE, refuses=MOSTLY_FALSE)
    def set_faults(self, table: float, service: float, down: bool, refuses: bool) -> None:
        """Change how often calls fail, and begin or end outages."""
        self.table.fault_rate = table
        self.service.fault_rate = service
        self.table.down = down
        self.service.refuses = refuses

    def _has_run(self, request_id: str) -> bool:
        return any(request_id in run_causes for run_causes in self.service.run_causes.values())

    @invariant()
    def check_refusals(self) -> None:
        """Check that nothing ran for a request that was refused as not run."""
        for request_id, (_, result) in getattr(self, "results", {}).items():
            if isinstance(result, Refusal) and result.run_state is RunState.NOT_RUN:
                assert not self._has_run(request_id), f"{request_id} ran after {result}"

    def teardown(self) -> None:
        """Let everything finish without further faults and check the acknowledged work."""
        if not hasattr(self, "loop"):
            return
        self.table.down = self.service.refuses = False
        self.table.fault_rate = self.service.fault_rate = 0.0
        try:
            self.advance(FINISH_S)
            self.check_refusals()
            self._check_acknowledged()
        finally:
            self._close()

    def _check_acknowledged(self) -> None:
        answers = [answer for recorded in self.service.answers.values() for answer in recorded]
        bodies = {answer.body for answer in answers}
        replies = self.processes[0].node.durable_work.replies
        for request_id, (kind, result) in self.results.items():
            if isinstance(result, Refusal):
                continue
            assert self._has_run(request_id), f"{request_id} was acknowledged and lost"
            if kind is ClassKind.TAG:
                continue
            if result.status != 202:
                assert result.body in bodies, f"{request_id}: wrong answer"
                continue
            work = replies.fetch(request_id, TEAM.name)
            answer = self.loop.run_until_complete(work)
            assert answer is not None, f"{request_id} has no reply"
            assert answer.body in bodies, f"{request_id}: wrong reply"
        remaining = [key for key in self.table.rows if key.startswith("outbox/")]
        assert not remaining, f"rows remain in the outbox: {remaining}"

    def _close(self) -> None:
        for gate in self.gates:
            gate.killed = False
            gate.running.set()
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        self.loop.close()
