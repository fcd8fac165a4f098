"""Connections between instances: handshake, requests with timeouts and one-way messages."""

from __future__ import annotations

import asyncio
import contextlib
import os
import socket
from collections import Counter
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from absl import logging

from jayyoke.core.clock import Clock
from jayyoke.core.error import HandshakeCut, PeerProtocolError, PeerUnavailable
from jayyoke.core.member import Member
from jayyoke.core.peering import Message
from jayyoke.utils.sockets import open_socket
from jayyoke.utils.stalltimeout import StallTolerantTimeout
from jayyoke.wire.frame import (
    HEADER_BYTES,
    MAX_FRAME_BYTES,
    MAX_HELLO_BYTES,
    NONCE_BYTES,
    Frame,
    FrameCodec,
    derive_key,
    parse_length,
)
from jayyoke.wire.gen.constants import REVISION
from jayyoke.wire.gen.ttypes import Failure, Hello, Welcome

HANDSHAKE_TIMEOUT_S = 2.0
# One frame of the largest size. While more is queued, messages to a slow reader are dropped.
MAX_QUEUE_BYTES = MAX_FRAME_BYTES
MAX_HANDLERS = 256
_DIALLER = 1
_ACCEPTOR = 2

Dispatch = Callable[[Member, Message], Awaitable[Message | None]]


@dataclass(slots=True)
class Traffic:
    """Counts bytes by message name, including frame headers; `dropped` counts messages."""

    sent: Counter[str] = field(default_factory=Counter)
    received: Counter[str] = field(default_factory=Counter)
    dropped: int = 0


class Connection:
    """Exchanges messages with a peer over one authenticated TCP connection."""

    def __init__(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        codecs: tuple[FrameCodec, FrameCodec],
        clock: Clock,
        traffic: Traffic,
    ):
        self.member = Member("", "", 0, "")
        self.control_version = 0
        self.last_received_s = clock.now_s()
        self._reader = reader
        self._writer = writer
        self._outgoing, self._incoming = codecs
        self._clock = clock
        self._traffic = traffic
        self._pending_asks: dict[int, asyncio.Future[Message]] = {}
        self._correlation = 0
        self._handler_tasks: set[asyncio.Task[None]] = set()

    @property
    def closed(self) -> bool:
        """Tell whether messages can no longer be sent."""
        return self._writer.is_closing()

    async def ask(self, message: Message, timeout_s: float) -> Message:
        """Return the peer's answer; raise PeerUnavailable after `timeout_s` seconds."""
        self._correlation = self._correlation % (1 << 30) + 1
        correlation = self._correlation
        future: asyncio.Future[Message] = asyncio.get_running_loop().create_future()
        self._pending_asks[correlation] = future
        try:
            if not self.send(message, correlation):
                raise PeerUnavailable(f"{self.member.name}: connection is closed or its queue full")
            async with StallTolerantTimeout(timeout_s):
                answer = await future
        except TimeoutError:
            detail = f"{self.member.name} did not answer within {timeout_s} s"
            raise PeerUnavailable(detail) from None
        finally:
            self._pending_asks.pop(correlation, None)
        if isinstance(answer, Failure):
            raise PeerUnavailable(f"{self.member.name}: {answer.code}: {answer.detail}")
        return answer

    def send(self, message: Message, correlation: int = 0, answer: bool = False) -> bool:
        """Queue a message; return False if the connection is closed or its queue is full."""
        if self.closed or self._writer.transport.get_write_buffer_size() > MAX_QUEUE_BYTES:
            self._traffic.dropped += 1
            return False
        frame = self._outgoing.encode_frame(message, correlation, answer)
        self._traffic.sent[type(message).__name__] += len(frame)
        self._writer.write(frame)
        return True

    async def receive(self, limit_bytes: int = MAX_FRAME_BYTES) -> Frame:
        """Return the next frame; raise PeerProtocolError, IncompleteReadError or OSError."""
        length = parse_length(await self._reader.readexactly(HEADER_BYTES), limit_bytes)
        frame = self._incoming.decode_frame(await self._reader.readexactly(length))
        self._traffic.received[type(frame.message).__name__] += frame.size_bytes
        self.last_received_s = self._clock.now_s()
        return frame

    async def run(self, dispatch: Dispatch) -> None:
        """Handle the peer's messages and match its answers to asks until the connection ends."""
        try:
            while True:
                frame = await self.receive()
                if frame.answer:
                    self._complete_ask(frame)
                    continue
                await self._start_handler(dispatch, frame)
        except PeerProtocolError as error:
            logging.warning("connection with %s closed: %s", self.member.name, error)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.close()

    def close(self) -> None:
        """Close the connection; pending asks raise PeerUnavailable."""
        self._writer.close()
        for future in self._pending_asks.values():
            if not future.done():
                future.set_exception(PeerUnavailable(f"{self.member.name}: connection closed"))

    def _complete_ask(self, frame: Frame) -> None:
        future = self._pending_asks.get(frame.correlation)
        if future is not None and not future.done():
            future.set_result(frame.message)

    async def _start_handler(self, dispatch: Dispatch, frame: Frame) -> None:
        if len(self._handler_tasks) >= MAX_HANDLERS:
            await asyncio.wait(self._handler_tasks, return_when=asyncio.FIRST_COMPLETED)
        task = asyncio.create_task(self._handle(dispatch, frame))
        self._handler_tasks.add(task)
        task.add_done_callback(self._handler_tasks.discard)

    async def _handle(self, dispatch: Dispatch, frame: Frame) -> None:
        kind = type(frame.message).__name__
        try:
            answer = await dispatch(self.member, frame.message)
            if frame.correlation and answer is not None:
                self.send(answer, frame.correlation, answer=True)
        except Exception as error:  # An error in one handler must not end the connection.
            logging.exception("handler of %s from %s failed", kind, self.member.name)
            if frame.correlation:
                failure = Failure("handler-failed", type(error).__name__)
                self.send(failure, frame.correlation, answer=True)


