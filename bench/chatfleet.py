"""Plays instances before model engines in virtual time, and tells how near the load bound comes.

Load it answers: the users bound the requests at an engine by a multiple of the mean over its
service. Each instance chooses by its own belief, so only all of them together show what a choice
leads to. The engines behave like the users': an answer's report leaves out prompts that are still
being read.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

from bench.memory import VirtualLoop
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
OBJECTIVE_S = 0.6
DEADLINE_S = 8.0
FIRST_TOKEN_S = 0.055
READ_TOKENS_PER_S = 140_000.0
SLOTS = 64
# The users' bound on an engine: this many requests beyond the multiple of the mean.
BOUND_SLACK = 3.0
COLD_S = 3.0
MEAN_CLUMP = 3.0
CLUMP_S = 0.05
EXCHANGE_PERIOD_S = 0.4
COLD_RATE = 23.0
LONG_AGO_S = 1000.0
# The time of day at the start of a play.
UNIX_S = 1_800_000_000.0
WINDOW_S = 5.0
WINDOW_STEP_S = 0.5
# Requests of a window below which the users do not apply the bound.
LEAST_REQUESTS = 20


@dataclass(frozen=True, slots=True)
class ChatKind:
    """Describes a kind of chats: requests a second, prompt tokens, seconds after the first token.

    `sessions` is how many chats of the kind there are at a time.
    """

    name: str
    rate: float
    shared_tokens: int
    own_tokens: int
    answer_s: float
    sessions: int


# As at the users' smaller deployments at a busy hour.
USUAL_KINDS = (
    ChatKind("long", 9.0, 10_500, 1300, 0.85, 20),
    ChatKind("middle", 33.8, 700, 130, 0.63, 172),
    ChatKind("short", 24.4, 2040, 360, 0.05, 124),
)


@dataclass(frozen=True, slots=True)
class HotSession:
    """Makes a share of a kind's requests belong to one session for a while."""

    kind: str
    share: float
    begins_s: float
    ends_s: float


@dataclass(frozen=True, slots=True)
class Outage:
    """Takes the first engines away for a while; they come back cold."""

    engines: int
    begins_s: float
    ends_s: float


@dataclass(frozen=True, slots=True)
class Trial:
    """Makes the last engines those of another version, which gets a share of the requests."""

    engines: int
    share: float


@dataclass(frozen=True, slots=True)
class Arrival:
    """Holds what an instance believed when it sent a request, and what was so."""

    at_s: float
    instance: int
    engine: str
    held: int
    mean: float
    believed: float
    age_s: float | None

    def exceeds(self, factor: float) -> bool:
        """Tell whether the engine holds more than the users' bound, this request included."""
        return self.held + 1 > factor * self.mean + BOUND_SLACK


@dataclass(slots=True)
class Engine:
    """Holds an engine's requests: all of them, and those that have brought their first token."""

    name: str
    held: int = 0
    answering: int = 0
    reads_until_s: float = 0.0
    known: set[str] = field(default_factory=set)
    up: bool = True
    started_s: float = -LONG_AGO_S

    def begin(self, parts: Sequence[PromptPart], now_s: float) -> float:
        """Take a request; return when its first token comes."""
        tokens = 0
        for part in parts:
            if part.id not in self.known:
                tokens += part.tokens
                self.known.add(part.id)
        self.held += 1
        self.reads_until_s = max(now_s, self.reads_until_s) + tokens / READ_TOKENS_PER_S
        return self.reads_until_s + FIRST_TOKEN_S


