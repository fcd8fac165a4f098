"""Version moves at one instance: rows, evidence, halts and which version a chat gets."""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable, Sequence
from typing import Protocol

import aiohttp
import xxhash
from absl import logging

from jayyoke.core.clock import Clock
from jayyoke.core.error import Conflict, StoreUnavailable
from jayyoke.core.member import Member
from jayyoke.core.move import PPM, Move, MoveActive, MovePhase, OutcomeCounts, VersionInForce
from jayyoke.core.peering import Peers
from jayyoke.core.upstream import Upstream
from jayyoke.ops.evidence import EvidencePool, judge
from jayyoke.ops.evidencerows import EvidenceRows
from jayyoke.ops.moveexecutor import MoveExecutor
from jayyoke.ops.moverow import (
    MOVE_PREFIX,
    LeaseWatch,
    MalformedRow,
    MoveRow,
    decode_move,
    decode_move_row,
    encode_move,
    reopen_move,
    take_lease,
    write_move,
)
from jayyoke.ops.outcomecounter import OutcomeCounter, parse_evidence
from jayyoke.ops.rendezvous import rank
from jayyoke.platform.table import Table
from jayyoke.wire.gen.ttypes import Evidence, MoveNotice

READ_INTERVAL_S = 1.0
MAX_ORDERED_ENGINES = 100
ORDER_VALID_S = 4.0  # Probes take up to 2.5 s and digests up to 1 s to report an engine's version.


class HaltRegistry(Protocol):
    """Keeps the halted versions, which must receive no traffic."""

    def halt(self, move: str, version: str, reason: str) -> None:
        """Halt a version here and at every peer."""
        ...

    def is_halted(self, move: str, version: str) -> bool:
        """Tell whether a version of a move was halted."""
        ...


