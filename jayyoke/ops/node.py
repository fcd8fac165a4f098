"""The parts of one instance, handed to class plug-ins and servers."""

from __future__ import annotations

from dataclasses import dataclass

import aiohttp

from jayyoke.core.clock import Clock
from jayyoke.core.peering import Peers
from jayyoke.ops.control import Control
from jayyoke.ops.domain import Domains
from jayyoke.ops.halt import Halts
from jayyoke.ops.health import Health
from jayyoke.ops.placement import Placer
from jayyoke.parser.settings import Settings
from jayyoke.platform.listing import Listing
from jayyoke.platform.table import Table


@dataclass(slots=True)
class Node:
    """Holds every part of a running instance."""

    settings: Settings
    clock: Clock
    http: aiohttp.ClientSession
    table: Table
    listing: Listing
    control: Control
    health: Health
    placer: Placer
    peers: Peers
    domains: Domains
    halts: Halts
