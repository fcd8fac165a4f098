"""Simulation of placement by many instances, with fake engines, peers and directories."""

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

from bench._trace import FILL_S, TraceRequest
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

FILL_DIGEST_INTERVAL_S = 0.06  # The mean load rises steeply while the trace fills the engines.
TEAM = TeamSpec("team", "")
# Neither these policies nor the steward, which admits everything for them, use loads of digests.
POLICIES_WITHOUT_LOADS = ("random", "round-robin", "rendezvous")
POLICIES = ("random", "round-robin", "least-loaded", "rendezvous", "owner")


def measure_message(message: Any) -> int:
    """Return the bytes of a message on the wire, with its frame."""
    return 0 if message is None else HEADER_BYTES + MIN_FRAME_BYTES + len(encode(message))


@types.coroutine
def pause(seconds: float) -> Generator[float, None, None]:
    """Suspend a coroutine that `FleetSimulation` drives."""
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
    """Holds the requests, work and cache of a simulated engine."""

    upstream: Upstream
    incarnation: int
    cache_limit: int
    up: bool = True
    requests: int = 0
    work_tokens: int = 0
    cached_tokens: int = 0
    cache: OrderedDict[str, int] = field(default_factory=OrderedDict)

    def use_cache(self, chat: str, prompt: int, output: int) -> int:
        """Cache a chat, evicting the oldest; return the tokens of its prompt found in the cache."""
        chat_tokens = self.cache.pop(chat, 0)
        self.cached_tokens += prompt + output - chat_tokens
        self.cache[chat] = prompt + output
        while self.cached_tokens > self.cache_limit:
            self.cached_tokens -= self.cache.popitem(last=False)[1]
        return min(chat_tokens, prompt)

    def restart(self) -> None:
        """Clear the cache and change the incarnation."""
        self.incarnation += 1
        self.cached_tokens = 0
        self.cache.clear()


class FakeDirectory:
    """Holds the upstreams that one instance knows."""

    def __init__(self, service: ServiceSpec):
        self._service = service
        self._known: dict[str, Upstream] = {}
        self._live: tuple[Upstream, ...] = ()

    def put(self, upstream: Upstream) -> None:
        """Add an upstream or replace its state."""
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