class Moves:
    """Follows all moves; the reader of each domain also competes for their leases."""

    def __init__(
        self,
        peers: Peers,
        table: Table,
        http: aiohttp.ClientSession,
        clock: Clock,
        halts: HaltRegistry,
        list_engines: Callable[[str], Sequence[Upstream]],
        find_version: Callable[[str], str],
        checks_fencing: Callable[[str], bool],
        wall_s: Callable[[], float] = time.time,
    ):
        self._peers = peers
        self._table = table
        self._http = http
        self._clock = clock
        self._halts = halts
        self._list_engines = list_engines
        self._version_of = find_version
        self._ordered_until_s: dict[str, float] = {}
        # Called with an engine that is about to load, so that placement expects a cold engine.
        self.on_order: Callable[[str], None] = lambda engine: None
        self._checks_fencing = checks_fencing
        self._wall_s = wall_s
        self._rows: dict[str, MoveRow] = {}
        self._outcomes = OutcomeCounter()
        self._pools: dict[str, EvidencePool] = {}
        self._lease_watch = LeaseWatch()
        self._executors: dict[str, asyncio.Task[None]] = {}
        self._evidence_rows = EvidenceRows(table, clock)
        self._readers: tuple[str, ...] = ()
        self._name = f"{peers.me.name}:{peers.me.incarnation}"
        peers.serve(MoveNotice, self._serve_notice)
        peers.serve(Evidence, self._serve_evidence)

    @property
    def moves(self) -> tuple[Move, ...]:
        """Return the newest known move of each service."""
        return tuple(self._rows[key].move for key in sorted(self._rows))

    async def start(self, service: str, version: str, deadline_in_s: float) -> Move:
        """Start a move and return it; the same move started twice is one move.

        Raises MoveActive, VersionInForce, Conflict or StoreUnavailable. `deadline_in_s` is in
        seconds from now.
        """
        try:
            return await self._start(service, version, deadline_in_s)
        except Conflict:
            # Another operator was first; the second attempt sees that move.
            return await self._start(service, version, deadline_in_s)

    async def _start(self, service: str, version: str, deadline_in_s: float) -> Move:
        await self._read_rows()
        row = self._rows.get(MOVE_PREFIX + service)
        if row is not None and row.move.active:
            if row.move.new_version == version:
                return row.move
            raise MoveActive(row.move)
        old_version = self._find_version(service, row)
        if version == old_version:
            # Halting such a move would leave the service without engines, and the move could not
            # end: there is no other version that the engines could return to.
            raise VersionInForce(service, version)
        now_s = self._wall_s()
        fence = row.move.fence + 1 if row else 1
        move = Move(
            id=f"{service}:{version}:{fence}",
            service=service,
            old_version=old_version,
            new_version=version,
            started_s=now_s,
            deadline_s=now_s + deadline_in_s,
            step_started_s=now_s,
            fence=fence,
        )
        written = await write_move(self._table, move, row.version if row else 0)
        self._accept_row(written)
        self._announce(written)
        return move

    def select(self, service: str, chat: str, engines: list[str]) -> list[str]:
        """Return the engines of the version that a chat gets; none of a halted version."""
        row = self._rows.get(MOVE_PREFIX + service)
        if row is None:
            return engines
        move = row.move
        new, old = [], []
        for engine in engines:
            (new if self._runs_new(move, engine) else old).append(engine)
        if move.phase in (MovePhase.ROLLING_BACK, MovePhase.ROLLED_BACK) or self._is_halted(move):
            return old
        if move.phase is MovePhase.DONE:
            return new or old
        if new and hash_to_ppm(move.id, chat) < move.share_ppm:
            return new
        return old or new

    def pick_shadow(self, service: str, request_id: str) -> Upstream | None:
        """Return the engine that gets a copy of this request, or None."""
        row = self._rows.get(MOVE_PREFIX + service)
        if row is None or row.move.phase is not MovePhase.RUNNING or not row.move.shadow_ppm:
            return None
        move = row.move
        if self._is_halted(move) or hash_to_ppm(move.id, request_id) >= move.shadow_ppm:
            return None
        new = []
        for upstream in self._list_engines(service):
            if self._version_of(upstream.name) == move.new_version:
                new.append(upstream)
        return new[hash_to_ppm(request_id, move.id) % len(new)] if new else None

    def observe(self, upstream: Upstream, version: str, route: str, counts: OutcomeCounts) -> None:
        """Add an engine's outcomes to the evidence; `version` is empty if its answer named none."""
        row = self._rows.get(MOVE_PREFIX + upstream.service)
        if row is None or not row.move.active:
            return
        move = row.move
        known = version or self._version_of(upstream.name)
        side = move.new_version if known == move.new_version else move.old_version
        self._outcomes.add(move.id, side, route, counts)

    async def run(self) -> None:
        """Follow moves until cancelled."""
        try:
            while True:
                await self.tick()
                await asyncio.sleep(READ_INTERVAL_S)
        finally:
            for task in self._executors.values():
                task.cancel()

    async def tick(self) -> None:
        """Exchange and judge evidence; as the domain's reader also read rows and seek leases."""
        self._send_evidence()
        if not self._is_reader():
            return
        self._judge()
        try:
            await self._read_rows()
            await self._exchange_evidence()
            await self._compete_for_leases()
        except StoreUnavailable as error:
            logging.warning("moves cannot be read: %s", error)

    def evidence(self, move_id: str) -> dict[str, dict[str, OutcomeCounts]]:
        """Return the pooled counts of a move by version and route."""
        row = next((r for r in self._rows.values() if r.move.id == move_id), None)
        if row is None:
            return {}
        pool = EvidencePool()
        for domain, totals in self._evidence_rows.read(move_id).items():
            if domain not in self._group_domains():
                pool.replace(f"domain {domain}", totals)
        pool.replace("group", self._pools.setdefault(move_id, EvidencePool()).total())
        versions = (row.move.old_version, row.move.new_version)
        return {version: pool.by_route(version) for version in versions}

    def _runs_new(self, move: Move, engine: str) -> bool:
        ordered = move.active and self._clock.now_s() < self._ordered_until_s.get(engine, 0.0)
        return ordered or self._version_of(engine) == move.new_version

    def _is_halted(self, move: Move) -> bool:
        return self._halts.is_halted(move.id, move.new_version)

    def _find_version(self, service: str, row: MoveRow | None) -> str:
        if row is not None:
            done = row.move.phase is MovePhase.DONE
            return row.move.new_version if done else row.move.old_version
        versions = [self._version_of(engine.name) for engine in self._list_engines(service)]
        versions = [version for version in versions if version]
        return max(set(versions), key=versions.count) if versions else "v1"

    def _group_domains(self) -> set[str]:
        return {member.domain for member in self._peers.members()}

    def _find_reader(self, domain: str) -> str | None:
        names = [member.name for member in self._peers.members() if member.domain == domain]
        order = rank("moves", names)
        return order[0] if order else None

    def _is_reader(self) -> bool:
        return self._find_reader(self._peers.me.domain) == self._peers.me.name

    def _send_evidence(self) -> None:
        active = {row.move.id: row.move for row in self._rows.values() if row.move.active}
        self._outcomes.retain_active(active)
        for move_id in list(self._pools):
            if move_id not in active:
                del self._pools[move_id]
        now_s = self._clock.now_s()
        self._ordered_until_s = {
            name: at for name, at in self._ordered_until_s.items() if now_s < at
        }
        readers = tuple(filter(None, map(self._find_reader, sorted(self._group_domains()))))
        if readers != self._readers:
            self._readers = readers
            self._outcomes.resend_all()
        for message in self._outcomes.build_messages():
            for reader in readers:
                self._peers.tell(reader, message)

    async def _serve_evidence(self, sender: Member, message: Evidence) -> None:
        pool = self._pools.setdefault(message.move, EvidencePool())
        pool.replace(f"{sender.name}:{sender.incarnation}", parse_evidence(message))

    def _judge(self) -> None:
        for row in self._rows.values():
            move = row.move
            if move.phase is not MovePhase.RUNNING or self._is_halted(move):
                continue
            counts = self.evidence(move.id)
            verdict = judge(counts[move.new_version], counts[move.old_version])
            if verdict is not None:
                self._halts.halt(move.id, move.new_version, str(verdict))

    async def _read_rows(self) -> None:
        for raw in await self._table.scan(MOVE_PREFIX):
            try:
                row = decode_move_row(raw)
            except MalformedRow as error:
                logging.error("%s: %s", raw.key, error)
                continue
            self._lease_watch.observe(row, self._clock.now_s())
            if self._accept_row(row):
                self._announce(row)

    def _accept_row(self, row: MoveRow) -> bool:
        known = self._rows.get(row.key)
        if known is not None and known.version >= row.version:
            return False
        self._rows[row.key] = row
        if known is None or known.move.phase is not row.move.phase:
            move = row.move
            logging.info("move %s: %s %s", move.id, move.phase.value, move.reason)
        return True

    def _announce(self, row: MoveRow, ordered: str = "") -> None:
        body = encode_move(row.move)
        names = [ordered] if ordered else None
        self._peers.broadcast(MoveNotice(row.key, row.version, body, names))

    async def _serve_notice(self, sender: Member, message: MoveNotice) -> None:
        try:
            row = MoveRow(decode_move(message.body), message.version)
        except MalformedRow as error:
            logging.error("notice from %s: %s", sender.name, error)
            return
        self._accept_row(row)
        for engine in (message.ordered or ())[:MAX_ORDERED_ENGINES]:
            self._note_order(engine)

    def _note_order(self, engine: str) -> None:
        self._ordered_until_s[engine] = self._clock.now_s() + ORDER_VALID_S
        self.on_order(engine)

    def _announce_order(self, row: MoveRow, engine: str) -> None:
        """Count an engine as running the new version before it loads.

        A load that ended between two probes went unnoticed, and the engine kept receiving callers
        of the old version: 11 of 274 chats reached a bad version (`make demo`, seed 1).
        """
        self._note_order(engine)
        self._announce(row, engine)

    async def _compete_for_leases(self) -> None:
        for key, task in list(self._executors.items()):
            if task.done():
                del self._executors[key]
        for row in list(self._rows.values()):
            if row.move.phase is MovePhase.DONE and self._is_halted(row.move):
                reopened = await reopen_move(self._table, row)
                if reopened is not None:
                    self._publish(reopened)
                continue
            if not row.move.active or row.key in self._executors:
                continue
            if not self._lease_watch.has_lapsed(row, self._clock.now_s()):
                continue
            taken_s = self._clock.now_s()
            taken = await take_lease(self._table, row, self._name)
            if taken is not None:
                logging.info("move %s: lease taken, fence %d", taken.move.id, taken.move.fence)
                self._publish(taken)
                self._executors[row.key] = asyncio.create_task(
                    self._build_executor(taken, taken_s).run()
                )

    def _publish(self, row: MoveRow) -> None:
        self._lease_watch.observe(row, self._clock.now_s())
        if self._accept_row(row):
            self._announce(row)

    def _build_executor(self, row: MoveRow, taken_s: float) -> MoveExecutor:
        return MoveExecutor(
            row,
            taken_s,
            table=self._table,
            http=self._http,
            clock=self._clock,
            list_engines=self._list_engines,
            read_evidence=self.evidence,
            is_halted=self._halts.is_halted,
            halt=self._halts.halt,
            checks_fencing=self._checks_fencing,
            publish=self._publish,
            announce=self._announce_order,
            wall_s=self._wall_s,
        )

    async def _exchange_evidence(self) -> None:
        """Share evidence with readers of other groups."""
        pools = {}
        for row in self._rows.values():
            if row.move.active:
                pool = self._pools.setdefault(row.move.id, EvidencePool())
                pools[row.move.id] = pool.total()
        domain = min(self._group_domains())
        await self._evidence_rows.exchange(pools, domain, self._peers.me.domain == domain)


def hash_to_ppm(move_id: str, key: str) -> int:
    """Return a number below one million for a key; the same on every instance."""
    return xxhash.xxh3_64_intdigest(f"{move_id}|{key}".encode()) % PPM
