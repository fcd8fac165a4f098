"""Collects the counts of a window from the followers of all domains, for the holder of the duties.

Designed for 28 followers in 14 domains. It asks each follower for the sums of its sources, and then
for the counts of each source that follower which has more of it.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field

from jayyoke.core.error import PeerUnavailable
from jayyoke.duties.countmerge import add_counts, assign_sources, find_next_domain
from jayyoke.duties.truetime import TrueTime
from jayyoke.edge.countexchange import CountExchange
from jayyoke.edge.countmessage import CountClient, unpack_counts
from jayyoke.edge.roster import Member, Roster
from jayyoke.wire.gen import ttypes


@dataclass(slots=True)
class Collected:
    """Holds the counts of a window by team.

    `missing` are domains without an answer; `pending` are sources that have more to send.
    """

    counts: dict[str, int] = field(default_factory=dict)
    missing: list[str] = field(default_factory=list)
    pending: int = 0

    @property
    def complete(self) -> bool:
        """Tell whether all known sources have sent all counts of the window."""
        return not self.missing and not self.pending


class CountCollector:
    """Asks followers for counts, the own process directly."""

    def __init__(
        self,
        name: str,
        exchange: CountExchange,
        client: CountClient,
        roster: Roster,
        true_time: TrueTime,
        now_s: Callable[[], float],
    ):
        self._name = name
        self._exchange = exchange
        self._client = client
        self._roster = roster
        self._true_time = true_time
        self._now_s = now_s

    async def collect(self, window: int) -> Collected:
        """Return the counts of a window as far as followers answer."""
        followers = self._roster.list_followers()
        found = await asyncio.gather(
            *(self._collect_domain(name, window, members) for name, members in followers.items())
        )
        collected = Collected()
        for name, part in zip(followers, found, strict=True):
            if part is None:
                collected.missing.append(name)
                part = await self._collect_copy(name, window, followers)
                if part is None:
                    continue
            counts, pending = part
            add_counts(collected.counts, counts)
            collected.pending += pending
        return collected

    async def _collect_copy(
        self, domain: str, window: int, followers: Mapping[str, Sequence[Member]]
    ) -> tuple[dict[str, int], int] | None:
        """Return a domain's counts as far as its followers have copied them to the next one."""
        target = find_next_domain(domain, followers)
        if target is None:
            return None
        return await self._collect_domain(domain, window, followers[target])

    async def _collect_domain(
        self, domain: str, window: int, members: Sequence[Member]
    ) -> tuple[dict[str, int], int] | None:
        answers = await asyncio.gather(*(self._ask(found, domain, window) for found in members))
        known = [(m, answer) for m, answer in zip(members, answers, strict=True) if answer]
        if not known:
            return None
        summaries = [_read_totals(answer) for _, answer in known]
        counts: dict[str, int] = {}
        for (member, _), sources in zip(known, assign_sources(summaries), strict=True):
            if not sources:
                continue
            answer = await self._ask(member, domain, window, sources)
            if answer is None:
                return None
            try:
                add_counts(counts, unpack_counts(answer.packed))
            except PeerUnavailable:
                return None
        return counts, min(answer.pending or 0 for _, answer in known)

    async def _ask(
        self, member: Member, domain: str, window: int, sources: list[int] | None = None
    ) -> ttypes.CountAnswer | None:
        """Return a follower's answer, or None without one."""
        sent_s = self._now_s()
        unix_s = self._true_time.find_fleet_s(sent_s)
        unix_ms = None if unix_s is None else int(unix_s * 1000)
        query = ttypes.CountQuery(window, domain, sources, unix_ms)
        if member.name == self._name:
            answer = self._exchange.find_counts(query)
        else:
            try:
                answer = await self._client.query(member.address, query)
            except PeerUnavailable:
                return None
        if answer.unix_ms:
            middle_s = (sent_s + self._now_s()) / 2
            self._true_time.record_follower(member.name, answer.unix_ms / 1000, middle_s)
        return answer


def _read_totals(answer: ttypes.CountAnswer) -> dict[int, int]:
    sources, totals = answer.sources or [], answer.totals or []
    return dict(zip(sources, totals, strict=False))