class FleetSimulation:
    """Runs a trace against the real placement of many instances, in virtual time."""

    def __init__(
        self,
        policy: str | Policy,
        nodes: int,
        engines: int,
        service: ServiceSpec,
        seed: int,
        digest_interval_s: float = 1.0,
        cache_limit: int = 1 << 60,
        warm: bool = True,
        early_notices: bool = True,
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
        self.domains_out: list[frozenset[str]] = [frozenset()] * nodes
        self.found_tokens = self.prompt_tokens = self.refused = self.displaced = self.placed = 0
        self.on_start: Callable[[Engine, TraceRequest], None] = lambda engine, traced: None
        self.chat = ""
        self.work_tokens = 0
        self._ignores_loads = policy in POLICIES_WITHOUT_LOADS
        self._cache_limit = cache_limit
        self._warm = warm
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = itertools.count()
        resolved_policy = (
            registry.find_plugin("policy", policy)() if isinstance(policy, str) else policy
        )
        for index in range(nodes):
            self._add_node(index, resolved_policy, domains, seed, early_notices)
        for index in range(engines):
            self.add_engine(f"engine-{index:03d}", f"d{index % domains}")
        for index in range(nodes):
            self._repeat_every(
                digest_interval_s, lambda index=index: self.send_digest(index), index / nodes
            )
            self._repeat_every(0.1, self.nodes[index].placer.send_releases, index / nodes)
            self._repeat_every(0.5, self.nodes[index].steward.sweep, index / nodes)
        for index in range(nodes):
            self.send_digest(index)

    def schedule_fill_digests(self) -> None:
        """Send frequent digests while the trace's initial requests arrive."""
        for step in range(int(FILL_S / FILL_DIGEST_INTERVAL_S) + 2):
            for index in range(len(self.nodes)):
                self.at(step * FILL_DIGEST_INTERVAL_S, lambda index=index: self.send_digest(index))

    def at(self, at_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time since the start."""
        heapq.heappush(self._events, (1000.0 + at_s, next(self._sequence), action))

    def now_s(self) -> float:
        """Return the time since the start."""
        return self.clock.now_s() - 1000.0

    def run(self, until_s: float, trace: Iterator[TraceRequest]) -> None:
        """Run the trace and all scheduled actions up to a time."""
        self._schedule_next(trace)
        while self._events and self._events[0][0] <= 1000.0 + until_s:
            at_s, _, action = heapq.heappop(self._events)
            self.clock.advance(max(0.0, at_s - self.clock.now_s()))
            action()

    def add_engine(self, name: str, domain: str, lag_s: float | None = None) -> Engine:
        """Start an engine; each instance learns of it up to `lag_s` seconds later."""
        upstream = Upstream(name, self.service.name, domain, name)
        engine = Engine(upstream, self.random.getrandbits(40), self._cache_limit)
        self.engines[name] = engine
        self.announce(upstream, lag_s)
        if self._warm and lag_s is None:
            for node in self.nodes:
                node.steward.confirm(name, engine.incarnation, warm=True)
        return engine

    def announce(self, upstream: Upstream, lag_s: float | None) -> None:
        """Add an upstream at every instance, each after a random delay of up to `lag_s`."""
        for directory in self.directories:
            if lag_s is None:
                directory.put(upstream)
                continue
            delay_s = self.random.uniform(0, lag_s)
            self.at(self.now_s() + delay_s, lambda d=directory: d.put(upstream))

    def build_digest(self, index: int, only: str | None) -> Digest:
        """Return the next digest of an instance, or one of the engine `only`."""
        digest = Digest()
        self.nodes[index].fill_loads(digest, only)
        return digest

    def send_digest(self, index: int, only: str | None = None) -> None:
        """Send the digest of an instance to all others."""
        if self._ignores_loads:
            return
        me = self.hub[f"node-{index:02d}"].me
        digest = self.build_digest(index, only)
        if not digest.names and not digest.loads and not digest.changes:
            return
        for other, node in enumerate(self.nodes):
            if other != index:
                node.accept_loads(me, digest)

    def place(self, traced: TraceRequest, index: int, exclude: tuple[str, ...] = ()) -> None:
        """Place one request through an instance."""
        self.chat = traced.chat
        self.work_tokens = traced.prompt_tokens + traced.output_tokens
        now_s = self.clock.now_s()
        request = CallerRequest(
            request_id=traced.chat,
            team=TEAM,
            class_spec=self.spec,
            service=self.service,
            arrival_s=now_s,
            deadline_s=now_s + 60.0,
            chat=traced.chat,
            prompt_tokens=traced.prompt_tokens,
            output_tokens=traced.output_tokens,
        )
        self._resume_placement(
            self.nodes[index].placer.place(request, exclude), request, traced, index, exclude
        )

    def _resume_placement(
        self, coroutine: Any, request: CallerRequest, traced: TraceRequest, index: int, exclude: Any
    ) -> None:
        try:
            delay_s = coroutine.send(None)
        except StopIteration as stop:
            self._start_request(stop.value, request, traced, index, exclude)
            return
        except Refusal:
            self.refused += 1
            return
        resume_s = self.now_s() + delay_s
        self.at(
            resume_s, lambda: self._resume_placement(coroutine, request, traced, index, exclude)
        )

    def _start_request(
        self,
        placement: Placement,
        request: CallerRequest,
        traced: TraceRequest,
        index: int,
        exclude: Any,
    ) -> None:
        placer = self.nodes[index].placer
        engine = self.engines[placement.upstream.name]
        if not engine.up:
            placer.release(request, placement)
            placer.report_engine(engine.upstream.name, failed=True)
            if len(exclude) < 8:
                self.place(traced, index, (*exclude, engine.upstream.name))
            return
        self.placed += 1
        self.displaced += bool(placement.passed_over)
        incarnation = engine.incarnation
        self.on_start(engine, traced)
        engine.requests += 1
        engine.work_tokens += request.work_tokens
        self.prompt_tokens += traced.prompt_tokens
        self.found_tokens += engine.use_cache(
            traced.chat, traced.prompt_tokens, traced.output_tokens
        )
        placer.report_engine(engine.upstream.name, incarnation)

        def finish() -> None:
            if engine.incarnation == incarnation:
                engine.requests -= 1
                engine.work_tokens -= request.work_tokens
            placer.release(request, placement)

        self.at(self.now_s() + traced.run_s, finish)

    def restart(self, name: str) -> None:
        """Restart an engine that announces nothing; its requests are lost."""
        engine = self.engines[name]
        engine.restart()
        engine.requests = engine.work_tokens = 0

    def _add_node(
        self, index: int, policy: Policy, domains: int, seed: int, early_notices: bool
    ) -> None:
        me = Member(f"node-{index:02d}", f"d{index % domains}", 1, "")
        peers = FakePeers(self.hub, me)
        directory = FakeDirectory(self.service)
        node = Dispatch(
            self.clock,
            peers,
            Loads(self.clock),
            directory,
            policy,
            lambda: self.domains_out[index],
            pause,
            seed + index,
        )
        self.nodes.append(node)
        self.directories.append(directory)
        node.steward.probes.subscribe(lambda name: self._probe(index, name))
        if early_notices:
            node.notices.subscribe(lambda name: self._send_early_notice(index, name))

    def _send_early_notice(self, index: int, name: str) -> None:
        self.at(self.now_s() + 0.001, lambda: self.send_digest(index, name))

    def _probe(self, index: int, name: str) -> None:
        engine = self.engines[name]

        def answer() -> None:
            if engine.up:
                self.nodes[index].steward.confirm(name, engine.incarnation)

        self.at(self.now_s() + 0.002, answer)

    def _repeat_every(self, interval_s: float, action: Callable[[], Any], offset: float) -> None:
        def repeat() -> None:
            action()
            self.at(self.now_s() + interval_s, repeat)

        self.at(interval_s * offset, repeat)

    def _schedule_next(self, trace: Iterator[TraceRequest]) -> None:
        traced = next(trace, None)
        if traced is None:
            return

        def arrive() -> None:
            self.place(traced, self.random.randrange(len(self.nodes)))
            self._schedule_next(trace)

        self.at(traced.at_s, arrive)
