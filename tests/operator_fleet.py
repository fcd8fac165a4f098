"""Operator servers of several instances in one thread, over a table in memory."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from types import SimpleNamespace
from typing import Any

from aiohttp.test_utils import TestServer

from jayyoke.core.clock import ManualClock
from jayyoke.core.error import Conflict, Effect, StoreUnavailable
from jayyoke.core.member import Member
from jayyoke.core.move import Move, MoveActive
from jayyoke.core.upstream import Upstream
from jayyoke.ops.changelog import ChangeLog
from jayyoke.ops.chatparts import ChatParts
from jayyoke.ops.digest import Digests
from jayyoke.ops.domain import Domains
from jayyoke.ops.halt import Halts
from jayyoke.ops.node import Node
from jayyoke.ops.notices import UpstreamNotices
from jayyoke.parser.settings import Settings
from jayyoke.platform.listing import ListedInstance, Snapshot
from jayyoke.platform.table import Put, Row
from jayyoke.server.operator import OperatorServer
from jayyoke.wire.local import LocalHub

KEY = "operator-key"
KEY_SHA256 = "c9736463f555cdb7d2a78cfd7aa8b8c4f09d906d78f8dab9228eda30a28c2818"


class FakeTable:
    """Keeps rows in memory; a test can make it unavailable or leave a commit's effect unknown."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.down = False
        self.effect_unknown = False
        self.before_commit: Callable[[], Awaitable[None]] | None = None

    async def get(self, key: str) -> Row | None:
        """Return a row."""
        self._check_available()
        return self.rows.get(key)

    async def scan(self, prefix: str, after: str = "", limit: int = 100) -> list[Row]:
        """Return rows in key order."""
        self._check_available()
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        return [self.rows[key] for key in keys[:limit]]

    async def commit(self, puts: list[Put]) -> None:
        """Write new rows; raise Conflict if one of the keys exists."""
        self._check_available()
        if self.effect_unknown:
            self.down = True
            raise StoreUnavailable("no answer", Effect.UNKNOWN)
        hook, self.before_commit = self.before_commit, None
        if hook is not None:
            await hook()
        conflicts = [index for index, put in enumerate(puts) if put.key in self.rows]
        if conflicts:
            raise Conflict(conflicts)
        for put in puts:
            self.rows[put.key] = Row(put.key, put.value, 1)

    def _check_available(self) -> None:
        if self.down:
            raise StoreUnavailable("down", Effect.NONE)


@dataclass
class FakeHealth:
    """Lists one worker, in the domain zug-c."""

    has_list = True
    notices = UpstreamNotices(lambda: 0.0)

    def candidates(self, service: str) -> tuple[Upstream, ...]:
        """Return the worker."""
        return (Upstream("worker-0", service, "zug-c", "127.0.0.1:1"),)


class FakeMoves:
    """Records moves without executing them."""

    def __init__(self) -> None:
        self.moves: tuple[Move, ...] = ()

    async def start(self, service: str, version: str, deadline_in_s: float) -> Move:
        """Add a move; raise MoveActive if there is an active one."""
        for move in self.moves:
            if move.active:
                raise MoveActive(move)
        fence = len(self.moves) + 1
        move = Move(f"{service}:{version}:{fence}", service, "v1", version, 0.0, deadline_in_s)
        self.moves = (*self.moves, move)
        return move


class FakeListing:
    """Lists the instances of the fleet."""

    def __init__(self, names: tuple[str, ...]):
        self.names = list(names)
        self.down = False

    async def read(self) -> Snapshot:
        """Return the list."""
        if self.down:
            raise StoreUnavailable("down")
        return Snapshot(tuple(ListedInstance(name, name, "") for name in self.names), ())


class OperatorFleet:
    """Runs the operator servers of several instances, each in a domain of the same name."""

    def __init__(self, names: tuple[str, ...]):
        self.names = names
        self.table = FakeTable()
        self.listing = FakeListing(names)
        self.hub = LocalHub()
        self.nodes: list[Node] = []
        self.urls: list[str] = []
        self._servers: list[TestServer] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def __enter__(self) -> OperatorFleet:
        self._thread.start()
        self.run_coroutine(self._start())
        return self

    def __exit__(self, *_: object) -> None:
        self.run_coroutine(self._stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def run_coroutine(self, coroutine: Awaitable[Any]) -> Any:
        """Run a coroutine on the servers' loop and return its result."""
        return asyncio.run_coroutine_threadsafe(coroutine, self._loop).result(30)

    def refresh(self, *indexes: int) -> None:
        """Make the instances at these indexes read the table."""
        for index in indexes:
            self.run_coroutine(self.nodes[index].change_log.refresh())

    async def _start(self) -> None:
        for name in self.names:
            node = self._build_node(name)
            server = TestServer(OperatorServer(node).build())
            await server.start_server()
            self.nodes.append(node)
            self.urls.append(str(server.make_url("")).rstrip("/"))
            self._servers.append(server)

    async def _stop(self) -> None:
        for server in self._servers:
            await server.close()

    def _build_node(self, name: str) -> Node:
        address = "127.0.0.1:1"
        url = "http://127.0.0.1:1"
        peers = self.hub.join(Member(name, name, 7, address))
        settings = Settings(
            name, "ch", name, address, address, address, url, url, url, url, b"", KEY_SHA256
        )
        clock = ManualClock()
        digests = Digests(peers)
        # Without peers, a node reads the table only in `refresh`, so that a test can let it lag.
        change_log = ChangeLog(self.table)
        return Node(
            settings=settings,
            clock=clock,
            http=None,
            table=self.table,
            listing=self.listing,
            change_log=change_log,
            health=FakeHealth(),
            placer=None,
            peers=peers,
            dispatch=SimpleNamespace(steward=SimpleNamespace(skips_grace_period=lambda: True)),
            prober=SimpleNamespace(has_probed_all=lambda: True),
            durable_work=None,
            domains=Domains(change_log, peers, digests, clock),
            halts=Halts(change_log, peers, digests, clock),
            chat_parts=ChatParts(self.table, peers, clock),
        )
