"""Callers around a planned stop: bodies that come slowly, slow readers, streams that last."""

from __future__ import annotations

import asyncio
import http.client
import io
import random
import socket
import time
from collections.abc import AsyncIterator, Coroutine
from dataclasses import dataclass

import aiohttp

from soak.record import Record, Sent
from standin.entryconfig import HOST, KEY, build_route, build_routes

HOST_ADDRESS = "127.0.0.1"
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
        self, name: str, instance: int, lifetime: int, port: int, record: Record, rng: random.Random
    ):
        self._name = name
        self._instance = instance
        self._lifetime = lifetime
        self._port = port
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
        sent = self._add_sent(pace.kind, SLOW_DEADLINE_S)
        await self._finish(sent, self._exchange(sent, pace))

    async def call_at_once(self, deadline_s: float) -> None:
        """Connect and send a request in one packet."""
        sent = self._add_sent("long", deadline_s)
        await self._finish(sent, self._exchange_at_once(sent))

    def _add_sent(self, kind: str, deadline_s: float) -> Sent:
        self._count += 1
        now_s = time.monotonic()
        sent = Sent(
            id=f"{self._name}-{self._count}",
            kind=kind,
            instance=self._instance,
            lifetime=self._lifetime,
            key=KEY,
            sent_s=now_s,
            deadline_s=now_s + deadline_s,
        )
        self._record.sent.append(sent)
        return sent

    async def _finish(self, sent: Sent, exchange: Coroutine[None, None, None]) -> None:
        try:
            async with asyncio.timeout(ANSWER_TIMEOUT_S):
                await exchange
        except (aiohttp.ClientError, http.client.HTTPException, OSError) as error:
            sent.error = f"{type(error).__name__}: {error}"
        sent.ended_s = time.monotonic()

    async def _exchange(self, sent: Sent, pace: Pace) -> None:
        headers = _build_headers(sent)
        if self._rng.random() < 0.5:
            headers["Content-Length"] = str(len(sent.id))
        connector = aiohttp.TCPConnector(socket_factory=_open_narrow_socket)
        body = _send_slowly(sent, pace.body_s)
        url = f"http://{HOST_ADDRESS}:{self._port}/{sent.kind}/x"
        async with (
            aiohttp.ClientSession(connector=connector, read_bufsize=READ_BYTES) as session,
            session.post(url, headers=headers, data=body) as response,
        ):
            sent.status = response.status
            await asyncio.sleep(pace.read_pause_s)
            async for chunk in response.content.iter_any():
                sent.body += chunk
                if pace.read_pause_s > 0.0:
                    await asyncio.sleep(READ_INTERVAL_S)
            sent.complete = True

    async def _exchange_at_once(self, sent: Sent) -> None:
        reader, writer = await asyncio.open_connection(HOST_ADDRESS, self._port)
        headers = _build_headers(sent) | {"Connection": "close"}
        lines = [f"POST /{sent.kind}/x HTTP/1.1", f"Content-Length: {len(sent.id)}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        writer.write(("\r\n".join(lines) + "\r\n\r\n" + sent.id).encode())
        sent.whole_s = time.monotonic()
        try:
            received = await reader.read()
        finally:
            writer.close()
        response = http.client.HTTPResponse(_Received(received))  # type: ignore[arg-type]
        response.begin()
        sent.status = response.status
        sent.body = response.read()
        sent.complete = True


class _Received:
    """Lets the parser of the standard library read bytes as if from a socket."""

    def __init__(self, received: bytes):
        self._received = received

    def makefile(self, _mode: str) -> io.BytesIO:
        """Return a file of the bytes."""
        return io.BytesIO(self._received)


def _build_headers(sent: Sent) -> dict[str, str]:
    return {
        "Host": HOST,
        "Request-Id": sent.id,
        "Deadline-Ms": str(int((sent.deadline_s - sent.sent_s) * 1000)),
        "Authorization": f"Bearer {sent.key}",
    }


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
