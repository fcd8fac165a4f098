"""Small fakes at the interfaces of placement, on a virtual clock."""

from __future__ import annotations

import heapq
import itertools
import random
import types
from collections import OrderedDict
from collections.abc import Callable, Generator, Iterator
from dataclasses import dataclass, field
from typing import Any

from reactivex.subject import Subject

from bench._trace import FILL_S, Work
from bench._trace import generate_trace as generate_trace
from jayyoke.core import registry
from jayyoke.core.clock import ManualClock
from jayyoke.core.config import ClassKind, ClassSpec, ServiceSpec, TeamSpec
from jayyoke.core.error import PeerUnavailable, Refusal
from jayyoke.core.member import Member, MemberChange
from jayyoke.core.request import CallerRequest
from jayyoke.core.upstream import Upstream, UpstreamState
from jayyoke.ops.dispatch import Dispatch
from jayyoke.ops.loads import Loads
from jayyoke.ops.placement import Placement
from jayyoke.ops.policy import Policy
from jayyoke.wire.frame import HEADER_BYTES, MIN_FRAME_BYTES, encode
from jayyoke.wire.gen.ttypes import Digest

FILL_DIGEST_S = 0.06  # Digests follow the steep rise of the mean while the trace fills engines.
TEAM = TeamSpec("team", "")
# Neither these policies nor the steward, without admission, read what digests say.
IGNORE_LOADS = ("random", "round-robin", "rendezvous")
POLICIES = ("random", "round-robin", "least-loaded", "rendezvous", "owner")


def measure_message(message: Any) -> int:
    """Return the bytes of a message on the wire, with its frame."""
    return 0 if message is None else HEADER_BYTES + MIN_FRAME_BYTES + len(encode(message))


@types.coroutine
def pause(seconds: float) -> Generator[float, None, None]:
    """Suspend a coroutine that `World` drives."""
    yield seconds


def drive(coroutine: Any) -> Any:
    """Return the result of a coroutine that never suspends."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    raise RuntimeError("a message handler suspended")


class FakePeers:
    """Delivers messages at once by calling the receiver's handler."""

    def __init__(self, hub: dict[str, FakePeers], me: Member):
        self.me = me
        self.changes: Subject[MemberChange] = Subject()
        self.handlers: dict[type, Any] = {}
        self.sent: dict[str, int] = {}
        self.size: Callable[[Any], int] | None = None
        self._hub = hub
        self._members: tuple[Member, ...] = ()
        self._domains: frozenset[str] = frozenset()
        hub[me.name] = self

    def members(self) -> tuple[Member, ...]:
        """Return all members."""
        if len(self._members) != len(self._hub):
            self._members = tuple(self._hub[name].me for name in sorted(self._hub))
            self._domains = frozenset(member.domain for member in self._members)
        return self._members

    def reachable_domains(self) -> frozenset[str]:
        """Return the domains of all members."""
        self.members()
        return self._domains

    async def ask(self, instance: str, message: Any, timeout_s: float) -> Any:
        """Return the handler's answer."""
        peer = self._hub.get(instance)
        if peer is None:
            raise PeerUnavailable(instance)
        answer = await peer.handlers[type(message)](self.me, message)
        self._count(instance, message)
        peer._count(self.me.name, answer)
        return answer

    def tell(self, instance: str, message: Any) -> None:
        """Run the handler at once."""
        peer = self._hub.get(instance)
        if peer is not None:
            self._count(instance, message)
            drive(peer.handlers[type(message)](self.me, message))

    def serve(self, message_type: type, handler: Any) -> None:
        """Register a handler."""
        self.handlers[message_type] = handler

    def _count(self, instance: str, message: Any) -> None:
        if self.size is not None and instance != self.me.name:
            name = type(message).__name__
            self.sent[name] = self.sent.get(name, 0) + self.size(message)


@dataclass(slots=True)
class Engine:
    """Holds what an engine really runs and caches."""

    upstream: Upstream
    incarnation: int
    cache_limit: int
    up: bool = True
    requests: int = 0
    work_tokens: int = 0
    cached_tokens: int = 0
    cache: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def use_cache(self, chat: str, prompt: int, output: int) -> int:
        """Return the prompt tokens found, and cache the whole chat; the oldest are evicted."""
        held = self.cache.pop(chat, 0)
        self.cached_tokens += prompt + output - held
        self.cache[chat] = prompt + output
        while self.cached_tokens > self.cache_limit:
            self.cached_tokens -= self.cache.popitem(last=False)[1]
        return min(held, prompt)

    def restart(self) -> None:
        """Lose the cache and change the incarnation."""
        self.incarnation += 1
        self.cached_tokens = 0
        self.cache.clear()


