"""The components of one instance, passed to class plug-ins and servers."""

from __future__ import annotations

from dataclasses import dataclass, field

import aiohttp

from jayyoke.core.clock import Clock
from jayyoke.core.peering import Peers
from jayyoke.ops.changelog import ChangeLog
from jayyoke.ops.chatparts import ChatParts
from jayyoke.ops.dispatch import Dispatch
from jayyoke.ops.domain import Domains
from jayyoke.ops.durablework import DurableWork
from jayyoke.ops.forward import EngineStreams
from jayyoke.ops.halt import Halts
from jayyoke.ops.health import Health
from jayyoke.ops.limits import Limits
from jayyoke.ops.metrics import Metrics
from jayyoke.ops.moves import Moves
from jayyoke.ops.placement import Placer
from jayyoke.ops.probe import Prober
from jayyoke.ops.requestdrain import RequestDrain
from jayyoke.ops.shadow import Shadows
from jayyoke.parser.settings import Settings
from jayyoke.platform.listing import Listing
from jayyoke.platform.table import Table


@dataclass(slots=True)
class Node:
    """Holds every component of a running instance."""

    settings: Settings
    clock: Clock
    http: aiohttp.ClientSession
    table: Table
    listing: Listing
    change_log: ChangeLog
    health: Health
    placer: Placer
    peers: Peers
    dispatch: Dispatch
    prober: Prober
    durable_work: DurableWork
    domains: Domains
    halts: Halts
    chat_parts: ChatParts
    engine_streams: EngineStreams = field(init=False)
    limits: Limits = field(init=False)
    metrics: Metrics = field(default_factory=Metrics)
    drain: RequestDrain = field(default_factory=RequestDrain)
    started: bool = False
    moves: Moves | None = None
    shadows: Shadows | None = None

    @property
    def ready(self) -> bool:
        """Tell whether to send callers here; a started instance stays ready until it drains."""
        if self.drain.draining:
            return False
        if not self.started:
            probed = self.prober.has_probed_all() and self.dispatch.steward.skips_grace_period()
            self.started = self.change_log.ready and self.health.has_list and probed
        return self.started

    def __post_init__(self) -> None:
        request_limits = None if self.placer is None else self.placer.request_limits
        self.engine_streams = EngineStreams(
            self.http, self.clock, self.settings.source, self.health.notices, request_limits
        )
        self.limits = Limits(self.clock)
