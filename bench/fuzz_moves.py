"""Fuzz model of version moves: racing lease holders and operators over a table with faults."""

from __future__ import annotations

import asyncio
import random

from absl import logging
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from bench.fakeengines import EngineClient, FakeEngine, MoveTable
from bench.fuzz_once import MOSTLY_FALSE, TABLE_RATES, Gate, GatedTable
from bench.memory import VirtualLoop
from jayyoke.core.error import Conflict, StoreUnavailable
from jayyoke.core.member import Member
from jayyoke.core.move import Move, MoveActive, MovePhase, OutcomeCounts, VersionInForce
from jayyoke.ops.moveexecutor import ABSENT_AFTER_S
from jayyoke.ops.moverow import MOVE_PREFIX, decode_move
from jayyoke.ops.moves import Moves
from jayyoke.wire.local import LocalHub

SERVICE = "pool"
INSTANCES = 3
ENGINES = 4
BAD_VERSION = "bad"
VERSIONS = ("v2", "v3", BAD_VERSION)
FINISH_S = 500.0
TRAFFIC_INTERVAL_S = 0.5
CHATS_PER_INTERVAL = 6
HALT_INTERVAL_S = 1.0
SETTLED_S = 30.0
# A move must be done by its deadline if faults took less than MAX_DISTURBED_SHARE of its time and
# none of its last QUIET_SHARE, in which the last engines load and the end is written.
MAX_DISTURBED_SHARE = 0.15
QUIET_SHARE = 0.4


class FleetHalts:
    """Keeps the halts of one instance and sends them to the peers that it reaches."""

    def __init__(self, model: MovesMachine, name: str):
        self.halted: set[tuple[str, str]] = set()
        self._model = model
        self._name = name

    def halt(self, move: str, version: str, reason: str) -> None:
        """Halt a version at this instance; `spread` sends it to peers."""
        self.halted.add((move, version))

    def is_halted(self, move: str, version: str) -> bool:
        """Tell whether a version of a move was halted."""
        return (move, version) in self.halted

    def spread(self) -> None:
        """Send every halt to the peers that can be reached."""
        for name, process in self._model.processes.items():
            if self._model.hub.connects(self._name, name):
                process.halts.halted |= self.halted


class MoveProcess:
    """Holds one incarnation of a simulated instance."""

    def __init__(self, name: str, incarnation: int, model: MovesMachine):
        self.gate = Gate()
        self.halts = FleetHalts(model, name)
        self.peers = model.hub.join(Member(name, f"domain-{name}", incarnation, ""))
        sender = f"{name}:{incarnation}"
        self.moves = Moves(
            self.peers,
            GatedTable(model.table, self.gate),
            EngineClient(model.engines, self.gate, sender, model.rng),
            model.loop,
            self.halts,
            list_engines=lambda service: [e.upstream for e in model.engines.values()],
            find_version=lambda name: model.engines[name].version,
            checks_fencing=lambda service: model.checks_fencing,
            wall_s=model.loop.time,
        )
        self.task = model.loop.create_task(self.moves.run())