class FakeDirectory:
    """Holds what one instance knows of the upstreams."""

    def __init__(self, service: ServiceSpec):
        self._service = service
        self._known: dict[str, Upstream] = {}
        self._live: tuple[Upstream, ...] = ()

    def put(self, upstream: Upstream) -> None:
        """Learn of an upstream or of its new state."""
        self._known[upstream.name] = upstream
        found = [u for u in self._known.values() if u.state is UpstreamState.LIVE]
        self._live = tuple(sorted(found, key=lambda u: u.name))

    def candidates(self, service: str) -> tuple[Upstream, ...]:
        """Return the live upstreams."""
        return self._live

    def find(self, name: str) -> Upstream | None:
        """Return an upstream."""
        return self._known.get(name)

    def find_service(self, name: str) -> ServiceSpec | None:
        """Return the only service."""
        return self._service

    def avoid(self, name: str) -> None:
        """Do nothing; exclusions are passed with each request."""


class World:
    """Runs a trace against real placement of many instances."""

    def __init__(
        self,
        policy: str | Policy,
        nodes: int,
        engines: int,
        service: ServiceSpec,
        seed: int,
        digest_s: float = 1.0,
        cache_limit: int = 1 << 60,
        warm: bool = True,
        early: bool = True,
        domains: int = 1,
    ):
        registry.load_plugins()
        self.random = random.Random(seed)
        self.clock = ManualClock(1000.0)
        self.service = service
        self.spec = ClassSpec("chat", ClassKind.CHAT, service.name, 60.0)
        self.engines: dict[str, Engine] = {}
        self.hub: dict[str, FakePeers] = {}
        self.nodes: list[Dispatch] = []
        self.directories: list[FakeDirectory] = []
        self.out: list[frozenset[str]] = [frozenset()] * nodes
        self.found = self.prompts = self.refused = self.displaced = self.placed = 0
        self.on_start: Callable[[Engine, Work], None] = lambda engine, work: None
        self.chat = ""
        self.work_tokens = 0
        self._ignores_loads = policy in IGNORE_LOADS
        self._cache_limit = cache_limit
        self._warm = warm
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        chosen = registry.find_plugin("policy", policy)() if isinstance(policy, str) else policy
        for index in range(nodes):
            self._add_node(index, chosen, domains, seed, early)
        for index in range(engines):
            self.add_engine(f"engine-{index:03d}", f"d{index % domains}")
        for index in range(nodes):
            self._every(digest_s, lambda index=index: self.send_digest(index), index / nodes)
            self._every(0.1, self.nodes[index].placer.send_releases, index / nodes)
            self._every(0.5, self.nodes[index].steward.sweep, index / nodes)
        for index in range(nodes):
            self.send_digest(index)

    def fill(self) -> None:
        """Send frequent digests while the trace's initial requests arrive."""
        for step in range(int(FILL_S / FILL_DIGEST_S) + 2):
            for index in range(len(self.nodes)):
                self.at(step * FILL_DIGEST_S, lambda index=index: self.send_digest(index))

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Run an action at a time since the start."""
        heapq.heappush(self._heap, (1000.0 + at_s, next(self._order), action))

    def now_s(self) -> float:
        """Return the time since the start."""
        return self.clock.now_s() - 1000.0

    def run(self, until_s: float, trace: Iterator[Work]) -> None:
        """Run the trace and all scheduled actions up to a time."""
        self._next(trace)
        while self._heap and self._heap[0][0] <= 1000.0 + until_s:
            at_s, _, action = heapq.heappop(self._heap)
            self.clock.advance(max(0.0, at_s - self.clock.now_s()))
            action()

    def add_engine(self, name: str, domain: str, lag_s: float | None = None) -> Engine:
        """Start an engine; `lag_s` is the most that an instance learns of it later."""
        upstream = Upstream(name, self.service.name, domain, name)
        engine = Engine(upstream, self.random.getrandbits(40), self._cache_limit)
        self.engines[name] = engine
        self.announce(upstream, lag_s)
        if self._warm and lag_s is None:
            for node in self.nodes:
                node.steward.confirm(name, engine.incarnation, warm=True)
        return engine

    def announce(self, upstream: Upstream, lag_s: float | None) -> None:
        """Let every instance learn of an upstream, each after a lag of its own."""
        for directory in self.directories:
            if lag_s is None:
                directory.put(upstream)
                continue
            delay_s = self.random.uniform(0, lag_s)
            self.at(self.now_s() + delay_s, lambda d=directory: d.put(upstream))

    def build_digest(self, index: int, only: str | None) -> Digest:
        """Return one instance's next digest."""
        digest = Digest()
        self.nodes[index].fill_loads(digest, only)
        return digest

    def send_digest(self, index: int, only: str | None = None) -> None:
        """Send one instance's digest to all others."""
        if self._ignores_loads:
            return
        me = self.hub[f"node-{index:02d}"].me
        digest = self.build_digest(index, only)
        if not digest.names and not digest.loads and not digest.changes:
            return
        for other, node in enumerate(self.nodes):
            if other != index:
                node.accept_loads(me, digest)

    def start(self, work: Work, index: int, exclude: tuple[str, ...] = ()) -> None:
        """Place one request at an instance."""
        self.chat = work.chat
        self.work_tokens = work.prompt + work.output
        now_s = self.clock.now_s()
        request = CallerRequest(
            request_id=work.chat,
            team=TEAM,
            class_spec=self.spec,
            service=self.service,
            arrival_s=now_s,
            deadline_s=now_s + 60.0,
            chat=work.chat,
            prompt_tokens=work.prompt,
            output_tokens=work.output,
        )
        self._step(self.nodes[index].placer.place(request, exclude), request, work, index, exclude)

    def _step(
        self, coroutine: Any, request: CallerRequest, work: Work, index: int, exclude: Any
    ) -> None:
        try:
            delay_s = coroutine.send(None)
        except StopIteration as stop:
            self._begin(stop.value, request, work, index, exclude)
            return
        except Refusal:
            self.refused += 1
            return
        again = self.now_s() + delay_s
        self.at(again, lambda: self._step(coroutine, request, work, index, exclude))

    def _begin(
        self, placement: Placement, request: CallerRequest, work: Work, index: int, exclude: Any
    ) -> None:
        placer = self.nodes[index].placer
        engine = self.engines[placement.upstream.name]
        if not engine.up:
            placer.release(request, placement)
            placer.report_engine(engine.upstream.name, failed=True)
            if len(exclude) < 8:
                self.start(work, index, (*exclude, engine.upstream.name))
            return
        self.placed += 1
        self.displaced += bool(placement.passed_over)
        incarnation = engine.incarnation
        self.on_start(engine, work)
        engine.requests += 1
        engine.work_tokens += request.work_tokens
        self.prompts += work.prompt
        self.found += engine.use_cache(work.chat, work.prompt, work.output)
        placer.report_engine(engine.upstream.name, incarnation)

        def finish() -> None:
            if engine.incarnation == incarnation:
                engine.requests -= 1
                engine.work_tokens -= request.work_tokens
            placer.release(request, placement)

        self.at(self.now_s() + work.run_s, finish)

    def restart(self, name: str) -> None:
        """Restart an engine without notice; its requests are lost."""
        engine = self.engines[name]
        engine.restart()
        engine.requests = engine.work_tokens = 0

    def _add_node(self, index: int, policy: Policy, domains: int, seed: int, early: bool) -> None:
        me = Member(f"node-{index:02d}", f"d{index % domains}", 1, "")
        peers = FakePeers(self.hub, me)
        directory = FakeDirectory(self.service)
        node = Dispatch(
            self.clock,
            peers,
            Loads(self.clock),
            directory,
            policy,
            lambda: self.out[index],
            pause,
            seed + index,
        )
        self.nodes.append(node)
        self.directories.append(directory)
        node.steward.probes.subscribe(lambda name: self._probe(index, name))
        if early:
            node.notices.subscribe(lambda name: self._send_early(index, name))

    def _send_early(self, index: int, name: str) -> None:
        self.at(self.now_s() + 0.001, lambda: self.send_digest(index, name))

    def _probe(self, index: int, name: str) -> None:
        engine = self.engines[name]

        def answer() -> None:
            if engine.up:
                self.nodes[index].steward.confirm(name, engine.incarnation)

        self.at(self.now_s() + 0.002, answer)

    def _every(self, interval_s: float, action: Callable[[], Any], offset: float) -> None:
        def again() -> None:
            action()
            self.at(self.now_s() + interval_s, again)

        self.at(interval_s * offset, again)

    def _next(self, trace: Iterator[Work]) -> None:
        work = next(trace, None)
        if work is None:
            return

        def arrive() -> None:
            self.start(work, self.random.randrange(len(self.nodes)))
            self._next(trace)

        self.at(work.at_s, arrive)
