"""Simulates entry instances and model engines in virtual time, to check the load bound.

The users bound the requests at an engine by a multiple of the mean over its service. Each instance
chooses by its own estimate of the loads, so only a simulation of all of them shows whether the
bound holds. As at the users' engines, the load report of an answer leaves out requests whose
prompts are still being processed.
"""

from __future__ import annotations

import asyncio
import json
import math
import random
from collections.abc import Callable, Sequence

from bench.arrivals import Arrival
from bench.chatkinds import (
    USUAL_KINDS,
    Canary,
    ChatKind,
    Engine,
    HotSession,
    Outage,
)
from bench.memory import VirtualLoop
from bench.spells import USUAL_MACHINES, Machines, SpeedPlan
from jayyoke.core.entrysettings import Bounds
from jayyoke.core.route import Route, RouteKind, ServiceShare
from jayyoke.core.upstream import Upstream
from jayyoke.edge.baseline import HOME_POLICY, find_ordering
from jayyoke.edge.call import Call
from jayyoke.edge.moves import MoveParticipant
from jayyoke.edge.outcome import Delivered
from jayyoke.edge.placement import Assignment, Placer
from jayyoke.edge.storeclock import StoreClock
from jayyoke.edge.view import FleetView
from jayyoke.platform import names
from jayyoke.platform.message import AnswerHead, LoadReport, PromptPart, RequestHead
from jayyoke.platform.table import Row
from jayyoke.utils.task import cancel_tasks

SERVICE = "engines"
OLD_VERSION = "v1"
NEW_VERSION = "v2"
FIRST_TOKEN_TARGET_S = 0.6
DEADLINE_S = 8.0
WARM_UP_S = 3.0
MEAN_BURST = 3.0
BURST_SPREAD_S = 0.05
EXCHANGE_PERIOD_S = 0.4
SWING_S = 12.0
DOMAINS = 4
WARM_UP_RATE = 23.0
# The time of day at the start of a simulation.
START_UNIX_S = 1_800_000_000.0


