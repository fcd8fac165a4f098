"""Fuzz model of once-only requests over faults, pauses and crashes, checked with an oracle."""

from __future__ import annotations

import asyncio
import random
from collections import defaultdict
from collections.abc import Sequence

from absl import logging
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from bench.memory import MemoryObjects, MemoryTable, VirtualLoop
from jayyoke.core.config import ClassKind, ClassSpec, ServiceSpec, SettlementMethod, TeamSpec
from jayyoke.core.error import AnswerBroken, AnswerMismatched, ConnectFailed, Refusal, RunState
from jayyoke.core.request import CallerRequest
from jayyoke.core.upstream import Upstream
from jayyoke.ops.claim import Claims
from jayyoke.ops.forward import Answer
from jayyoke.ops.settle import OnceRunner, Outcome
from jayyoke.platform.table import Put

INSTANCES = 3
KEYS = 2
WITHIN_S = 4.0
FINISH_S = 300.0
TEAM = TeamSpec("team", "")
TABLE_RATES = st.sampled_from((0.0, 0.1, 0.3, 0.6))
SERVICE_RATES = st.sampled_from((0.0, 0.3, 0.6, 1.0))
MOSTLY_FALSE = st.sampled_from((False, False, False, True))


class Gate:
    """Pauses everything that one process does, or stops it for good."""

    def __init__(self) -> None:
        self.running = asyncio.Event()
        self.running.set()
        self.killed = False
        # Referenced here so that the tasks of a killed process are not garbage-collected.
        self._never_done: asyncio.Future[None] = asyncio.get_event_loop().create_future()

    async def __call__(self) -> None:
        """Wait while the process is paused; never return if it was killed."""
        await self.running.wait()
        if self.killed:
            await self._never_done


class GatedTable:
    """Gives a process access to the table only while it runs."""

    def __init__(self, table: MemoryTable, gate: Gate):
        self._table = table
        self._gate = gate

    async def get(self, key: str):
        """Read a row."""
        return await self._call(lambda: self._table.get(key))

    async def scan(self, prefix: str, after: str = "", limit: int = 100):
        """Read rows."""
        return await self._call(lambda: self._table.scan(prefix, after, limit))

    async def commit(self, puts: Sequence[Put]) -> None:
        """Write rows."""
        await self._call(lambda: self._table.commit(puts))

    async def _call(self, work):
        return await _call_through(self._gate, work)


async def _call_through(gate: Gate, work):
    """Make a call that continues in the network if the calling process stops."""
    task = asyncio.ensure_future(_send_through(gate, work))
    # Retrieves the exception of a call whose process was killed.
    task.add_done_callback(lambda done: done.cancelled() or done.exception())
    try:
        return await asyncio.shield(task)
    finally:
        await gate()


async def _send_through(gate: Gate, work):
    await gate()
    return await work()


class CountingService:
    """Runs requests and records which request caused each run."""

    def __init__(self, rng: random.Random, settle: SettlementMethod):
        self.rng = rng
        self.settle = settle
        self.fault_rate = 0.0
        self.refuses = False
        self.run_causes: dict[str, list[str]] = defaultdict(list)
        self.answers: dict[str, list[Answer]] = defaultdict(list)

    async def call(self, request: CallerRequest, timeout_s: float) -> Answer:
        """Run a request, or fail before, during or after the run."""
        if self.refuses or self.rng.random() < self.fault_rate / 3:
            raise ConnectFailed("refused")
        delivery_s = self.rng.choice((0.0, 0.01, 0.5, 3.0, 9.0))
        answer = asyncio.ensure_future(self._run_later(request, delivery_s))
        try:
            answer = await asyncio.wait_for(asyncio.shield(answer), timeout_s)
        except TimeoutError as error:
            raise AnswerBroken("silent") from error
        if self.rng.random() < self.fault_rate:
            match self.rng.randrange(3):
                case 0:
                    raise AnswerBroken("truncated")
                case 1:
                    raise AnswerMismatched("crossed")
                case 2:
                    return Answer(500, "text/plain", b"failed after the run")
        return answer

    async def _run_later(self, request: CallerRequest, delivery_s: float) -> Answer:
        await asyncio.sleep(delivery_s)
        key = request.idempotency_key
        if self.settle is SettlementMethod.DEDUPLICATES and self.answers[key]:
            return self.answers[key][0]
        self.run_causes[key].append(request.request_id)
        status = self.rng.choice((200, 200, 201, 404))
        body = f"{key} run {len(self.run_causes[key])}".encode()
        answer = Answer(status, "text/plain", body * self.rng.choice((1, 2000)))
        self.answers[key].append(answer)
        return answer

    async def lookup(self, key: str) -> Answer | None:
        """Return what the service recorded for a key."""
        await asyncio.sleep(0.005)
        if self.rng.random() < self.fault_rate:
            raise AnswerBroken("lookup failed")
        return self.answers[key][0] if self.answers[key] else None


class GatedService:
    """Gives a process access to the service only while it runs."""

    def __init__(self, service: CountingService, gate: Gate):
        self._service = service
        self._gate = gate

    async def place(self, request: CallerRequest, exclude: tuple[str, ...]) -> Upstream:
        """Return one of one or two upstreams; raise Refusal if they are excluded."""
        await self._gate()
        names = ("one", "two") if self._service.rng.random() < 0.5 else ("one",)
        for name in names:
            if name not in exclude:
                return Upstream(name, "service", "domain", "")
        raise Refusal(503, "no-upstream", "none left", RunState.NOT_RUN)

    async def send(self, upstream: Upstream, request: CallerRequest, timeout_s: float) -> Answer:
        """Send a request once."""
        return await self._call(lambda: self._service.call(request, timeout_s))

    async def lookup(self, request: CallerRequest, timeout_s: float) -> Answer | None:
        """Ask for a recorded answer."""
        return await self._call(lambda: self._service.lookup(request.idempotency_key))

    async def _call(self, work):
        return await _call_through(self._gate, work)


