"""Sends the counts of this process to the followers of its domain, and keeps those it gets.

Designed for 30 instances a domain. Each sends what changed to one of its two followers in turn, so
that the counts outlive it. A follower gets 8 messages a second, 4 to 5 KB with their answers.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable
from dataclasses import dataclass

from thrift.TSerialization import serialize

from jayyoke.core.error import PeerProtocolError, PeerUnavailable
from jayyoke.duties.countmerge import CountBook, find_next_domain
from jayyoke.duties.truetime import TrueTime
from jayyoke.duties.usagecount import UsageCounter
from jayyoke.edge.countmessage import (
    CountClient,
    decode_totals,
    encode_totals,
    pack_counts,
    read_message,
)
from jayyoke.edge.log import log_event
from jayyoke.edge.roster import Member, Roster
from jayyoke.wire.gen import ttypes

# Each follower gets the counts in every second period. More instances send less often, so that a
# follower gets at most 8 messages a second.
PERIOD_S = 0.8
PERIOD_S_PER_INSTANCE = 0.06
# How often a follower copies its domain's counts to the next domain.
COPY_PERIOD_S = 1.5
# A follower hears of an idle instance after this time.
IDLE_S = 3.0


@dataclass(slots=True)
class _Mark:
    """Holds what a follower's process has."""

    incarnation: int
    serial: int = 0
    complete: int = -1
    sent_s: float = float("-inf")