class MovesMachine(RuleBasedStateMachine):
    """Checks each write of a move, each selection of engines, and how every move ends."""

    @initialize(seed=st.integers(0, 2**32), checks_fencing=st.booleans(), table=TABLE_RATES)
    def start(self, seed: int, checks_fencing: bool, table: float) -> None:
        """Start the instances around one table and one service."""
        logging.set_verbosity(logging.FATAL)
        self.loop = VirtualLoop()
        asyncio.set_event_loop(self.loop)
        self.rng = random.Random(seed)
        self.checks_fencing = checks_fencing
        self.failures: list[str] = []
        self.table = MoveTable(self.rng, self._check_write)
        self.table.fault_rate = table
        self.engines = {}
        for index in range(ENGINES):
            engine = FakeEngine(f"e{index}", "v1", checks_fencing, self.rng)
            self.engines[engine.upstream.name] = engine
        self.hub = LocalHub()
        self.incarnations = 0
        self.gates: list[Gate] = []
        self.processes: dict[str, MoveProcess] = {}
        self.disturbances: list[tuple[float, float]] = []
        self.written: set[str] = set()
        self.accepted: list[Move] = []
        self.halted: set[str] = set()
        for index in range(INSTANCES):
            self._start_process(str(index))
        self.traffic = self.loop.create_task(self._run_traffic())
        self.faults_since_s = self.loop.time() if table else None

    def _start_process(self, name: str) -> None:
        self.incarnations += 1
        process = self.processes[name] = MoveProcess(name, self.incarnations, self)
        self.gates.append(process.gate)

    @rule(
        index=st.integers(0, INSTANCES - 1),
        version=st.sampled_from(VERSIONS),
        deadline_s=st.sampled_from((40.0, 120.0, 120.0)),
    )
    def start_move(self, index: int, version: str, deadline_s: float) -> None:
        """Let an operator start a move at an instance."""
        self.loop.create_task(self._start_move(self.processes[str(index)], version, deadline_s))

    @rule(versions=st.permutations(VERSIONS))
    def race(self, versions: list[str]) -> None:
        """Let operators start different moves at all instances at once."""
        for index, version in enumerate(versions):
            self.start_move(index, version, 120.0)

    @rule(index=st.integers(0, INSTANCES - 1), version=st.sampled_from(VERSIONS))
    def move_without_faults(self, index: int, version: str) -> None:
        """Run a move from its start past its deadline without faults."""
        self._end_all_faults()
        self.advance(SETTLED_S)
        self.start_move(index, version, 120.0)
        self.advance(130.0)

    async def _start_move(self, process: MoveProcess, version: str, deadline_s: float) -> None:
        await process.gate()
        try:
            self.accepted.append(await process.moves.start(SERVICE, version, deadline_s))
        except (MoveActive, VersionInForce, Conflict, StoreUnavailable):
            return

    @rule(seconds=st.sampled_from((0.02, 0.6, 2.5, 7.0, 15.0, 60.0)))
    def advance(self, seconds: float) -> None:
        """Let time pass."""
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(index=st.integers(0, INSTANCES - 1), seconds=st.sampled_from((2.0, 7.0, 20.0)))
    def pause(self, index: int, seconds: float) -> None:
        """Pause an instance, as SIGSTOP does, also beyond its lease."""
        gate = self.processes[str(index)].gate
        gate.running.clear()
        self.loop.call_later(seconds, gate.running.set)
        self._add_disturbance(seconds + 10.0)

    @rule(index=st.integers(0, INSTANCES - 1))
    def crash(self, index: int) -> None:
        """Kill an instance and start another in its place."""
        name = str(index)
        gate = self.processes[name].gate
        gate.killed = True
        gate.running.set()
        self.hub.leave(name)
        self._start_process(name)
        self._add_disturbance(10.0)

    @rule(index=st.integers(0, INSTANCES - 1))
    def halt(self, index: int) -> None:
        """Let an instance halt the version of the active move, as it does on clear failures."""
        process = self.processes[str(index)]
        for move in process.moves.moves:
            if move.active:
                self.halted.add(move.id)
                process.halts.halt(move.id, move.new_version, "halted by the model")

    @rule(index=st.integers(0, INSTANCES - 1), skipped=st.integers(0, 4))
    def halt_with_orders_in_flight(self, index: int, skipped: int) -> None:
        """Start a move and halt it while one of its orders is in flight to an engine."""
        self.race(["v2", "v3", "v2"])
        previous_orders = 0
        for _ in range(1200):
            self.advance(0.05)
            orders = sum(engine.orders_in_flight for engine in self.engines.values())
            if orders > previous_orders:
                skipped -= 1
                if skipped < 0:
                    break
            previous_orders = orders
        self.halt(index)

    @rule(index=st.integers(0, ENGINES - 1), up=st.booleans())
    def flap(self, index: int, up: bool) -> None:
        """Stop or start an engine, which keeps its version and fencing token."""
        engine = self.engines[f"e{index}"]
        engine.up = up
        engine.down_s = self.loop.time()
        self._add_disturbance(20.0)

    @rule(one=st.integers(0, INSTANCES - 1), connected=st.booleans())
    def partition(self, one: int, connected: bool) -> None:
        """Cut an instance off from its peers, or connect it again."""
        for name in self.processes:
            if name == str(one):
                continue
            (self.hub.heal if connected else self.hub.partition)(str(one), name)
        self._add_disturbance(20.0)

    @rule(rate=TABLE_RATES, down=MOSTLY_FALSE)
    def set_faults(self, rate: float, down: bool) -> None:
        """Change how often calls of the table fail, and begin or end outages."""
        self._record_end_of_faults()
        self.table.fault_rate, self.table.down = rate, down
        self.faults_since_s = self.loop.time() if rate or down else None

    def _record_end_of_faults(self) -> None:
        if self.faults_since_s is not None:
            # Delayed writes and the lease of a lost holder last longer than the fault.
            self.disturbances.append((self.faults_since_s, self.loop.time() + 10.0))

    def _add_disturbance(self, seconds: float) -> None:
        now_s = self.loop.time()
        self.disturbances.append((now_s, now_s + seconds))

    async def _run_traffic(self) -> None:
        """Send chats through every running instance and report their outcomes to it."""
        halts_at_s = 0.0
        while True:
            for process in list(self.processes.values()):
                if process.gate.running.is_set():
                    self._send_chats(process)
            if self.loop.time() >= halts_at_s:
                halts_at_s = self.loop.time() + HALT_INTERVAL_S
                for process in self.processes.values():
                    if process.gate.running.is_set():
                        process.halts.spread()
            self._check_settled()
            await asyncio.sleep(TRAFFIC_INTERVAL_S)

    def _send_chats(self, process: MoveProcess) -> None:
        live = [name for name, engine in self.engines.items() if engine.live]
        for _ in range(CHATS_PER_INTERVAL):
            chat = str(self.rng.random())
            chosen = process.moves.select(SERVICE, chat, list(live))
            shadow = process.moves.pick_shadow(SERVICE, chat)
            copies = [shadow.name] if shadow is not None else []
            self._check_selection(process, chosen + copies)
            targets = [self.rng.choice(chosen)] if chosen else []
            for name in targets + copies:
                self._observe(process, self.engines[name])

    def _observe(self, process: MoveProcess, engine: FakeEngine) -> None:
        failed = engine.version == BAD_VERSION
        counts = OutcomeCounts(1, int(failed), 0)
        process.moves.observe(engine.upstream, engine.version, "draft", counts)

    def _check_selection(self, process: MoveProcess, chosen: list[str]) -> None:
        for move in process.moves.moves:
            if not process.halts.is_halted(move.id, move.new_version):
                continue
            for name in chosen:
                if self.engines[name].version == move.new_version:
                    self.failures.append(f"{name} of halted {move.new_version} was selected")

    def _check_write(self, old: Move | None, new: Move) -> None:
        self.written.add(new.id)
        if old is None:
            return
        if old.active and old.id != new.id:
            self.failures.append(f"{new.id} replaced the active {old.id}")
        if new.fence < old.fence:
            self.failures.append(f"the fencing token of {new.id} decreased to {new.fence}")
        if old.id == new.id and old.holder != new.holder and new.fence <= old.fence:
            self.failures.append(
                f"{new.holder} replaced {old.holder} without a higher fencing token"
            )
        reopened = old.phase is MovePhase.DONE and new.phase is MovePhase.ROLLING_BACK
        if old.id == new.id and not old.active and not reopened:
            self.failures.append(f"{new.id} was written after its end")
        if old.active and not new.active:
            self._check_end(new)

    def _check_end(self, move: Move) -> None:
        now_s = self.loop.time()
        for name, engine in self.engines.items():
            # A lease holder ignores engines that have not answered for a while.
            if not engine.up or engine.down_s > now_s - ABSENT_AFTER_S - SETTLED_S:
                continue
            on_new = engine.version == move.new_version
            if move.phase is MovePhase.DONE and not on_new:
                self.failures.append(f"{move.id} is done, but {name} runs {engine.version}")
            if move.phase is MovePhase.ROLLED_BACK and on_new:
                self.failures.append(f"{move.id} is rolled back, but {name} runs it")
        if move.new_version == BAD_VERSION and move.phase is MovePhase.DONE:
            self.failures.append(f"{move.id} is done although every answer failed")
        if self._must_be_done(move):
            in_time = move.phase is MovePhase.DONE and now_s <= move.deadline_s + 1.0
            if not in_time:
                self.failures.append(f"{move.id}: {move.phase} at {now_s}, {move.reason}")

    def _must_be_done(self, move: Move) -> bool:
        """Tell whether a good version had enough undisturbed time to be done by its deadline."""
        total_s = move.deadline_s - move.started_s
        if move.new_version == BAD_VERSION or move.id in self.halted or total_s < 100.0:
            return False
        disturbances = list(self.disturbances)
        if self.faults_since_s is not None:
            disturbances.append((self.faults_since_s, self.loop.time()))
        quiet_from_s = move.deadline_s - total_s * QUIET_SHARE
        disturbed_s = 0.0
        for begin_s, end_s in disturbances:
            if end_s > quiet_from_s and begin_s < move.deadline_s:
                return False
            disturbed_s += max(0.0, min(end_s, move.deadline_s) - max(begin_s, move.started_s))
        return disturbed_s < total_s * MAX_DISTURBED_SHARE

    @invariant()
    def check(self) -> None:
        """Report failed checks of writes and selections, and fencing tokens of two processes."""
        if not hasattr(self, "loop"):
            return
        assert not self.failures, self.failures[0]
        for name, engine in self.engines.items():
            for fence, senders in engine.senders.items():
                assert len(senders) == 1, f"{name}: {senders} used fencing token {fence}"
        for move in self.accepted:
            assert move.id in self.written, f"{move.id} was answered but never written"

    def teardown(self) -> None:
        """Let everything finish without further faults; every move must have ended."""
        if not hasattr(self, "loop"):
            return
        self._end_all_faults()
        try:
            self._finish()
            self.check()
            self._check_final()
        finally:
            self._close()

    def _end_all_faults(self) -> None:
        """End every fault except for pauses."""
        self._record_end_of_faults()
        self.faults_since_s = None
        self.table.down, self.table.fault_rate = False, 0.0
        for engine in self.engines.values():
            engine.up = True
        for one in self.processes:
            for other in self.processes:
                self.hub.heal(one, other)

    def _finish(self) -> None:
        for _ in range(round(FINISH_S / SETTLED_S)):
            self.advance(SETTLED_S)
            row = self.table.rows.get(MOVE_PREFIX + SERVICE)
            if row is None or not decode_move(row[0]).active:
                break
        # Delayed orders and writes must change nothing after the end.
        self.advance(SETTLED_S)

    def _check_settled(self) -> None:
        """Check that no delayed order changes an engine after the end of a move."""
        row = self.table.rows.get(MOVE_PREFIX + SERVICE)
        move = decode_move(row[0]) if row else None
        if move is None or move.active or move.new_version == move.old_version:
            return
        for name, engine in self.engines.items():
            if engine.down_s > move.started_s - SETTLED_S:
                continue
            if (engine.version == move.new_version) != (move.phase is MovePhase.DONE):
                self.failures.append(f"{name} runs {engine.version}: {move}")

    def _check_final(self) -> None:
        row = self.table.rows.get(MOVE_PREFIX + SERVICE)
        if row is None:
            return
        move = decode_move(row[0])
        assert not move.active, f"{move} has not ended"
        for process in self.processes.values():
            chosen = process.moves.select(SERVICE, "chat", list(self.engines))
            assert chosen, f"no engine is left after {move}"

    def _close(self) -> None:
        for gate in self.gates:
            gate.killed = False
            gate.running.set()
        tasks = asyncio.all_tasks(self.loop)
        for task in tasks:
            task.cancel()
        self.loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
        self.loop.close()
