"""Operator servers of several instances in one thread, over a table in memory, for tests."""

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
from jayyoke.ops.digest import Digests
from jayyoke.ops.domain import Domains
from jayyoke.ops.halt import Halts
from jayyoke.ops.node import Node
from jayyoke.parser.settings import Settings
from jayyoke.platform.listing import ListedInstance, Snapshot
from jayyoke.platform.table import Put, Row
from jayyoke.server.operator import OperatorServer
from jayyoke.wire.local import LocalHub

KEY = "operator-key"
KEY_SHA256 = "c9736463f555cdb7d2a78cfd7aa8b8c4f09d906d78f8dab9228eda30a28c2818"


class MemoryTable:
    """Keeps rows in memory; loses answers and stops on request."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.down = False
        self.unknown = False
        self.before_commit: Callable[[], Awaitable[None]] | None = None

    async def get(self, key: str) -> Row | None:
        """Return a row."""
        self._check()
        return self.rows.get(key)

    async def scan(self, prefix: str, after: str = "", limit: int = 100) -> list[Row]:
        """Return rows in key order."""
        self._check()
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        return [self.rows[key] for key in keys[:limit]]

    async def commit(self, puts: list[Put]) -> None:
        """Write rows that must not exist."""
        self._check()
        if self.unknown:
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

    def _check(self) -> None:
        if self.down:
            raise StoreUnavailable("down", Effect.NONE)


@dataclass
class FakeHealth:
    """Knows one worker in zug-c."""

    has_list = True

    def candidates(self, service: str) -> tuple[Upstream, ...]:
        """Return the worker."""
        return (Upstream("worker-0", service, "zug-c", "127.0.0.1:1"),)


class FakeMoves:
    """Starts moves that nothing carries out."""

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
    """Lists the instances of the fleet and whatever a test adds."""

    def __init__(self, names: tuple[str, ...]):
        self.names = list(names)
        self.down = False

    async def read(self) -> Snapshot:
        """Return the list."""
        if self.down:
            raise StoreUnavailable("down")
        return Snapshot(tuple(ListedInstance(name, name, "") for name in self.names), ())


class OperatorFleet:
    """Runs the operator servers of some instances; instance names are their domains."""

    def __init__(self, names: tuple[str, ...]):
        self.names = names
        self.table = MemoryTable()
        self.listing = FakeListing(names)
        self.hub = LocalHub()
        self.nodes: list[Node] = []
        self.urls: list[str] = []
        self._servers: list[TestServer] = []
        self._loop = asyncio.new_event_loop()
        self._thread = threading.Thread(target=self._loop.run_forever, daemon=True)

    def __enter__(self) -> OperatorFleet:
        self._thread.start()
        self.call(self._start())
        return self

    def __exit__(self, *_: object) -> None:
        self.call(self._stop())
        self._loop.call_soon_threadsafe(self._loop.stop)
        self._thread.join()
        self._loop.close()

    def call(self, work: Awaitable[Any]) -> Any:
        """Return the result of a coroutine run on the servers' loop."""
        return asyncio.run_coroutine_threadsafe(work, self._loop).result(30)

    def refresh(self, *indexes: int) -> None:
        """Let instances read the table."""
        for index in indexes:
            self.call(self.nodes[index].change_log.refresh())

    async def _start(self) -> None:
        for name in self.names:
            node = self._build(name)
            server = TestServer(OperatorServer(node).build())
            await server.start_server()
            self.nodes.append(node)
            self.urls.append(str(server.make_url("")).rstrip("/"))
            self._servers.append(server)

    async def _stop(self) -> None:
        for server in self._servers:
            await server.close()

    def _build(self, name: str) -> Node:
        address = "127.0.0.1:1"
        url = "http://127.0.0.1:1"
        peers = self.hub.join(Member(name, name, 7, address))
        settings = Settings(
            name, "ch", name, address, address, address, url, url, url, url, b"", KEY_SHA256
        )
        clock = ManualClock()
        digests = Digests(peers)
        # Without peers a node reads the table only when a test says so, and can lag.
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
        )