class CountExchange:
    """Keeps the own counts, those of other processes of the domain, and the true time."""

    def __init__(
        self,
        name: str,
        domain: str,
        source: str,
        counter: UsageCounter,
        true_time: TrueTime,
        client: CountClient,
        roster: Roster,
        now_s: Callable[[], float],
        random_source: random.Random,
    ):
        self._name = name
        self._domain = domain
        self._source = source
        self._counter = counter
        self._true_time = true_time
        self._client = client
        self._roster = roster
        self._now_s = now_s
        self._random_source = random_source
        self._book = CountBook(counter.kept)
        self._incarnation = random_source.getrandbits(62)
        self._own_serial = 0
        self._marks: dict[str, _Mark] = {}
        self._copy_marks: dict[str, _Mark] = {}
        # Followers that did not take the last message.
        self._failing: set[str] = set()
        self._turn = 0
        self.reports = 0

    async def run(self) -> None:
        """Send counts until cancelled."""
        while True:
            await asyncio.sleep(self._find_period_s() * self._random_source.uniform(0.9, 1.1))
            followers = [f for f in self._roster.find_followers() if f.name != self._name]
            if not followers:
                continue
            self._turn += 1
            await self._send(followers[self._turn % len(followers)])

    def answer_report(self, message: bytes) -> bytes:
        """Record the counts of another process; raise PeerProtocolError."""
        report = read_message(ttypes.CountReport(), message, PeerProtocolError)
        windows = decode_totals(report.windows)
        if not report.source or not report.domain:
            raise PeerProtocolError("the counts name no source")
        now_s = self._now_s()
        complete = -1 if report.complete is None else report.complete
        self._book.merge(report.source, report.domain, complete, windows, now_s)
        if report.unix_ms:
            self._true_time.record(report.source, report.unix_ms / 1000, now_s)
        receipt = ttypes.CountReceipt(self._incarnation, self._read_ms())
        return serialize(receipt)

    def answer_copy(self, message: bytes) -> bytes:
        """Record the counts of another domain; raise PeerProtocolError."""
        copied = read_message(ttypes.CountCopy(), message, PeerProtocolError)
        for report in copied.reports or ():
            if not report.source or not report.domain or report.domain == self._domain:
                raise PeerProtocolError("the copied counts are of no other domain")
            complete = -1 if report.complete is None else report.complete
            windows = decode_totals(report.windows)
            self._book.merge(report.source, report.domain, complete, windows, self._now_s())
        return serialize(ttypes.CountReceipt(self._incarnation, self._read_ms()))

    async def run_copy(self) -> None:
        """Copy the counts of the domain to the next one while this process follows for it."""
        while True:
            await asyncio.sleep(COPY_PERIOD_S * self._random_source.uniform(0.9, 1.1))
            await self._copy()

    async def _copy(self) -> None:
        followers = self._roster.list_followers()
        own = [found.name for found in followers.get(self._domain, ())]
        target = find_next_domain(self._domain, followers)
        if self._name not in own or target is None:
            return
        # The first follower of a domain copies to the first one of the next domain.
        receivers = followers[target]
        receiver = receivers[own.index(self._name) % len(receivers)]
        self._record_own()
        mark = self._copy_marks.get(receiver.address, _Mark(0))
        serial = self._book.serial
        changes = self._book.list_changes(mark.serial, self._domain)
        if not changes:
            return
        reports = [
            ttypes.CountReport(
                source=found.source,
                domain=self._domain,
                complete=found.complete,
                windows=encode_totals(found.windows),
            )
            for found in changes
        ]
        try:
            receipt = await self._client.copy(receiver.address, ttypes.CountCopy(reports))
        except PeerUnavailable:
            return
        incarnation = receipt.incarnation or 0
        if mark.incarnation not in (0, incarnation):
            # Another process, which lacks what was sent to the one before.
            serial = 0
        self._copy_marks = {receiver.address: _Mark(incarnation, serial)}

    def answer_query(self, message: bytes) -> bytes:
        """Return the counts of a domain; raise PeerProtocolError."""
        query = read_message(ttypes.CountQuery(), message, PeerProtocolError)
        if query.window is None or not query.domain:
            raise PeerProtocolError("the query names no window")
        if query.unix_ms:
            self._true_time.record_told(query.unix_ms / 1000, self._now_s())
        return serialize(self.find_counts(query))

    def find_counts(self, query: ttypes.CountQuery) -> ttypes.CountAnswer:
        """Return what this process knows of the counts of a domain."""
        now_s = self._now_s()
        self._record_own()
        summary = self._book.summarize(query.window, query.domain, now_s)
        packed = None
        if query.sources is not None:
            counts = self._book.add_up(query.window, query.domain, query.sources)
            packed = pack_counts(query.window, counts)
        return ttypes.CountAnswer(
            sources=list(summary.totals),
            totals=list(summary.totals.values()),
            pending=summary.pending,
            packed=packed,
            unix_ms=int(self._true_time.read_heard_s(now_s) * 1000),
        )

    def _record_own(self) -> None:
        now_s = self._now_s()
        complete = self._counter.find_complete(self._true_time.read_s(now_s))
        changes = self._counter.list_changes(self._own_serial)
        self._own_serial = self._counter.serial
        self._book.merge(self._source, self._domain, complete, changes, now_s)

    async def _send(self, follower: Member) -> None:
        """Send a follower what it does not have."""
        now_s = self._now_s()
        unix_s = self._true_time.read_s(now_s)
        mark = self._marks.get(follower.address)
        known = _Mark(0) if mark is None else mark
        serial = self._counter.serial
        complete = self._counter.find_complete(unix_s)
        idle = serial == known.serial and complete == known.complete
        if idle and now_s - known.sent_s < IDLE_S:
            return
        report = ttypes.CountReport(
            source=self._source,
            domain=self._domain,
            unix_ms=int(self._true_time.read_own_s(now_s) * 1000),
            complete=complete,
            windows=encode_totals(self._counter.list_changes(known.serial)),
        )
        try:
            receipt = await self._client.report(follower.address, report)
        except PeerUnavailable as error:
            if follower.address not in self._failing:
                log_event("counts-not-sent", peer=follower.address, reason=str(error))
            self._failing.add(follower.address)
            return
        self._failing.discard(follower.address)
        self.reports += 1
        answered_s = self._now_s()
        if receipt.unix_ms:
            # The receipt was written between the two readings.
            self._true_time.record_told(receipt.unix_ms / 1000, (now_s + answered_s) / 2)
        incarnation = receipt.incarnation or 0
        if mark is not None and mark.incarnation != incarnation:
            # Another process, which lacks what was sent to the one before.
            del self._marks[follower.address]
            return
        self._marks[follower.address] = _Mark(incarnation, serial, complete, now_s)

    def _read_ms(self) -> int:
        return int(self._true_time.read_s(self._now_s()) * 1000)

    def _find_period_s(self) -> float:
        members = sum(found.domain == self._domain for found in self._roster.list_members())
        return max(PERIOD_S, PERIOD_S_PER_INSTANCE * members)
