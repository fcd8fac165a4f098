"""Components that record work: once-only requests, tags, late replies and stale answers."""

from __future__ import annotations

from dataclasses import dataclass

import aiohttp

from jayyoke.core.clock import Clock
from jayyoke.core.peering import Peers
from jayyoke.ops.batch import BatchWriter
from jayyoke.ops.claim import Claims
from jayyoke.ops.outbox import Outbox, owner_label
from jayyoke.ops.placement import Placer
from jayyoke.ops.plainservice import PlainService
from jayyoke.ops.reply import Replies
from jayyoke.ops.settle import OnceRunner
from jayyoke.ops.stale import StaleCache
from jayyoke.parser.settings import Settings
from jayyoke.platform.objects import Objects
from jayyoke.platform.table import Table


@dataclass(frozen=True, slots=True)
class DurableWork:
    """Holds what class plug-ins need for work that must not be lost or run twice."""

    once: OnceRunner
    outbox: Outbox
    replies: Replies
    service: PlainService
    stale: StaleCache

    async def drain(self, timeout_s: float) -> None:
        """Wait for recorded work in progress, at most `timeout_s` seconds for each part."""
        await self.once.drain(timeout_s)
        await self.outbox.drain(timeout_s)


def build_durable_work(
    settings: Settings,
    table: Table,
    http_single: aiohttp.ClientSession,
    placer: Placer,
    peers: Peers,
    clock: Clock,
) -> DurableWork:
    """Return the components; `http_single` uses each connection for one call."""
    objects = Objects(http_single, settings.objects_url)
    writer = BatchWriter(table, peers)
    service = PlainService(http_single, placer)
    claims = Claims(table, objects, writer.commit, clock, owner_label(peers.me))
    replies = Replies(table, objects)
    outbox = Outbox(table, writer.commit, service, replies, peers, clock)
    return DurableWork(
        OnceRunner(claims, service, clock), outbox, replies, service, StaleCache(clock)
    )