class Process:
    """Holds one simulated instance of the fleet."""

    def __init__(self, name: str, loop: VirtualLoop, table, objects, service: CountingService):
        self.gate = Gate()
        gated = GatedTable(table, self.gate)
        claims = Claims(gated, objects, gated.commit, loop, name, wall_s=loop.time)
        self.runner = OnceRunner(claims, GatedService(service, self.gate), loop)
        self.tasks: list[asyncio.Task] = []

    def kill(self) -> None:
        """Stop everything that this process does at its next call."""
        self.gate.killed = True
        self.gate.running.set()


class OnceMachine(RuleBasedStateMachine):
    """Checks runs, refusals and answers after each step."""

    @initialize(
        seed=st.integers(0, 2**32),
        settle=st.sampled_from(list(SettlementMethod)),
        table=TABLE_RATES,
        service=SERVICE_RATES,
    )
    def start(self, seed: int, settle: SettlementMethod, table: float, service: float) -> None:
        """Start the instances around one table and one service."""
        logging.set_verbosity(logging.ERROR)
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        rng = random.Random(seed)
        self.table = MemoryTable(rng)
        self.objects = MemoryObjects()
        self.table.fault_rate = table
        self.service = CountingService(rng, settle)
        self.service.fault_rate = service
        self.spec = ClassSpec("stamp", ClassKind.ONCE, "service", WITHIN_S)
        self.service_spec = ServiceSpec("service", "plain", settle)
        self.gates: list[Gate] = []
        self.processes = [self._new_process(index) for index in range(INSTANCES)]
        self.results: dict[str, Outcome | Refusal] = {}
        self.keys: dict[str, str] = {}

    def _new_process(self, index: int) -> Process:
        process = Process(str(index), self.loop, self.table, self.objects, self.service)
        self.gates.append(process.gate)
        return process

    @rule(indexes=st.lists(st.integers(0, INSTANCES - 1), min_size=1, max_size=3))
    def repeat(self, indexes: list[int]) -> None:
        """Let a caller send the same key through several instances, one after another."""
        for index in indexes:
            self.send(index, 0)
            self.advance(WITHIN_S + 1.0)

    @rule(
        steps=st.integers(0, 60),
        seconds=st.sampled_from((0.0, 7.0, 12.0)),
        crash=st.booleans(),
        repeats=st.integers(1, 3),
    )
    def interrupt(self, steps: int, seconds: float, crash: bool, repeats: int) -> None:
        """Stop a claim's holder between two of its steps while others repeat the request."""
        self.send(0, 0)
        self.step(steps)
        if crash:
            self.crash(0)
        else:
            self.pause(0, seconds)
        self.advance(6.0)
        for _ in range(repeats):
            self.send(1, 0)
            self.advance(WITHIN_S / 2)
        self.advance(seconds)

    @rule(index=st.integers(0, INSTANCES - 1), key=st.integers(0, KEYS - 1))
    def send(self, index: int, key: int) -> None:
        """Let a caller send a request with a key through an instance."""
        request_id = f"request-{len(self.keys)}"
        self.keys[request_id] = f"team:stamp:{key}"
        now_s = self.loop.time()
        request = CallerRequest(
            request_id,
            TEAM,
            self.spec,
            self.service_spec,
            now_s,
            now_s + WITHIN_S,
            idempotency_key=str(key),
        )
        process = self.processes[index]
        process.tasks.append(self.loop.create_task(self._call(process, request)))

    async def _call(self, process: Process, request: CallerRequest) -> None:
        await process.gate()
        try:
            result = await process.runner.run(request)
        except Refusal as refusal:
            result = refusal
        await process.gate()
        self.results[request.request_id] = result

    @rule(iterations=st.integers(1, 30))
    def step(self, iterations: int) -> None:
        """Run a few callbacks, so that the next rule takes effect between them."""
        for _ in range(iterations):
            self.loop.run_until_complete(asyncio.sleep(0))

    @rule(seconds=st.sampled_from((0.004, 0.02, 0.3, 1.1, 6.0, 40.0)))
    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(index=st.integers(0, INSTANCES - 1))
    def crash(self, index: int) -> None:
        """Kill an instance and start another in its place."""
        self.processes[index].kill()
        self.processes[index] = self._new_process(index)

    @rule(index=st.integers(0, INSTANCES - 1), seconds=st.sampled_from((0.5, 7.0, 30.0)))
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

    @invariant()
    def check(self) -> None:
        """Compare the results of callers with the runs at the service."""
        if not hasattr(self, "loop"):
            return
        for key, run_causes in self.service.run_causes.items():
            assert len(run_causes) <= 1, f"{key} ran for {run_causes}"
        for request_id, result in self.results.items():
            key = self.keys[request_id]
            if isinstance(result, Outcome):
                assert result.answer in self.service.answers[key], f"{request_id}: wrong answer"
                continue
            if result.run_state is RunState.NOT_RUN:
                run_causes = self.service.run_causes[key]
                assert request_id not in run_causes, f"{request_id} ran after {result}"

    def teardown(self) -> None:
        """Let everything finish without further faults and check once more."""
        if not hasattr(self, "loop"):
            return
        self.table.down = self.service.refuses = False
        self.table.fault_rate = self.service.fault_rate = 0.0
        for process in self.processes:
            process.gate.running.set()
        try:
            self.advance(FINISH_S)
            self.check()
        finally:
            self._close()

    def _close(self) -> None:
        for gate in self.gates:
            gate.killed = False
            gate.running.set()
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        self.loop.close()
