"""Fake engines for the HTTP calls of `jayyoke.ops.orders`, and a table that reports writes."""

from __future__ import annotations

import asyncio
import contextlib
import json
import random
from collections import defaultdict
from collections.abc import AsyncIterator, Awaitable, Callable, Sequence
from typing import Any

import aiohttp

from bench.memory import MemoryTable
from jayyoke.core.upstream import Upstream
from jayyoke.ops.moverow import MOVE_PREFIX, decode_move
from jayyoke.platform.table import Put

LATENCY_S = 0.005
# The longest exceeds an order's timeout, so that orders of one holder overtake each other.
SLOW_DELIVERY_S = (0.005, 0.05, 1.0, 5.0)
SHORT_DELIVERY_S = (0.005, 0.05, 0.5)
LOAD_TIMES_S = (0.5, 2.0, 4.0)


class FakeEngine:
    """Loads versions as ordered; refuses older fencing tokens if it checks them."""

    def __init__(self, name: str, version: str, checks_fencing: bool, rng: random.Random):
        self.upstream = Upstream(name, "pool", "domain", name)
        self.version = version
        self.checks_fencing = checks_fencing
        self.up = True
        self.down_s = -1e9
        self.fence = 0
        self.loading = 0
        self.orders_in_flight = 0
        # By fencing token, the processes whose orders with it were accepted.
        self.senders: dict[int, set[str]] = defaultdict(set)
        self._lock = asyncio.Lock()
        self._rng = rng

    @property
    def live(self) -> bool:
        """Tell whether the engine accepts work."""
        return self.up and not self.loading

    def build_load_body(self) -> dict[str, Any]:
        """Return the body of `GET /load`."""
        state = "loading" if self.loading else "live"
        return {"version": self.version, "incarnation": "1", "state": state, "fence": self.fence}

    async def order(self, order: dict[str, Any], sender: str) -> int:
        """Return the status of an order once the version is loaded."""
        if self.checks_fencing and order["fence"] < self.fence:
            return 409
        self.fence = max(self.fence, order["fence"])
        self.senders[order["fence"]].add(sender)
        # Orders take effect in the order of their arrival.
        self.loading += 1
        async with self._lock:
            if order["version"] != self.version:
                await asyncio.sleep(self._rng.choice(LOAD_TIMES_S))
                self.version = order["version"]
        self.loading -= 1
        return 200


class MoveTable(MemoryTable):
    """Reports every write of a move's row together with the row that it replaces."""

    def __init__(self, rng: random.Random, on_move) -> None:
        super().__init__(rng)
        self.delay_s = 0.0
        self._on_move = on_move

    async def commit(self, puts: Sequence[Put]) -> None:
        """Write at once and return `delay_s` seconds later, as a slow table does."""
        await super().commit(puts)
        await asyncio.sleep(self.delay_s)

    def _apply(self, puts: list[Put]) -> None:
        replaced_rows = {put.key: self.rows.get(put.key) for put in puts}
        super()._apply(puts)
        for put in puts:
            if put.key.startswith(MOVE_PREFIX):
                replaced = replaced_rows[put.key]
                self._on_move(
                    decode_move(replaced[0]) if replaced else None, decode_move(put.value)
                )


class FakeContent:
    """Replaces the reader of an answer's body."""

    def __init__(self, body: bytes):
        self._body = body

    async def iter_any(self) -> AsyncIterator[bytes]:
        """Yield the body."""
        yield self._body


class FakeAnswer:
    """Holds the status and body of an answer."""

    def __init__(self, status: int, body: Any = None):
        self.status = status
        self.content = FakeContent(json.dumps(body).encode())


class EngineClient:
    """Replaces the HTTP session of one process; the gate pauses its calls or stops them."""

    def __init__(
        self,
        engines: dict[str, FakeEngine],
        gate: Callable[[], Awaitable[None]],
        sender: str,
        rng: random.Random,
    ):
        self._engines = engines
        self._gate = gate
        self._sender = sender
        self._rng = rng
        self._tasks: set[asyncio.Task[int]] = set()

    @contextlib.asynccontextmanager
    async def get(self, url: str, timeout: aiohttp.ClientTimeout) -> AsyncIterator[FakeAnswer]:
        """Answer `GET /load`."""
        await self._gate()
        engine = self._find_reachable(url)
        await asyncio.sleep(LATENCY_S)
        answer = FakeAnswer(200, engine.build_load_body())
        await self._gate()
        yield answer

    @contextlib.asynccontextmanager
    async def post(
        self, url: str, json: dict[str, Any], timeout: aiohttp.ClientTimeout
    ) -> AsyncIterator[FakeAnswer]:
        """Answer `POST /orders`; an order in flight arrives even if its sender gives up."""
        engine = self._find_reachable(url)
        if engine.checks_fencing:
            # Other engines cannot reject the order of an earlier holder, a limit that
            # docs/fuzzing.md names, so their senders never pause between check and send.
            await self._gate()
        delivery_times_s = SLOW_DELIVERY_S if engine.checks_fencing else SHORT_DELIVERY_S
        task = asyncio.create_task(self._deliver(engine, json, self._rng.choice(delivery_times_s)))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        status = await asyncio.wait_for(asyncio.shield(task), timeout.total)
        await self._gate()
        yield FakeAnswer(status)

    async def _deliver(self, engine: FakeEngine, order: dict[str, Any], delivery_s: float) -> int:
        engine.orders_in_flight += 1
        await asyncio.sleep(delivery_s)
        engine.orders_in_flight -= 1
        return await engine.order(order, self._sender) if engine.up else 503

    def _find_reachable(self, url: str) -> FakeEngine:
        engine = self._engines[url.split("/")[2]]
        if not engine.up:
            raise aiohttp.ClientConnectionError("the engine is down")
        return engine
