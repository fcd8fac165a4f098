"""Client of the platform's service for usage reports and scale orders.

Bytes of a call must not arrive long after the call began, or another holder may have acted
meanwhile. So each call has a connection of its own, which is reset when the call is given up: the
system then drops what it has not delivered, also while this process does not run.
"""

from __future__ import annotations

import asyncio
import json
import re
import socket
import struct
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from jayyoke.core.error import DutyCallFailed
from jayyoke.platform import names

MAX_HEAD_BYTES = 32 << 10
# How often a call checks by the steady clock whether it may go on.
CHECK_PERIOD_S = 0.05
# Linux's number; the socket module does not name it in every version.
_TCP_USER_TIMEOUT = 18
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)
_CLOSE_ORDERLY = struct.pack("ii", 0, 0)
_STATUS_LINE = re.compile(rb"HTTP/1\.[01] (\d{3})(?:[ \r]|$)")


@dataclass(frozen=True, slots=True)
class Fence:
    """Identifies the holder in its calls; `may_send` tells whether it still holds the lease.

    A call takes at most `call_s` seconds by the steady clock `now_s`.
    """

    owner: str
    token: int
    call_s: float
    now_s: Callable[[], float]
    may_send: Callable[[], bool]


class DutyClient:
    """Makes calls, each on a connection of its own."""

    def __init__(self, address: str):
        self._address = address

    async def report_usage(self, fence: Fence, window: int, counts: Mapping[str, int]) -> int:
        """Report the counts of a window; return the answer's status or raise DutyCallFailed."""
        body = {"windowId": window, "counts": dict(sorted(counts.items()))}
        return await self._post(fence, names.DUTY_USAGE, body)

    async def order_upstreams(self, fence: Fence, service: str, domain: str, desired: int) -> int:
        """Order a number of upstreams; return the answer's status or raise DutyCallFailed."""
        body = {"backend": service, "az": domain, "desired": desired}
        return await self._post(fence, names.DUTY_SCALE, body)

    async def _post(self, fence: Fence, path: str, body: Mapping[str, object]) -> int:
        raw = json.dumps(body, separators=(",", ":")).encode()
        lines = (
            f"POST {path} HTTP/1.1",
            f"Host: {self._address}",
            "Content-Type: application/json",
            f"Content-Length: {len(raw)}",
            f"{names.DUTY_OWNER}: {fence.owner}",
            f"{names.FENCE_TOKEN}: {fence.token}",
            "Connection: close",
        )
        message = "\r\n".join(lines).encode() + b"\r\n\r\n" + raw
        until_s = fence.now_s() + fence.call_s

        def may_go_on() -> bool:
            return fence.now_s() < until_s and fence.may_send()

        connection = _Connection()
        task = asyncio.create_task(
            connection.exchange(self._address, message, fence.call_s, may_go_on)
        )
        try:
            while not task.done():
                await asyncio.wait((task,), timeout=CHECK_PERIOD_S)
                if not task.done() and not may_go_on():
                    raise DutyCallFailed("the call took too long", connection.begun)
            return await task
        except OSError as error:
            raise DutyCallFailed(f"{type(error).__name__}: {error}", connection.begun) from error
        finally:
            # First of all, so that nothing more is sent.
            connection.abort()
            task.cancel()
            await asyncio.wait((task,))
            if not task.cancelled():
                # It was raised, or another error was.
                task.exception()


class _Connection(asyncio.Protocol):
    """Sends one request and reads the status of its answer."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._socket: socket.socket | None = None
        self._received = b""
        self._status: asyncio.Future[int] = asyncio.get_running_loop().create_future()
        self.begun = False

    async def exchange(
        self, address: str, message: bytes, call_s: float, may_go_on: Callable[[], bool]
    ) -> int:
        """Return the status; raise OSError or DutyCallFailed."""
        loop = asyncio.get_running_loop()
        host, _, port = address.rpartition(":")
        opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        try:
            opened.setblocking(False)
            opened.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            # The system resets the connection itself if this process is suspended.
            opened.setsockopt(socket.IPPROTO_TCP, _TCP_USER_TIMEOUT, int(call_s * 1000))
            opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)
            await loop.sock_connect(opened, (host, int(port)))
            self._socket = opened
            await loop.create_connection(lambda: self, sock=opened)
        except BaseException:
            opened.close()
            raise
        assert self._transport is not None
        # No other task runs between this check and the system's call that sends the message.
        if not may_go_on():
            raise DutyCallFailed("the lease ended before the call was sent", begun=False)
        self.begun = True
        self._transport.write(message)
        status = await self._status
        self._end_orderly()
        return status

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport

    def data_received(self, data: bytes) -> None:
        """Read the head of the answer; heads of interim answers are skipped."""
        self._received += data
        while not self._status.done():
            head, end, rest = self._received.partition(b"\r\n\r\n")
            if not end:
                if len(head) > MAX_HEAD_BYTES:
                    self._fail("the head of the answer is too long")
                return
            found = _STATUS_LINE.match(head)
            if found is None:
                self._fail("the bytes are no answer")
                return
            status = int(found.group(1))
            if status >= 200:
                self._status.set_result(status)
            self._received = rest

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail the call unless it is answered."""
        self._fail(f"the connection ended: {exc or 'closed'}")

    def abort(self) -> None:
        """Reset the connection, so that the system delivers nothing more."""
        if self._transport is not None:
            self._transport.abort()
        self._status.cancel()

    def _end_orderly(self) -> None:
        assert self._transport is not None and self._socket is not None
        if self._transport.get_write_buffer_size() == 0 and self._socket.fileno() >= 0:
            self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _CLOSE_ORDERLY)
            self._transport.close()

    def _fail(self, reason: str) -> None:
        if not self._status.done():
            self._status.set_exception(DutyCallFailed(reason))