async def dial(
    address: str, key: bytes, hello: Hello, clock: Clock, traffic: Traffic, source: str = ""
) -> Connection:
    """Open a connection; raise PeerProtocolError, TimeoutError or OSError."""
    async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
        reader, writer = await _connect(address, source)
        async with _closing_on_error(writer):
            nonce = _send_nonce(writer)
            connection_key = derive_key(key, nonce, await reader.readexactly(NONCE_BYTES))
            codecs = FrameCodec(connection_key, _DIALLER), FrameCodec(connection_key, _ACCEPTOR)
            connection = Connection(reader, writer, codecs, clock, traffic)
            connection.send(hello)
            frame = await connection.receive(MAX_HELLO_BYTES)
            _identify_peer(connection, frame.message, Welcome)
            return connection


async def accept(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    key: bytes,
    welcome: Welcome,
    clock: Clock,
    traffic: Traffic,
) -> Connection:
    """Accept a connection; raise PeerProtocolError, TimeoutError or OSError."""
    async with asyncio.timeout(HANDSHAKE_TIMEOUT_S), _closing_on_error(writer):
        nonce = _send_nonce(writer)
        connection_key = derive_key(key, await reader.readexactly(NONCE_BYTES), nonce)
        codecs = FrameCodec(connection_key, _ACCEPTOR), FrameCodec(connection_key, _DIALLER)
        connection = Connection(reader, writer, codecs, clock, traffic)
        frame = await connection.receive(MAX_HELLO_BYTES)
        _identify_peer(connection, frame.message, Hello)
        connection.send(welcome)
        return connection


async def _connect(address: str, source: str) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    sock = open_socket(socket.AF_INET6 if ":" in host else socket.AF_INET, source)
    try:
        await asyncio.get_running_loop().sock_connect(sock, (host, int(port)))
        return await asyncio.open_connection(sock=sock)
    except BaseException:
        sock.close()
        raise


@contextlib.asynccontextmanager
async def _closing_on_error(writer: asyncio.StreamWriter):
    try:
        yield
    except asyncio.IncompleteReadError as error:
        writer.close()
        raise HandshakeCut("connection ended during the handshake") from error
    except BaseException:
        writer.close()
        raise


def _send_nonce(writer: asyncio.StreamWriter) -> bytes:
    writer.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    nonce = os.urandom(NONCE_BYTES)
    writer.write(nonce)
    return nonce


def _identify_peer(connection: Connection, message: Message, expected: type) -> None:
    if not isinstance(message, expected):
        raise PeerProtocolError(f"{type(message).__name__} arrived instead of {expected.__name__}")
    if (message.revision or 0) < REVISION:
        raise PeerProtocolError(f"revision {message.revision} is older than {REVISION}")
    if not message.instance or not message.domain or message.incarnation is None:
        raise PeerProtocolError(f"{expected.__name__} names no instance, domain or incarnation")
    connection.control_version = message.control_version or 0
    connection.member = Member(
        message.instance,
        message.domain,
        message.incarnation,
        message.peer_address or "",
        message.operator_address or "",
        message.region or "",
    )
