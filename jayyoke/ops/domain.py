"""Failure domains taken out of service, by the change log or by interim drains."""

from __future__ import annotations

import asyncio
import uuid
from dataclasses import dataclass

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
from jayyoke.wire.gen.ttypes import Digest, Drain

STEP_INTERVAL_S = 1.0
# Instances other than the rendezvous choice wait this long, so that usually one of them writes.
WRITE_AFTER_S = 5.0
MAX_DRAINS = 64


@dataclass(frozen=True, slots=True)
class DomainChange:
    """Reports that a failure domain went out of service or came back."""

    domain: str
    out: bool


@dataclass(slots=True)
class _InterimDrain:
    domain: str
    out: bool
    waiting_since_s: float


class Domains:
    """Combines the domains taken out by the log with interim drains.

    An interim drain takes a domain out while the log cannot be written. Peers pass it on to each
    other until it is in the log.
    """

    def __init__(self, change_log: ChangeLog, peers: Peers, digests: Digests, clock: Clock):
        self._change_log = change_log
        self._peers = peers
        self._clock = clock
        self._interim: dict[str, _InterimDrain] = {}
        self._changes: Subject[DomainChange] = Subject()
        self._out = change_log.configuration.domains_out
        change_log.changes.subscribe(self._on_configuration)
        peers.serve(Drain, self._on_drain)
        digests.add_fields(self._fill_digest)
        digests.add_handler(self._on_digest)

    @property
    def changes(self) -> Observable[DomainChange]:
        """Return the stream of domains that go out of service or come back."""
        return self._changes

    def domains_out(self) -> frozenset[str]:
        """Return the domains that may receive no new work."""
        return self._out

    def interim_domains(self) -> frozenset[str]:
        """Return the domains that only an interim drain keeps out."""
        logged = self._change_log.configuration.domains_out
        return frozenset(drain.domain for drain in self._interim.values() if drain.out) - logged

    async def take_out(self, domain: str) -> int | None:
        """Take a domain out; return the log version, or None for an interim drain.

        Raise Conflict if another change of the domain was accepted first.
        """
        try:
            return await self._change_log.append({("domains_out", domain): "operator"})
        except StoreUnavailable as error:
            logging.warning("domain %s is taken out by an interim drain: %s", domain, error)
        self._record_drain(Drain(uuid.uuid4().hex, domain, True))
        return None

    async def bring_back(self, domain: str) -> int | None:
        """Bring a domain back; return the log version, or None if only a drain was withdrawn.

        Raise Conflict, or StoreUnavailable if the log keeps the domain out and cannot be written.
        """
        ids = [key for key, drain in self._interim.items() if drain.domain == domain]
        entries: dict = {("domains_out", domain): None}
        entries.update({("drains", key): domain for key in ids})
        try:
            return await self._change_log.append(entries)
        except StoreUnavailable:
            if domain not in self.interim_domains():
                raise
        for key in ids:
            self._record_drain(Drain(key, domain, False))
        return None

    async def run(self) -> None:
        """Write interim drains to the log until cancelled."""
        while True:
            await self.step()
            await asyncio.sleep(STEP_INTERVAL_S)

    async def step(self) -> None:
        """Write to the log the interim drains that this instance is due to write."""
        now_s = self._clock.now_s()
        for key, drain in list(self._interim.items()):
            if key not in self._interim:
                continue
            if (
                not self._change_log.is_chosen(key)
                and now_s - drain.waiting_since_s < WRITE_AFTER_S
            ):
                continue
            drain.waiting_since_s = now_s
            if not await self._write(key, drain):
                return

    async def _write(self, key: str, drain: _InterimDrain) -> bool:
        entries: dict = {("drains", key): drain.domain}
        if drain.out:
            entries[("domains_out", drain.domain)] = key
        # Without a base version, a `back` accepted between check and write would be undone.
        base = self._change_log.configuration.version
        try:
            await self._change_log.append(entries, base)
        except Conflict:
            return True
        except StoreUnavailable as error:
            logging.info("interim drains cannot be logged yet: %s", error)
            return False
        return True

    async def _on_drain(self, sender: Member, drain: Drain) -> None:
        self._record_drain(drain)

    def _on_digest(self, sender: Member, digest: Digest) -> None:
        for drain in digest.drains or ():
            self._record_drain(drain)

    def _fill_digest(self, digest: Digest) -> None:
        if self._interim:
            digest.drains = [
                Drain(key, drain.domain, drain.out) for key, drain in self._interim.items()
            ]

    def _record_drain(self, drain: Drain) -> None:
        if not drain.id or not drain.domain or drain.id in self._change_log.configuration.drains:
            return
        known = self._interim.get(drain.id)
        if known is not None and (known.out is bool(drain.out) or not known.out):
            return
        if known is None and len(self._interim) >= MAX_DRAINS:
            logging.error("drain of domain %s is dropped: %d are known", drain.domain, MAX_DRAINS)
            return
        now_s = self._clock.now_s()
        self._interim[drain.id] = _InterimDrain(drain.domain, bool(drain.out), now_s)
        self._update()
        self._peers.broadcast(drain)

    def _on_configuration(self, configuration: Configuration) -> None:
        for key in configuration.drains & self._interim.keys():
            del self._interim[key]
        self._update()

    def _update(self) -> None:
        drained = {drain.domain for drain in self._interim.values() if drain.out}
        before, self._out = self._out, self._change_log.configuration.domains_out | drained
        for domain in sorted(before ^ self._out):
            out = domain in self._out
            logging.info("domain %s is %s", domain, "out of service" if out else "back")
            self._changes.on_next(DomainChange(domain, out))
