"""Callers around a planned stop: bodies that come slowly, slow readers, streams that last."""

from __future__ import annotations

import asyncio
import random
import socket
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass

import aiohttp

from soak.record import Record, Sent
from standin.entryconfig import HOST, KEY, build_route, build_routes

# Longer than the grace, so that no deadline ends a request before the stop does.
SLOW_DEADLINE_S = 8.0
ANSWER_TIMEOUT_S = SLOW_DEADLINE_S + 2.0
BODY_PIECES = 4
RECEIVE_BUFFER_BYTES = 4096
READ_BYTES = 8192
# A slow reader takes a part this often, also after it has paused.
READ_INTERVAL_S = 0.02


@dataclass(frozen=True, slots=True)
class Pace:
    """Holds how slowly a request is sent and its answer is read; times are in seconds."""

    kind: str
    body_s: float = 0.0
    read_pause_s: float = 0.0
    deadline_s: float = SLOW_DEADLINE_S


def build_soak_routes() -> list[dict[str, object]]:
    """Return one route of each kind, and those of slow requests, which run once at most."""
    timeout_ms = int(SLOW_DEADLINE_S * 1000)
    return [
        *build_routes(),
        build_route("long", "stream", attempts=1, timeoutMs=timeout_ms),
        build_route("big", "safe", attempts=1, timeoutMs=timeout_ms),
    ]


def draw_pace(rng: random.Random) -> Pace:
    """Draw a request whose parts come apart."""
    choices = (
        Pace("long"),
        Pace("long", body_s=rng.uniform(0.5, 4.5)),
        Pace("long", read_pause_s=rng.uniform(0.2, 2.0)),
        Pace("big", read_pause_s=rng.uniform(0.2, 3.0)),
        Pace("big", body_s=rng.uniform(0.5, 3.0), read_pause_s=rng.uniform(0.2, 2.0)),
    )
    return rng.choice(choices)


class SlowCaller:
    """Sends requests to one lifetime of one instance, each over a new connection."""

    def __init__(
        self, name: str, instance: int, lifetime: int, url: str, record: Record, rng: random.Random
    ):
        self._name = name
        self._instance = instance
        self._lifetime = lifetime
        self._url = url
        self._record = record
        self._rng = rng
        self._count = 0

    async def run_until(self, stopped: asyncio.Event) -> None:
        """Send one request after the other until the event is set."""
        while not stopped.is_set():
            await self.call(draw_pace(self._rng))
            await asyncio.sleep(self._rng.uniform(0.0, 0.2))

    async def call(self, pace: Pace) -> None:
        """Send a request and record what came of it."""
        self._count += 1
        now_s = time.monotonic()
        sent = Sent(
            id=f"{self._name}-{self._count}",
            kind=pace.kind,
            instance=self._instance,
            lifetime=self._lifetime,
            key=KEY,
            sent_s=now_s,
            deadline_s=now_s + pace.deadline_s,
        )
        self._record.sent.append(sent)
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await self._exchange(sent, pace)
        except (aiohttp.ClientError, TimeoutError) as error:
            sent.error = f"{type(error).__name__}: {error}"
        sent.ended_s = time.monotonic()

    async def _exchange(self, sent: Sent, pace: Pace) -> None:
        headers = {
            "Host": HOST,
            "Request-Id": sent.id,
            "Deadline-Ms": str(int(pace.deadline_s * 1000)),
            "Authorization": f"Bearer {sent.key}",
        }
        if self._rng.random() < 0.5:
            headers["Content-Length"] = str(len(sent.id))
        connector = aiohttp.TCPConnector(socket_factory=_open_narrow_socket)
        body = _send_slowly(sent, pace.body_s)
        async with (
            aiohttp.ClientSession(connector=connector, read_bufsize=READ_BYTES) as http,
            http.post(f"{self._url}/{sent.kind}/x", headers=headers, data=body) as response,
        ):
            sent.status = response.status
            await asyncio.sleep(pace.read_pause_s)
            async for chunk in response.content.iter_any():
                sent.body += chunk
                if pace.read_pause_s > 0.0:
                    await asyncio.sleep(READ_INTERVAL_S)
            sent.complete = True


async def _send_slowly(sent: Sent, body_s: float) -> AsyncIterator[bytes]:
    """Yield the body of a request in pieces and record when the last one is due."""
    body = sent.id.encode()
    size = max(1, len(body) // BODY_PIECES)
    for at in range(0, len(body), size):
        if at > 0:
            await asyncio.sleep(body_s / BODY_PIECES)
        sent.whole_s = time.monotonic()
        yield body[at : at + size]


def _open_narrow_socket(address: aiohttp.AddrInfoType) -> socket.socket:
    """Open a socket that takes little before its reader has read."""
    narrow = socket.socket(*address[:3])
    narrow.setblocking(False)
    narrow.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    return narrow
