"""Reuse after the loss of one instance: chats whose owner is lost, with and without replay."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bench.fakes import Engine, FleetSimulation, TraceRequest, generate_trace
from bench.result import Result
from jayyoke.core.config import ServiceSpec
from jayyoke.core.member import MemberChange, MemberState
from jayyoke.ops.cacheevents import CacheFollower
from jayyoke.ops.cachelocations import hash_chat
from jayyoke.ops.rendezvous import choose
from jayyoke.ops.replay import Replay

ENGINES = 30
IN_FLIGHT = 8
RUN_S = 6.0
PAUSE_S = 20.0
LOSS_S = 30.0
UNTIL_S = 55.0
PROBE_INTERVAL_S = 2.5
REPLAY_INTERVAL_S = 0.25
ENGINE_LOG_EVENTS = 200  # Engines keep few events, so a new steward cannot read all of them again.
SERVICE = ServiceSpec("pool", "engine", full_work_tokens=1 << 30, warm_up_s=5.0)


class _LossSimulation(FleetSimulation):
    """Ignores digests and requests of the last instance once it is lost."""

    def send_digest(self, index: int, only: str | None = None) -> None:
        """Send one instance's digest unless it is lost."""
        if index < len(self.nodes):
            super().send_digest(index, only)

    def _resume_placement(
        self, coroutine: Any, request: Any, traced: TraceRequest, index: int, exclude: Any
    ) -> None:
        if index < len(self.nodes):
            super()._resume_placement(coroutine, request, traced, index, exclude)


@dataclass(slots=True)
class _Run:
    """Adds the cache events of engines and the loss of the last instance to a simulation."""

    simulation: FleetSimulation
    replays: bool
    loses: bool
    logs: dict[str, list[tuple[int, str, int]]] = field(default_factory=dict)
    followers: list[CacheFollower] = field(default_factory=list)
    replay_parts: list[Replay] = field(default_factory=list)
    lost_chats: set[str] = field(default_factory=set)
    chats: set[str] = field(default_factory=set)
    found_tokens: int = 0
    prompt_tokens: int = 0
    replayed_events: int = 0
    ended_s: float = LOSS_S

    def start(self) -> None:
        """Schedule probes, replays and the loss."""
        names = sorted(self.simulation.hub)
        for name in names:
            peers = self.simulation.hub[name]
            self.replay_parts.append(Replay(peers, self.simulation.clock))
            self.followers.append(CacheFollower(peers, self.replay_parts[-1]))
        for number, engine in enumerate(self.simulation.engines):
            self.logs[engine] = []
            self._repeat_every(
                PROBE_INTERVAL_S, lambda engine=engine: self._probe(engine), number / ENGINES
            )
        if self.replays:
            for number in range(len(names)):
                self._repeat_every(
                    REPLAY_INTERVAL_S,
                    lambda number=number: self._replay(number),
                    number / len(names),
                )
        self.simulation.on_start = self._on_start
        self.simulation.at(LOSS_S, lambda: self._lose(names))

    def _on_start(self, engine: Engine, traced: TraceRequest) -> None:
        log = self.logs[engine.upstream.name]
        log.append((len(log) + 1, traced.chat, traced.prompt_tokens + traced.output_tokens))
        if self.simulation.now_s() > LOSS_S and traced.chat in self.lost_chats:
            # Only the first return shows the loss; then the new owner knows the chat's engine.
            self.lost_chats.discard(traced.chat)
            self.prompt_tokens += traced.prompt_tokens
            self.found_tokens += min(engine.cache.get(traced.chat, 0), traced.prompt_tokens)
        self.chats.add(traced.chat)

    def _probe(self, engine: str) -> None:
        for node, follower in zip(self.simulation.nodes, self.followers, strict=False):
            if not node.steward.owns(engine):
                follower.forget(engine)
                continue
            after = max(follower.cursor(engine), len(self.logs[engine]) - ENGINE_LOG_EVENTS)
            events = []
            for number, chat, tokens in self.logs[engine][after:]:
                events.append({"n": number, "kind": "stored", "chat": chat, "tokens": tokens})
            follower.accept(engine, {"events": events})

    def _replay(self, number: int) -> None:
        if number >= len(self.simulation.nodes):
            return
        sent = self.replay_parts[number].step()
        if sent:
            self.replayed_events += sent
            self.ended_s = self.simulation.now_s()

    def _lose(self, names: list[str]) -> None:
        lost = names[-1]
        for chat in self.chats:
            if choose(str(hash_chat(chat)), names) == lost:
                self.lost_chats.add(chat)
        if not self.loses:
            return
        self.simulation.nodes.pop()
        self.simulation.directories.pop()
        member = self.simulation.hub.pop(lost).me
        for peers in self.simulation.hub.values():
            peers.changes.on_next(MemberChange(member, MemberState.DEAD))

    def _repeat_every(self, interval_s: float, action: Callable[[], None], offset: float) -> None:
        def repeat() -> None:
            action()
            self.simulation.at(self.simulation.now_s() + interval_s, repeat)

        self.simulation.at(interval_s * offset, repeat)


def run_loss(nodes: int, replays: bool, seed: int, loses: bool = True) -> _Run:
    """Run one simulation, with or without the loss, and return its counts."""
    simulation = _LossSimulation("owner", nodes, ENGINES, SERVICE, seed)
    run = _Run(simulation, replays, loses)
    run.start()
    simulation.schedule_fill_digests()
    count = ENGINES * IN_FLIGHT
    trace = generate_trace(seed, count / RUN_S, UNTIL_S, RUN_S, count, pause_s=PAUSE_S)
    simulation.run(UNTIL_S, trace)
    return run


def measure(seed: int) -> list[Result]:
    """Return the share of prompts found at the first return of chats whose owner was lost."""
    rows = []
    for nodes in (6, 30):
        case = f"one of {nodes} lost"
        for policy in ("no loss", "events once", "replay"):
            replays = policy == "replay"
            run = run_loss(nodes, replays, seed, policy != "no loss")
            share = run.found_tokens / max(run.prompt_tokens, 1)
            name = "reuse at first return"
            rows.append(Result(name, case, policy, share, "of prompts", None, seed))
            if replays:
                rows.append(
                    Result("replay", case, policy, run.replayed_events, "events", None, seed)
                )
                took_s = run.ended_s - LOSS_S
                rows.append(Result("replay ended after", case, policy, took_s, "s", None, seed))
    return rows
