"""Shares the evidence about parts of prompts with other instances, without the platform."""

from __future__ import annotations

import asyncio

from absl import logging

from jayyoke.core.clock import Clock
from jayyoke.core.member import Member
from jayyoke.core.peering import Peers
from jayyoke.ops.partmessage import (
    MAX_ADDED,
    MAX_TOLD,
    build_part_message,
    read_part_message,
    split_evidence,
)
from jayyoke.ops.partrecord import PartEvidence
from jayyoke.ops.quarantine import MAX_SUSPECTED, Quarantine
from jayyoke.wire.gen import ttypes

# The ends and answers of this time go into one message.
BATCH_S = 0.03
# How often instances that are connected anew are told everything.
STEP_S = 1.0


class PartSharing:
    """Sends news to every connected instance, and all that is known to each new one."""

    def __init__(self, quarantine: Quarantine, peers: Peers, clock: Clock):
        self._quarantine = quarantine
        self._peers = peers
        self._clock = clock
        self._news: dict[str, None] = {}
        self._changed = asyncio.Event()
        self._told: set[Member] = set()
        quarantine.changes.subscribe(self._add_news)
        peers.serve(ttypes.PartEvidence, self._on_evidence)

    async def run(self) -> None:
        """Tell news and new instances until cancelled."""
        while True:
            try:
                async with asyncio.timeout(STEP_S):
                    await self._changed.wait()
            except TimeoutError:
                self._quarantine.forget_old()
                self._tell_new_members()
                continue
            await asyncio.sleep(BATCH_S)
            self._tell_news()

    def _add_news(self, key: str) -> None:
        self._news[key] = None
        self._changed.set()

    def _tell_news(self) -> None:
        news, self._news = list(self._news), {}
        self._changed.clear()
        for member in self._list_connected():
            self._tell(member, [self._quarantine.describe(key) for key in news])

    def _tell_new_members(self) -> None:
        connected = set(self._list_connected())
        new = connected - self._told
        self._told = connected
        if not self._quarantine.suspected:
            return
        for member in new:
            self._tell(member, self._quarantine.list_evidence(MAX_SUSPECTED))

    def _list_connected(self) -> list[Member]:
        found = []
        for domain in sorted(self._peers.reachable_domains()):
            found += self._peers.connected_members(domain)
        return found

    def _tell(self, member: Member, evidence: list[PartEvidence]) -> None:
        now_s = self._clock.now_s()
        for batch in split_evidence(evidence):
            self._peers.tell(member.name, build_part_message(batch, now_s))

    async def _on_evidence(self, sender: Member, message: ttypes.PartEvidence) -> None:
        told = read_part_message(message, self._clock.now_s())
        for key in self._quarantine.merge(told):
            logging.warning("part %s is kept from engines, as %s tells", key, sender.name)
        unknown = self._quarantine.list_unknown_to(told, MAX_TOLD, MAX_ADDED)
        if unknown:
            self._tell(sender, unknown)