class ChatFleet:
    """Runs instances and engines on a loop of virtual time.

    `weights` are the instances' parts of the traffic. `exchange`, if given, lets the instances
    tell each other what they heard, every `EXCHANGE_PERIOD_S`. `policy` is the order of engines.
    """

    def __init__(
        self,
        weights: Sequence[float],
        engines: int,
        seed: int,
        kinds: Sequence[ChatKind] = USUAL_KINDS,
        hot: Sequence[HotSession] = (),
        outages: Sequence[Outage] = (),
        exchange: Callable[[ChatFleet], None] | None = None,
        policy: str = HOME_POLICY,
        trial: Trial | None = None,
    ):
        self._loop = VirtualLoop()
        self._began_s = self._loop.time()
        self._weights = weights
        self._kinds = kinds
        self._hot = hot
        self._outages = outages
        self._exchange = exchange
        self._policy = policy
        self._trial = trial
        self.source = random.Random(seed)
        self.engines = {f"e{number}": Engine(f"e{number}") for number in range(engines)}
        self._revision = 1
        count = len(weights)
        self.placements = [self._build_placement(number, count) for number in range(count)]
        self.arrivals: list[Arrival] = []
        self.refused = 0
        self._waited_s: list[float] = []

    @property
    def now_s(self) -> float:
        """Return the virtual time in seconds."""
        return self._loop.time()

    @property
    def mean_wait_s(self) -> float:
        """Return how long a request waited for a place on average."""
        return sum(self._waited_s) / max(1, len(self._waited_s))

    def play(self, length_s: float) -> list[Arrival]:
        """Play some seconds; return the requests that reached an engine."""
        try:
            self._loop.run_until_complete(self._play(length_s))
        finally:
            self._loop.close()
        return self.arrivals

    async def _play(self, length_s: float) -> None:
        tasks = [asyncio.ensure_future(self._arrive(kind)) for kind in self._kinds]
        tasks += [asyncio.ensure_future(self._take_away(outage)) for outage in self._outages]
        if self._exchange is not None:
            tasks.append(asyncio.ensure_future(self._keep_exchanging(self._exchange)))
        await asyncio.sleep(length_s)
        await cancel_tasks(
            [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        )

    async def _keep_exchanging(self, exchange: Callable[[ChatFleet], None]) -> None:
        while True:
            await asyncio.sleep(EXCHANGE_PERIOD_S)
            exchange(self)

    async def _arrive(self, kind: ChatKind) -> None:
        """Send requests in clumps, as groups of callers do."""
        sent: set[asyncio.Task[None]] = set()
        while True:
            await asyncio.sleep(self.source.expovariate(kind.rate / MEAN_CLUMP))
            for _ in range(1 + round(self.source.expovariate(1 / (MEAN_CLUMP - 1)))):
                task = asyncio.ensure_future(self._send(kind))
                sent.add(task)
                task.add_done_callback(sent.discard)

    async def _send(self, kind: ChatKind) -> None:
        await asyncio.sleep(self.source.uniform(0.0, CLUMP_S))
        number = self.source.choices(range(len(self._weights)), self._weights)[0]
        placement = self.placements[number]
        call = self._build_call(kind)
        assignment = await placement.assign(call, SERVICE, set(), False)
        self._waited_s.append(self.now_s - call.arrived_s)
        if not isinstance(assignment, Assignment):
            self.refused += 1
            return
        upstream = assignment.upstream
        engine = self.engines[upstream.name]
        self._note_arrival(number, placement, engine, upstream)
        sent_s = self.now_s
        first_s = engine.begin(call.head.parts, sent_s)
        await asyncio.sleep(first_s - sent_s)
        engine.answering += 1
        report = LoadReport(engine.answering, 0, SLOTS)
        placement.record_answer_head(
            upstream, AnswerHead("r", True, False, report, None, None, False, False)
        )
        await asyncio.sleep(kind.answer_s * self.source.uniform(0.3, 1.9))
        engine.held -= 1
        engine.answering -= 1
        placement.release(SERVICE, upstream, True, self.now_s - sent_s)
        placement.record_outcome(call, SERVICE, upstream, Delivered(200), first_s - sent_s)

    def _note_arrival(
        self, number: int, placement: Placer, engine: Engine, upstream: Upstream
    ) -> None:
        track = placement.tracker.get(upstream.incarnation)
        live = [found for found in self.engines.values() if found.up]
        self.arrivals.append(
            Arrival(
                at_s=self.now_s - self._began_s,
                instance=number,
                engine=engine.name,
                held=engine.held,
                mean=sum(found.held for found in live) / len(live),
                # The request itself counts in the estimate by now.
                believed=placement.estimate_load(SERVICE, upstream) - 1,
                age_s=track.find_load_age_s(self.now_s),
            )
        )

    async def _take_away(self, outage: Outage) -> None:
        await asyncio.sleep(outage.begins_s)
        for name in list(self.engines)[: outage.engines]:
            self.engines[name] = Engine(name, up=False)
            self._tell(name)
        await asyncio.sleep(outage.ends_s - outage.begins_s)
        for name in list(self.engines)[: outage.engines]:
            self.engines[name] = Engine(name, started_s=self.now_s)
            self._tell(name)

    def _build_call(self, kind: ChatKind) -> Call:
        session = int(kind.sessions * self.source.random() ** 1.3)
        for hot in self._hot:
            if hot.kind != kind.name or not hot.begins_s <= self.now_s - self._began_s < hot.ends_s:
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
            OBJECTIVE_S,
            prefix_affinity=True,
        )
        deadline_s = self.now_s + DEADLINE_S
        return Call(head, "POST", b"/", (), b"", route, "team", 1, self.now_s, deadline_s, 1)

    def _tell(self, name: str) -> None:
        """Let every instance know an engine's entry, or that it has none."""
        self._revision += 1
        engine = self.engines[name]
        row = self._describe(engine)
        for placement in self.placements:
            placement.view.merge(
                names.UPSTREAM_TABLE,
                [row] if engine.up else [],
                [] if engine.up else [row],
                self._revision,
                whole=False,
                confirmed_s=self.now_s,
                source="play",
            )
            placement.forget_missing()

    def _describe(self, engine: Engine) -> Row:
        number = int(engine.name[1:])
        age_s = self.now_s - engine.started_s
        entry = {
            "backend": SERVICE,
            "address": f"127.0.0.1:{9000 + number}",
            "az": f"zone-{number % 3}",
            "state": "ready",
            "slots": SLOTS,
            "born": int((UNIX_S + engine.started_s) * 1000),
            "version": self._find_version(number),
            "warmupLeftMs": int(1000 * max(0.0, COLD_S - age_s)),
        }
        return Row(engine.name, json.dumps(entry).encode(), self._revision)

    def _find_version(self, number: int) -> str:
        on_trial = 0 if self._trial is None else self._trial.engines
        return NEW_VERSION if number >= len(self.engines) - on_trial else OLD_VERSION

    def _give_trial(self, view: FleetView, trial: Trial) -> None:
        """Let an instance know of a version on trial, which stays at its share."""
        key = f"{names.MOVE_PREFIX}{SERVICE}"
        order = {"backend": SERVICE, "to": NEW_VERSION, "durationS": 600.0}
        status = {"state": "active", "to": NEW_VERSION, "order": 1, "share": trial.share}
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
        _give(view, names.STATUS_TABLE, [Row(key, json.dumps(status).encode(), 1)])

    def _build_placement(self, number: int, count: int) -> Placer:
        def read_s() -> float:
            return self.now_s

        view = FleetView(read_s)
        service = {
            "name": SERVICE,
            "warmupS": COLD_S,
            "warmupPerS": COLD_RATE,
            "runtime": {"kvCapacity": 444_000},
        }
        config = {"version": 1, "routes": [], "backends": [service]}
        _give(view, names.OPERATOR_TABLE, [Row(names.CONFIG_KEY, json.dumps(config).encode(), 1)])
        _give(
            view, names.UPSTREAM_TABLE, [self._describe(found) for found in self.engines.values()]
        )
        if self._trial is not None:
            self._give_trial(view, self._trial)
        own = f"i{number}"
        moves = MoveParticipant(view, None, StoreClock(read_s), own, lambda: 1, Bounds())  # type: ignore[arg-type]
        instances = [f"i{other}" for other in range(count)]
        source = random.Random(f"{self.source.random()}")
        return Placer(
            view,
            moves,
            Bounds(),
            own,
            read_s,
            source,
            lambda: instances,
            find_ordering(self._policy),
            read_unix_s=lambda: UNIX_S + self.now_s,
        )


def find_worst_window(
    arrivals: Sequence[Arrival], factor: float, begins_s: float = 0.0
) -> tuple[float, int]:
    """Return the largest share of requests beyond the bound in any window, and their number."""
    worst = (0.0, 0)
    for window in _list_windows(arrivals, begins_s):
        beyond = sum(arrival.exceeds(factor) for arrival in window)
        if len(window) >= LEAST_REQUESTS:
            worst = max(worst, (beyond / len(window), beyond))
    return worst


def _list_windows(arrivals: Sequence[Arrival], begins_s: float) -> Iterator[list[Arrival]]:
    end_s = arrivals[-1].at_s if arrivals else 0.0
    at_s = begins_s
    while at_s + WINDOW_S <= end_s:
        yield [arrival for arrival in arrivals if at_s <= arrival.at_s < at_s + WINDOW_S]
        at_s += WINDOW_STEP_S


def _give(view: FleetView, table: str, rows: Sequence[Row]) -> None:
    view.merge(table, rows, [], 1, whole=True, confirmed_s=0.0, source="play")
