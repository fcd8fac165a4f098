"""A router within the test's process, in front of given engines, without a platform."""

from __future__ import annotations

import contextlib
import hashlib
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from types import SimpleNamespace

import aiohttp

from jayyoke.core import registry
from jayyoke.core.code import NO_UPSTREAM, refuse
from jayyoke.core.config import ClassKind, ClassSpec, Configuration, ServiceSpec, TeamSpec
from jayyoke.core.request import CallerRequest
from jayyoke.core.upstream import Upstream
from jayyoke.ops.node import Node
from jayyoke.ops.placement import Placement
from jayyoke.parser.settings import Settings
from jayyoke.scripts.assembly import build_node
from jayyoke.server.caller import CallerServer
from jayyoke.server.listener import Listener
from jayyoke.utils.connector import BoundedConnector
from standin.scriptedengine import ScriptedEngine

KEY = "test-key"


@dataclass(slots=True)
class StaticPlacer:
    """Places on the first upstream that is not excluded; `held` counts unreleased placements."""

    upstreams: list[Upstream]
    held: int = 0
    placed: list[str] = field(default_factory=list)
    reported_lost: list[str] = field(default_factory=list)

    async def place(self, request: CallerRequest, exclude: tuple[str, ...] = ()) -> Placement:
        """Return the first upstream; raise Refusal if all are excluded."""
        for upstream in self.upstreams:
            if upstream.name not in exclude:
                self.held += 1
                self.placed.append(upstream.name)
                return Placement(upstream, "static", tuple(exclude))
        raise refuse(503, NO_UPSTREAM, "no engine is left", 1.0)

    def report_engine(self, engine: str, incarnation: int = 0, failed: bool = False) -> None:
        """Record an engine that is reported as failed."""
        if failed:
            self.reported_lost.append(engine)

    def release(self, request: CallerRequest, placement: Placement) -> None:
        """Release a placement."""
        self.held -= 1


@dataclass(slots=True)
class Router:
    """Holds a running router and the parts that tests inspect."""

    node: Node
    placer: StaticPlacer
    url: str
    port: int
    http: aiohttp.ClientSession


def build_test_configuration(within_s: float = 20.0) -> Configuration:
    """Return a configuration with two teams and a class of each kind that tests need."""
    services = {"pool": ServiceSpec("pool", "engine"), "desk": ServiceSpec("desk", "plain")}
    classes = {
        "draft": ClassSpec("draft", ClassKind.CHAT, "pool", within_s),
        "secret": ClassSpec("secret", ClassKind.CHAT, "pool", within_s),
        "check": ClassSpec("check", ClassKind.LOOKUP, "desk", within_s),
    }
    teams = {
        "yard": TeamSpec("yard", hashlib.sha256(KEY.encode()).hexdigest(), ("draft", "check")),
        "depot": TeamSpec("depot", hashlib.sha256(b"other-key").hexdigest()),
    }
    return Configuration(1, services, classes, teams)


@contextlib.asynccontextmanager
async def run_router(
    *engines: ScriptedEngine, within_s: float = 20.0, body_timeout_s: float = 5.0
) -> AsyncIterator[Router]:
    """Start the engines, and a router that places on the first one that is not excluded."""
    registry.load_plugins()
    upstreams = []
    for engine in engines:
        await engine.start(engine.address or "127.0.0.1:0")
        upstreams.append(Upstream(engine.name, "pool", "a", engine.address))
    settings = Settings(
        *("r", "region", "a", "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"),
        *("http://127.0.0.1:1", "http://127.0.0.1:1", "http://127.0.0.1:1", "http://127.0.0.1:1"),
        b"key",
        "0" * 64,
    )
    connector = BoundedConnector(limit=0)
    async with aiohttp.ClientSession(connector=connector) as http:
        node = build_node(settings, http, http)
        node.placer = placer = StaticPlacer(upstreams)  # type: ignore[assignment]
        configuration = build_test_configuration(within_s)
        node.change_log = SimpleNamespace(configuration=configuration, confirmed=True)  # type: ignore[assignment]
        listener = Listener(CallerServer(node, body_timeout_s).build())
        await listener.start("127.0.0.1:0")
        url = f"http://127.0.0.1:{listener.port}"
        try:
            async with aiohttp.ClientSession() as callers:
                yield Router(node, placer, url, listener.port, callers)
        finally:
            await listener.close()
            await node.engine_streams.close()
            for engine in engines:
                await engine.close()
