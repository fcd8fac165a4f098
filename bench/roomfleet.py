"""Simulates entry instances, engines and returning callers in virtual time, with too little room.

Engines run as many requests as they have slots; further ones wait in the engine. Callers that are
refused return once, at any instance, if the time named is within a third of what they have left.
"""

from __future__ import annotations

import asyncio
import json
import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from bench.chatfleet import START_UNIX_S
from bench.chatkinds import PREFILL_TOKENS_PER_S
from bench.memory import VirtualLoop
from jayyoke.core.entrysettings import AdmissionSettings, Bounds, ZoneSettings
from jayyoke.core.route import Route, RouteKind, ServiceShare
from jayyoke.edge.call import Call
from jayyoke.edge.demandexchange import decode_demands, encode_demands
from jayyoke.edge.loadexchange import MAX_SHARED_AGE_S
from jayyoke.edge.moves import MoveParticipant
from jayyoke.edge.outcome import Delivered
from jayyoke.edge.placement import Assignment, Placer
from jayyoke.edge.storeclock import StoreClock
from jayyoke.edge.view import FleetView
from jayyoke.platform import names
from jayyoke.platform.message import AnswerHead, LoadReport, PromptPart, RequestHead
from jayyoke.platform.table import Row
from jayyoke.utils.task import cancel_tasks
from jayyoke.zones.preference import Zones

SERVICE = "engines"
DOMAINS = ("a", "b", "c")
FOLLOWERS_PER_DOMAIN = 2
EXCHANGE_PERIOD_S = 0.4
FIRST_TOKEN_S = 0.01
# A caller returns only within this part of its time left.
HONOURED_FRACTION = 1.0 / 3.0
# Sessions of each kind, and parts that an engine has in its cache.
SESSIONS = 60
MAX_CACHED = 120
# Fetching a prompt takes this part of the time to compute it.
FETCH_COST = 0.1
FIRST_PORT = 9000


@dataclass(frozen=True, slots=True)
class Kind:
    """Describes calls of one rank: their rate, prompt, targets and time in a slot, in seconds."""

    rank: int
    rate: float
    shared_tokens: int
    aim_s: float
    deadline_s: float
    service_s: float


# A quarter of the rates that one deployment has; they fill 12 engines with 16 slots.
KINDS = (
    Kind(0, 21.0, 700, 0.27, 10.7, 1.0),
    Kind(1, 37.0, 2100, 0.42, 2.6, 1.6),
    Kind(2, 23.0, 10_500, 1.2, 10.4, 4.6),
)


@dataclass(frozen=True, slots=True)
class Served:
    """Holds what became of a call; `decided_s` is when it was placed or refused, after its start.

    `first_s` is the time to the first token, or None if it was not served. `attempt` counts from 0,
    `final` if the caller does not return.
    """

    at_s: float
    rank: int
    team: str
    domain: str
    placed_in: str
    decided_s: float
    first_s: float | None
    attempt: int
    final: bool
    reason: str = ""
    fetched_from: str = ""


@dataclass(slots=True)
class Engine:
    """Runs requests in slots, first come, first served."""

    name: str
    domain: str
    slots: int
    waiting: int = 0
    streaming: int = 0
    running: int = 0
    prefill_until_s: float = 0.0
    cached: dict[str, None] = field(default_factory=dict)
    slot: asyncio.Semaphore = field(default_factory=lambda: asyncio.Semaphore(1))