class ChatFleet:
    """Runs instances and engines on a loop of virtual time.

    `weights` are the instances' shares of the traffic. `exchange`, if given, is called every
    EXCHANGE_PERIOD_S and exchanges load reports. `policy` names the ordering of engines.
    """

    def __init__(
        self,
        weights: Sequence[float],
        engines: int,
        seed: int,
        kinds: Sequence[ChatKind] = USUAL_KINDS,
        hot_sessions: Sequence[HotSession] = (),
        outages: Sequence[Outage] = (),
        exchange: Callable[[ChatFleet], None] | None = None,
        policy: str = HOME_POLICY,
        canary: Canary | None = None,
        machines: Machines = USUAL_MACHINES,
    ):
        self._loop = VirtualLoop()
        self._start_s = self._loop.time()
        self._weights = weights
        self._kinds = kinds
        self._hot_sessions = hot_sessions
        self._outages = outages
        self._exchange = exchange
        self._policy = policy
        self._canary = canary
        self.source = random.Random(seed)
        self._machines = machines
        self.engines = {f"e{number}": self._build_engine(number, seed) for number in range(engines)}
        self._revision = 1
        count = len(weights)
        self.placers = [self._build_placer(number, count) for number in range(count)]
        self.arrivals: list[Arrival] = []
        self.refused = 0
        self._waits_s: list[float] = []
        # Kind of chat and seconds from its arrival to its first token.
        self.first_tokens: list[tuple[str, float]] = []

    @property
    def now_s(self) -> float:
        """Return the virtual time in seconds."""
        return self._loop.time()

    @property
    def mean_wait_s(self) -> float:
        """Return the average seconds from a request's arrival to its assignment."""
        return sum(self._waits_s) / max(1, len(self._waits_s))

    def run(self, length_s: float) -> list[Arrival]:
        """Simulate some seconds; return the requests that reached an engine."""
        try:
            self._loop.run_until_complete(self._run(length_s))
        finally:
            self._loop.close()
        return self.arrivals

    async def _run(self, length_s: float) -> None:
        tasks = [asyncio.ensure_future(self._send_bursts(kind)) for kind in self._kinds]
        tasks += [asyncio.ensure_future(self._run_outage(outage)) for outage in self._outages]
        if self._exchange is not None:
            tasks.append(asyncio.ensure_future(self._exchange_periodically(self._exchange)))
        await asyncio.sleep(length_s)
        await cancel_tasks(
            [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        )

    async def _exchange_periodically(self, exchange: Callable[[ChatFleet], None]) -> None:
        while True:
            await asyncio.sleep(EXCHANGE_PERIOD_S)
            exchange(self)

    def _find_weights(self) -> Sequence[float]:
        """Return the instances' shares of the traffic now."""
        if not self._machines.swing:
            return self._weights
        found = []
        for number, weight in enumerate(self._weights):
            phase = 2 * math.pi * (self.now_s / SWING_S + number % DOMAINS / DOMAINS)
            found.append(weight * (1.0 + self._machines.swing * math.sin(phase)))
        return found

    async def _send_bursts(self, kind: ChatKind) -> None:
        """Send requests in bursts, as groups of callers do."""
        sent: set[asyncio.Task[None]] = set()
        while True:
            await asyncio.sleep(self.source.expovariate(kind.rate / MEAN_BURST))
            for _ in range(1 + round(self.source.expovariate(1 / (MEAN_BURST - 1)))):
                task = asyncio.ensure_future(self._send(kind))
                sent.add(task)
                task.add_done_callback(sent.discard)

    async def _send(self, kind: ChatKind) -> None:
        await asyncio.sleep(self.source.uniform(0.0, BURST_SPREAD_S))
        number = self.source.choices(range(len(self._weights)), self._find_weights())[0]
        placer = self.placers[number]
        call = self._build_call(kind)
        self._give_figures(placer)
        assignment = await placer.assign(call, SERVICE, set(), False)
        self._waits_s.append(self.now_s - call.arrived_s)
        if not isinstance(assignment, Assignment):
            self.refused += 1
            return
        upstream = assignment.upstream
        engine = self.engines[upstream.name]
        self._record_arrival(number, placer, engine, upstream)
        sent_s = self.now_s
        first_s = engine.start_request(call.head.parts, sent_s)
        await asyncio.sleep(first_s - sent_s)
        engine.streaming += 1
        self.first_tokens.append((kind.name, self.now_s - call.arrived_s))
        report = LoadReport(
            engine.streaming, 0, self._machines.slots, self._read_figure(engine, self.now_s)
        )
        placer.record_answer_head(
            upstream, AnswerHead("r", True, False, report, None, None, False, False)
        )
        answer_s = kind.answer_s * self.source.uniform(0.3, 1.9)
        await asyncio.sleep(engine.plan.find_end_s(first_s, answer_s) - first_s)
        engine.requests -= 1
        engine.streaming -= 1
        placer.release(SERVICE, upstream, True, self.now_s - sent_s)
        placer.record_outcome(call, SERVICE, upstream, Delivered(200), first_s - sent_s)

    def _build_engine(self, number: int, seed: int) -> Engine:
        machines = self._machines
        speed = machines.speeds[number % len(machines.speeds)]
        return Engine(
            f"e{number}",
            plan=SpeedPlan(
                random.Random(f"{seed}-{number}"), machines.spells, speed, self._start_s
            ),
            first_token_s=machines.first_token_s,
            tokens_per_s=machines.tokens_per_s,
        )

    def _read_figure(self, engine: Engine, at_s: float) -> float | None:
        figures = self._machines.figures
        if figures is None:
            return None
        return figures.read(int(engine.name[1:]), engine.plan, at_s) or None

    def _give_figures(self, placer: Placer) -> None:
        """Give an instance the figures of all engines, if it does not get them with answers."""
        figures = self._machines.figures
        if figures is None or figures.age_s is None:
            return
        at_s = self.now_s - figures.age_s
        for upstream in placer.view.upstreams.values():
            slowness = self._read_figure(self.engines[upstream.name], at_s)
            if slowness is not None:
                placer.tracker.get(upstream.incarnation).figures.record(slowness, at_s)

    def _record_arrival(
        self, number: int, placer: Placer, engine: Engine, upstream: Upstream
    ) -> None:
        track = placer.tracker.get(upstream.incarnation)
        live = [found for found in self.engines.values() if found.up]
        self.arrivals.append(
            Arrival(
                at_s=self.now_s - self._start_s,
                instance=number,
                engine=engine.name,
                requests=engine.requests,
                mean_requests=sum(found.requests for found in live) / len(live),
                # The estimate already includes this request.
                estimated_requests=placer.estimate_load(SERVICE, upstream) - 1,
                report_age_s=track.find_load_age_s(self.now_s),
            )
        )

    async def _run_outage(self, outage: Outage) -> None:
        await asyncio.sleep(outage.begins_s)
        for name in list(self.engines)[: outage.engines]:
            self.engines[name] = Engine(name, up=False, plan=self.engines[name].plan)
            self._publish_entry(name)
        await asyncio.sleep(outage.ends_s - outage.begins_s)
        for name in list(self.engines)[: outage.engines]:
            plan = self.engines[name].plan
            self.engines[name] = Engine(name, started_s=self.now_s, plan=plan)
            self._publish_entry(name)

    def _build_call(self, kind: ChatKind) -> Call:
        session = int(kind.sessions * self.source.random() ** 1.3)
        for hot in self._hot_sessions:
            if hot.kind != kind.name or not hot.begins_s <= self.now_s - self._start_s < hot.ends_s:
                continue
            if self.source.random() < hot.share:
                session = 0
        number = len(self.arrivals)
        parts = (
            PromptPart(f"{kind.name}-{session}", kind.shared_tokens),
            PromptPart(f"own-{number}", kind.own_tokens),
        )
        head = RequestHead(f"r{number}", DEADLINE_S, "", parts, kind.shared_tokens, 100, None)
        route = Route(
            kind.name,
            "h",
            "/",
            RouteKind.STREAM,
            (ServiceShare(SERVICE, 1.0),),
            DEADLINE_S,
            FIRST_TOKEN_TARGET_S,
            prefix_affinity=True,
        )
        deadline_s = self.now_s + DEADLINE_S
        return Call(head, "POST", b"/", (), b"", route, "team", 1, self.now_s, deadline_s, 1)

    def _publish_entry(self, name: str) -> None:
        """Give every instance an engine's entry, or remove it."""
        self._revision += 1
        engine = self.engines[name]
        row = self._build_row(engine)
        for placer in self.placers:
            placer.view.merge(
                names.UPSTREAM_TABLE,
                [row] if engine.up else [],
                [] if engine.up else [row],
                self._revision,
                whole=False,
                confirmed_s=self.now_s,
                source="play",
            )
            placer.forget_missing()

    def _build_row(self, engine: Engine) -> Row:
        number = int(engine.name[1:])
        age_s = self.now_s - engine.started_s
        entry = {
            "backend": SERVICE,
            "address": f"127.0.0.1:{9000 + number}",
            "az": f"zone-{number % 3}",
            "state": "ready",
            "slots": self._machines.slots,
            "born": int((START_UNIX_S + engine.started_s) * 1000),
            "version": self._find_version(number),
            "warmupLeftMs": int(1000 * max(0.0, WARM_UP_S - age_s)),
        }
        return Row(engine.name, json.dumps(entry).encode(), self._revision)

    def _find_version(self, number: int) -> str:
        canary_engines = 0 if self._canary is None else self._canary.engines
        return NEW_VERSION if number >= len(self.engines) - canary_engines else OLD_VERSION

    def _add_canary_rows(self, view: FleetView, canary: Canary) -> None:
        """Give an instance the rows of an active move whose share stays constant."""
        key = f"{names.MOVE_PREFIX}{SERVICE}"
        order = {"backend": SERVICE, "to": NEW_VERSION, "durationS": 600.0}
        status = {"state": "active", "to": NEW_VERSION, "order": 1, "share": canary.share}
        row = Row(key, json.dumps(order).encode(), 1)
        view.merge(
            names.OPERATOR_TABLE,
            [row],
            [],
            1,
            whole=False,
            confirmed_s=0.0,
            source="play",
        )
        _put_rows(view, names.STATUS_TABLE, [Row(key, json.dumps(status).encode(), 1)])

    def _build_placer(self, number: int, count: int) -> Placer:
        def read_s() -> float:
            return self.now_s

        view = FleetView(read_s)
        service = {
            "name": SERVICE,
            "warmupS": WARM_UP_S,
            "warmupPerS": WARM_UP_RATE,
            "runtime": {"kvCapacity": 444_000},
        }
        config = {"version": 1, "routes": [], "backends": [service]}
        _put_rows(
            view, names.OPERATOR_TABLE, [Row(names.CONFIG_KEY, json.dumps(config).encode(), 1)]
        )
        _put_rows(
            view, names.UPSTREAM_TABLE, [self._build_row(found) for found in self.engines.values()]
        )
        if self._canary is not None:
            self._add_canary_rows(view, self._canary)
        own_name = f"i{number}"
        moves = MoveParticipant(view, None, StoreClock(read_s), own_name, lambda: 1, Bounds())  # type: ignore[arg-type]
        instances = [f"i{other}" for other in range(count)]
        source = random.Random(f"{self.source.random()}")
        return Placer(
            view,
            moves,
            Bounds(),
            own_name,
            read_s,
            source,
            lambda: instances,
            find_ordering(self._policy),
            read_unix_s=lambda: START_UNIX_S + self.now_s,
        )


def _put_rows(view: FleetView, table: str, rows: Sequence[Row]) -> None:
    view.merge(table, rows, [], 1, whole=True, confirmed_s=0.0, source="play")
