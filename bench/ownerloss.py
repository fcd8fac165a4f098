"""Reuse after the loss of one instance: chats whose owner is lost, with and without replay."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from bench.fakes import Engine, Work, World, generate_trace
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
PROBE_S = 2.5
STEP_S = 0.25
ENGINE_LOG = 200  # Engines keep few events, so that a new steward cannot read all of them again.
SERVICE = ServiceSpec("pool", "engine", full_work_tokens=1 << 30, warm_up_s=5.0)


class _World(World):
    """Lets the last instance be lost: it sends nothing and its requests end."""

    def send_digest(self, index: int, only: str | None = None) -> None:
        """Send one instance's digest unless it is lost."""
        if index < len(self.nodes):
            super().send_digest(index, only)

    def _step(self, coroutine: Any, request: Any, work: Work, index: int, exclude: Any) -> None:
        if index < len(self.nodes):
            super()._step(coroutine, request, work, index, exclude)


@dataclass(slots=True)
class _Run:
    """Drives one world, with the events of its engines and the loss of its last instance."""

    world: World
    replays: bool
    loses: bool
    logs: dict[str, list[tuple[int, str, int]]] = field(default_factory=dict)
    followers: list[CacheFollower] = field(default_factory=list)
    parts: list[Replay] = field(default_factory=list)
    lost_chats: set[str] = field(default_factory=set)
    seen: set[str] = field(default_factory=set)
    found: int = 0
    prompts: int = 0
    replayed: int = 0
    ended_s: float = LOSS_S

    def start(self) -> None:
        """Schedule probes, replays and the loss."""
        names = sorted(self.world.hub)
        for name in names:
            peers = self.world.hub[name]
            self.parts.append(Replay(peers, self.world.clock))
            self.followers.append(CacheFollower(peers, self.parts[-1]))
        for number, engine in enumerate(self.world.engines):
            self.logs[engine] = []
            self._every(PROBE_S, lambda engine=engine: self._probe(engine), number / ENGINES)
        if self.replays:
            for number in range(len(names)):
                self._every(STEP_S, lambda number=number: self._replay(number), number / len(names))
        self.world.on_start = self._on_start
        self.world.at(LOSS_S, lambda: self._lose(names))

    def _on_start(self, engine: Engine, work: Work) -> None:
        log = self.logs[engine.upstream.name]
        log.append((len(log) + 1, work.chat, work.prompt + work.output))
        if self.world.now_s() > LOSS_S and work.chat in self.lost_chats:
            # Only the first return tells of the lost memory; afterwards the new owner knows.
            self.lost_chats.discard(work.chat)
            self.prompts += work.prompt
            self.found += min(engine.cache.get(work.chat, 0), work.prompt)
        self.seen.add(work.chat)

    def _probe(self, engine: str) -> None:
        for node, follower in zip(self.world.nodes, self.followers, strict=False):
            if not node.steward.owns(engine):
                follower.forget(engine)
                continue
            after = max(follower.cursor(engine), len(self.logs[engine]) - ENGINE_LOG)
            events = []
            for number, chat, tokens in self.logs[engine][after:]:
                events.append({"n": number, "kind": "stored", "chat": chat, "tokens": tokens})
            follower.accept(engine, {"events": events})

    def _replay(self, number: int) -> None:
        if number >= len(self.world.nodes):
            return
        sent = self.parts[number].step()
        if sent:
            self.replayed += sent
            self.ended_s = self.world.now_s()

    def _lose(self, names: list[str]) -> None:
        lost = names[-1]
        for chat in self.seen:
            if choose(str(hash_chat(chat)), names) == lost:
                self.lost_chats.add(chat)
        if not self.loses:
            return
        self.world.nodes.pop()
        self.world.directories.pop()
        member = self.world.hub.pop(lost).me
        for peers in self.world.hub.values():
            peers.changes.on_next(MemberChange(member, MemberState.DEAD))

    def _every(self, interval_s: float, action: Callable[[], None], offset: float) -> None:
        def again() -> None:
            action()
            self.world.at(self.world.now_s() + interval_s, again)

        self.world.at(interval_s * offset, again)


def run_loss(nodes: int, replays: bool, seed: int, loses: bool = True) -> _Run:
    """Run one loss and return its counts."""
    world = _World("owner", nodes, ENGINES, SERVICE, seed)
    run = _Run(world, replays, loses)
    run.start()
    world.fill()
    count = ENGINES * IN_FLIGHT
    trace = generate_trace(seed, count / RUN_S, UNTIL_S, RUN_S, count, pause_s=PAUSE_S)
    world.run(UNTIL_S, trace)
    return run


def measure(seed: int) -> list[Result]:
    """Return the share of prompts found at the first return of chats whose owner was lost."""
    rows = []
    for nodes in (6, 30):
        case = f"one of {nodes} lost"
        for policy in ("no loss", "events once", "replay"):
            replays = policy == "replay"
            run = run_loss(nodes, replays, seed, policy != "no loss")
            share = run.found / max(run.prompts, 1)
            name = "reuse at first return"
            rows.append(Result(name, case, policy, share, "of prompts", None, seed))
            if replays:
                rows.append(Result("replay", case, policy, run.replayed, "events", None, seed))
                took_s = run.ended_s - LOSS_S
                rows.append(Result("replay ended after", case, policy, took_s, "s", None, seed))
    return rows