class RoomFleet:
    """Runs instances, engines and callers on a loop of virtual time.

    `engines` is how many engines there are, spread evenly, or the domain of each.
    `find_rate` returns the multiple of a kind's rate for a domain at a time, `find_team` draws a
    team. `figures_age_s` delays what instances tell each other, and from
    `silent_from_s` on they tell nothing.
    """

    def __init__(
        self,
        instances: int,
        engines: int | Sequence[str],
        slots: int,
        seed: int,
        kinds: Sequence[Kind] = KINDS,
        admission: AdmissionSettings | None = None,
        zones: ZoneSettings | None = None,
        find_rate: Callable[[Kind, str, float], float] = lambda kind, domain, at_s: 1.0,
        find_team: Callable[[random.Random, float], str] = lambda source, at_s: "team",
        figures_age_s: float = 0.2,
        returning: bool = True,
        silent_from_s: float = math.inf,
    ):
        self._loop = VirtualLoop()
        self._start_s = self._loop.time()
        self._kinds = kinds
        self._admission = admission or AdmissionSettings()
        self._zones = zones
        self._find_rate = find_rate
        self._find_team = find_team
        self._figures_age_s = figures_age_s
        self._returning = returning
        self._silent_from_s = silent_from_s
        self.source = random.Random(seed)
        self._slots = slots
        self.engines: dict[str, Engine] = {}
        if isinstance(engines, int):
            engines = [DOMAINS[number % len(DOMAINS)] for number in range(engines)]
        for number, domain in enumerate(engines):
            name = f"e{number}"
            self.engines[name] = Engine(name, domain, slots, slot=asyncio.Semaphore(slots))
        self.placers = [self._build_placer(number, instances) for number in range(instances)]
        self.served: list[Served] = []
        # When calls arrived at instances, also those that returned.
        self.arrivals: list[tuple[float, int]] = []
        # The part of all slots in use, every 0.1 s.
        self.used: list[tuple[float, float]] = []

    @property
    def now_s(self) -> float:
        """Return the virtual time in seconds."""
        return self._loop.time()

    def run(self, length_s: float) -> list[Served]:
        """Simulate some seconds of arrivals; return what became of the calls that ended."""
        try:
            self._loop.run_until_complete(self._run(length_s))
        finally:
            self._loop.close()
        return self.served

    async def _run(self, length_s: float) -> None:
        tasks = [asyncio.ensure_future(self._exchange()), asyncio.ensure_future(self._measure())]
        for kind in self._kinds:
            for domain in DOMAINS:
                tasks.append(asyncio.ensure_future(self._send_all(kind, domain)))
        await asyncio.sleep(length_s)
        for task in tasks[2:]:
            task.cancel()
        await asyncio.sleep(max(kind.deadline_s for kind in self._kinds))
        await cancel_tasks(
            [task for task in asyncio.all_tasks() if task is not asyncio.current_task()]
        )

    async def _measure(self) -> None:
        total = sum(engine.slots for engine in self.engines.values())
        while True:
            await asyncio.sleep(0.1)
            running = sum(engine.running for engine in self.engines.values())
            self.used.append((self.now_s - self._start_s, running / total))

    async def _exchange(self) -> None:
        """Exchange loads and demand as instances do, over the followers of each domain."""
        loop = asyncio.get_running_loop()
        followers = [
            placer
            for number in range(len(DOMAINS))
            for placer in self.placers[number :: len(DOMAINS)][:FOLLOWERS_PER_DOMAIN]
        ]
        while True:
            await asyncio.sleep(EXCHANGE_PERIOD_S)
            if self.now_s - self._start_s >= self._silent_from_s:
                return
            since_s = self.now_s - MAX_SHARED_AGE_S
            for number in range(len(DOMAINS)):
                members = self.placers[number :: len(DOMAINS)]
                for placer in members[FOLLOWERS_PER_DOMAIN:]:
                    follower = self.source.choice(members[:FOLLOWERS_PER_DOMAIN])
                    loads = placer.load_exchange.list_recent(since_s, own_only=True)
                    follower.load_exchange.merge(loads)
                    placer.load_exchange.merge(follower.load_exchange.list_recent(since_s))
                    self._tell(loop, placer, follower, placer.admitter.exchange.list_own())
                    self._tell(loop, follower, placer, follower.admitter.exchange.list_totals())
            for placer in followers:
                exchange = placer.admitter.exchange
                if exchange.empty:
                    continue
                other = self.source.choice([found for found in followers if found is not placer])
                self._tell(loop, placer, other, exchange.list_sums())
                self._tell(loop, other, placer, other.admitter.exchange.list_sums())

    def _tell(self, loop: asyncio.AbstractEventLoop, sender: Placer, to: Placer, reports) -> None:
        """Send reports over the wire's encoding."""
        heard = encode_demands(reports, self.now_s)
        if heard is not None:
            decoded = decode_demands(heard, self.now_s)
            loop.call_later(self._figures_age_s, to.admitter.exchange.merge, decoded)

    async def _send_all(self, kind: Kind, domain: str) -> None:
        sent: set[asyncio.Task[None]] = set()
        rate = kind.rate / len(DOMAINS)
        while True:
            multiple = self._find_rate(kind, domain, self.now_s - self._start_s)
            await asyncio.sleep(self.source.expovariate(max(1e-3, rate * multiple)))
            task = asyncio.ensure_future(self._call(kind, domain))
            sent.add(task)
            task.add_done_callback(sent.discard)
            task.add_done_callback(self._note_end)

    def _note_end(self, task: asyncio.Task[None]) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._loop.stop()

    async def _call(self, kind: Kind, domain: str) -> None:
        """Send a call, and again on its return if it is refused."""
        began_s = self.now_s
        team = self._find_team(self.source, began_s - self._start_s)
        session = int(SESSIONS * self.source.random() ** 1.3)
        for attempt in range(2):
            retry_s = await self._attempt(kind, domain, team, session, began_s, attempt)
            if retry_s is None:
                return
            await asyncio.sleep(retry_s)

    async def _attempt(
        self, kind: Kind, domain: str, team: str, session: int, began_s: float, attempt: int
    ) -> float | None:
        """Send a call once; return after how many seconds its caller returns, or None."""
        arrived_s = self.now_s
        self.arrivals.append((arrived_s - self._start_s, kind.rank))
        placer = self.source.choice(self.placers[DOMAINS.index(domain) :: len(DOMAINS)])
        call = self._build_call(kind, team, session, began_s + kind.deadline_s)
        found = await placer.assign(call, SERVICE, set(), False)
        at_s = arrived_s - self._start_s
        decided_s = self.now_s - arrived_s
        if not isinstance(found, Assignment):
            left_s = call.deadline_s - self.now_s
            wait_s = min(found.retry_after_s, left_s * HONOURED_FRACTION)
            returns = self._returning and attempt == 0 and wait_s > 0.0
            self.served.append(
                Served(
                    at_s, kind.rank, team, domain, "", decided_s, None, attempt, not returns,
                    found.reason,
                )
            )  # fmt: skip
            return wait_s if returns else None
        first_s, placed_in = await self._run_call(placer, call, kind, found)
        taken_s = first_s - began_s
        in_time = taken_s if first_s <= call.deadline_s else None
        self.served.append(
            Served(
                at_s, kind.rank, team, domain, placed_in, decided_s, in_time, attempt, True,
                fetched_from=self._find_domain(found.fetch_from),
            )
        )  # fmt: skip
        return None

    async def _run_call(
        self, placer: Placer, call: Call, kind: Kind, found: Assignment
    ) -> tuple[float, str]:
        upstream = found.upstream
        engine = self.engines[upstream.name]
        sent_s = self.now_s
        engine.waiting += 1
        async with engine.slot:
            engine.waiting -= 1
            engine.running += 1
            tokens = 0.0
            for part in call.head.parts:
                if part.id not in engine.cached:
                    # Only the shared part is fetched.
                    fetched = found.fetch_from and not part.id.startswith("own-")
                    tokens += part.tokens * (FETCH_COST if fetched else 1.0)
                engine.cached.pop(part.id, None)
                engine.cached[part.id] = None
            while len(engine.cached) > MAX_CACHED:
                del engine.cached[next(iter(engine.cached))]
            work_s = tokens / PREFILL_TOKENS_PER_S
            engine.prefill_until_s = max(self.now_s, engine.prefill_until_s) + work_s
            await asyncio.sleep(engine.prefill_until_s - self.now_s + FIRST_TOKEN_S)
            first_s = self.now_s
            engine.streaming += 1
            report = LoadReport(engine.streaming, engine.waiting, engine.slots)
            head = AnswerHead("r", True, False, report, None, None, False, False)
            placer.record_answer_head(upstream, head)
            await asyncio.sleep(kind.service_s * self.source.uniform(0.5, 1.5))
            engine.streaming -= 1
            engine.running -= 1
        placer.release(SERVICE, upstream, True, self.now_s - sent_s, rank=kind.rank)
        placer.record_outcome(call, SERVICE, upstream, Delivered(200), first_s - sent_s)
        return first_s, engine.domain

    def _find_domain(self, address: str) -> str:
        """Return the domain of the engine at an address, or an empty string."""
        if not address:
            return ""
        return self.engines[f"e{int(address.rpartition(':')[2]) - FIRST_PORT}"].domain

    def _build_call(self, kind: Kind, team: str, session: int, deadline_s: float) -> Call:
        number = len(self.arrivals)
        parts = (
            PromptPart(f"{kind.rank}-{session}", kind.shared_tokens),
            PromptPart(f"own-{number}", 100),
        )
        output = round(100 * kind.service_s)
        head = RequestHead(f"r{number}", 9.0, "", parts, kind.shared_tokens, output, None)
        route = Route(
            f"k{kind.rank}",
            "h",
            "/",
            RouteKind.STREAM,
            (ServiceShare(SERVICE, 1.0),),
            kind.deadline_s,
            kind.aim_s,
            rank=kind.rank,
            prefix_affinity=True,
        )
        return Call(head, "POST", b"/", (), b"", route, team, kind.rank, self.now_s, deadline_s, 1)

    def _build_placer(self, number: int, count: int) -> Placer:
        def read_s() -> float:
            return self.now_s

        view = FleetView(read_s)
        service = {"name": SERVICE, "runtime": {"kvCapacity": 444_000, "kvTokenBytes": 200_000}}
        config = {"version": 1, "routes": [], "backends": [service]}
        rows = []
        for position, engine in enumerate(self.engines.values()):
            entry = {
                "backend": SERVICE,
                "address": f"127.0.0.1:{FIRST_PORT + position}",
                "az": engine.domain,
                "state": "ready",
                "slots": engine.slots,
                "born": int((START_UNIX_S - 1000.0) * 1000),
            }
            rows.append(Row(engine.name, json.dumps(entry).encode(), 1))
        for table, found in (
            (names.OPERATOR_TABLE, [Row(names.CONFIG_KEY, json.dumps(config).encode(), 1)]),
            (names.UPSTREAM_TABLE, rows),
        ):
            view.merge(table, found, [], 1, whole=True, confirmed_s=0.0, source="play")
        own_name = f"i{number}"
        moves = MoveParticipant(view, None, StoreClock(read_s), own_name, lambda: 1, Bounds())  # type: ignore[arg-type]
        instances = [f"i{other}" for other in range(count)]
        return Placer(
            view,
            moves,
            Bounds(),
            own_name,
            read_s,
            random.Random(f"{self.source.random()}"),
            lambda: instances,
            read_unix_s=lambda: START_UNIX_S + self.now_s,
            zones=Zones(DOMAINS[number % len(DOMAINS)], self._zones),
            admission=self._admission,
            domain=DOMAINS[number % len(DOMAINS)],
        )


def find_share(served: Sequence[Served], **values: object) -> float:
    """Return the part of the calls with these values that were served in the end."""
    found = [
        call
        for call in served
        if call.final and all(getattr(call, name) == value for name, value in values.items())
    ]
    return sum(call.first_s is not None for call in found) / max(1, len(found))


def find_credit(served: Sequence[Served], kinds: Sequence[Kind], rank: int) -> float:
    """Return the part of a rank's calls that had their first token within the aim."""
    aim_s = next((kind.aim_s for kind in kinds if kind.rank == rank), math.inf)
    found = [call for call in served if call.final and call.rank == rank]
    return sum(c.first_s is not None and c.first_s <= aim_s for c in found) / max(1, len(found))
