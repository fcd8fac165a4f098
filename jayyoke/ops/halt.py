"""Version halts: a grow-only set of halted versions that spreads without the platform."""

from __future__ import annotations

import asyncio

from absl import logging
from reactivex import Observable
from reactivex.subject import Subject

from jayyoke.core.clock import Clock
from jayyoke.core.config import Configuration
from jayyoke.core.error import Conflict, StoreUnavailable
from jayyoke.core.member import Member
from jayyoke.core.peering import Peers
from jayyoke.ops.changelog import ChangeLog
from jayyoke.ops.digest import Digests
from jayyoke.wire.gen.ttypes import Digest, Halt

STEP_INTERVAL_S = 1.0
# Instances other than the rendezvous choice wait this long, so that usually one of them writes.
WRITE_AFTER_S = 5.0
MAX_PENDING = 256


def halt_key(move: str, version: str) -> str:
    """Return the name of a halt in the log and in digests."""
    return f"{move} {version}"


class Halts:
    """Holds every halted version; each digest repeats the halts that are not in the log yet."""

    def __init__(self, change_log: ChangeLog, peers: Peers, digests: Digests, clock: Clock):
        self._change_log = change_log
        self._peers = peers
        self._clock = clock
        self._halted = set(change_log.configuration.halts)
        self._pending: dict[str, float] = {}
        self._reasons: dict[str, str] = {}
        self._changes: Subject[Halt] = Subject()
        change_log.changes.subscribe(self._on_configuration)
        peers.serve(Halt, self._on_halt)
        digests.add_fields(self._fill_digest)
        digests.add_handler(self._on_digest)

    @property
    def changes(self) -> Observable[Halt]:
        """Return the stream of halts that become known here."""
        return self._changes

    def is_halted(self, move: str, version: str) -> bool:
        """Tell whether a version of a move must receive no traffic."""
        return halt_key(move, version) in self._halted

    def halt(self, move: str, version: str, reason: str) -> None:
        """Halt a version at once here and at every peer that can be reached."""
        self._record_halt(Halt(move, version, reason))

    async def run(self) -> None:
        """Write halts to the log until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(STEP_INTERVAL_S)

    async def step(self) -> None:
        """Write to the log, in one change, the halts that this instance is due to write."""
        now_s = self._clock.now_s()
        entries = {}
        for key, waiting_since_s in self._pending.items():
            if not self._change_log.is_chosen(key) and now_s - waiting_since_s < WRITE_AFTER_S:
                continue
            entries[("halts", key)] = self._reasons.get(key, "")
        for _, key in entries:
            self._pending[key] = now_s
        if not entries:
            return
        try:
            await self._change_log.append(entries)
        except Conflict:
            logging.info("another instance logged a halt first")
        except StoreUnavailable as error:
            logging.info("halts cannot be logged yet: %s", error)

    async def _on_halt(self, sender: Member, halt: Halt) -> None:
        self._record_halt(halt)

    def _on_digest(self, sender: Member, digest: Digest) -> None:
        for key in digest.halts or ():
            move, _, version = key.partition(" ")
            self._record_halt(Halt(move, version, f"digest of {sender.name}"))

    def _fill_digest(self, digest: Digest) -> None:
        if self._pending:
            digest.halts = sorted(self._pending)

    def _record_halt(self, halt: Halt) -> None:
        key = halt_key(halt.move or "", halt.version or "")
        if key in self._halted or not halt.move or not halt.version:
            return
        if len(self._pending) >= MAX_PENDING:
            logging.error("halt %s is dropped: %d wait for the log", key, MAX_PENDING)
            return
        self._halted.add(key)
        self._pending[key] = self._clock.now_s()
        self._reasons[key] = halt.reason or ""
        logging.warning("version %s of move %s is halted: %s", halt.version, halt.move, halt.reason)
        self._changes.on_next(halt)
        self._peers.broadcast(halt)

    def _on_configuration(self, configuration: Configuration) -> None:
        for key in configuration.halts:
            self._pending.pop(key, None)
            self._reasons.pop(key, None)
            if key in self._halted:
                continue
            self._halted.add(key)
            move, _, version = key.partition(" ")
            self._changes.on_next(Halt(move, version, "change log"))
