"""Stand-in of an upstream on the users' machines that answers by a test's script."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

from jayyoke.utils.task import cancel_tasks


@dataclass(slots=True)
class ReceivedRequest:
    """Holds a request as the upstream received it; header names are in lower case."""

    line: str
    headers: list[tuple[str, str]]
    body: bytes
    connection: int

    @property
    def id(self) -> str:
        """Return the request's id."""
        return self.get("request-id")

    def get(self, name: str) -> str:
        """Return a header's value, or an empty text."""
        return next((value for found, value in self.headers if found == name), "")


Script = Callable[[ReceivedRequest, asyncio.StreamWriter], Awaitable[None]]


@dataclass(slots=True)
class EntryUpstream:
    """Listens on loopback and answers each request by its script."""

    name: str
    script: Script
    received: list[ReceivedRequest] = field(default_factory=list)
    connections: int = 0
    closed_connections: int = 0
    address: str = ""
    _server: asyncio.Server | None = None
    _tasks: set[asyncio.Task[None]] = field(default_factory=set)

    async def start(self, port: int = 0) -> None:
        """Listen on a port, or on a free one."""
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", port)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def close(self) -> None:
        """Stop listening and end every connection."""
        if self._server is not None:
            self._server.close()
        await cancel_tasks(self._tasks)

    def describe(self, service: str, **changes: object) -> dict[str, object]:
        """Return the row that the upstream writes into the store."""
        entry: dict[str, object] = {
            "backend": service,
            "address": self.address,
            "az": "zone-a",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "warmupLeftMs": 0,
            "seqno": 1,
            "born": 1_700_000_000_000,
        }
        return entry | changes

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        self.connections += 1
        number = self.connections
        try:
            while True:
                request = await _read_request(reader, number)
                if request is None:
                    break
                self.received.append(request)
                answering = asyncio.ensure_future(self.script(request, writer))
                disconnected = asyncio.ensure_future(_wait_closed(reader, writer))
                await asyncio.wait((answering, disconnected), return_when=asyncio.FIRST_COMPLETED)
                disconnected.cancel()
                if not answering.done():
                    answering.cancel()
                    break
                await answering
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            # The caller or the test ended the connection.
            pass
        finally:
            self.closed_connections += 1
            self._tasks.discard(task)
            writer.close()


async def _wait_closed(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    while not reader.at_eof() and not writer.transport.is_closing():
        await asyncio.sleep(0.005)


async def _read_request(reader: asyncio.StreamReader, connection: int) -> ReceivedRequest | None:
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = []
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers.append((name.lower(), value.strip()))
    length = next((int(value) for name, value in headers if name == "content-length"), 0)
    body = await reader.readexactly(length)
    return ReceivedRequest(lines[0], headers, body, connection)


def format_answer(
    request: ReceivedRequest, body: bytes, status: str = "200 OK", **headers: str
) -> bytes:
    """Return a complete signed answer; underscores in header names become dashes."""
    lines = [f"HTTP/1.1 {status}", f"Request-Id: {request.id}", "Worker-Signature: sig"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


def format_stream_head(request: ReceivedRequest) -> bytes:
    """Return the head of a chunked stream."""
    head = (
        f"HTTP/1.1 200 OK\r\nRequest-Id: {request.id}\r\nWorker-Signature: sig\r\n"
        "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    )
    return head.encode()


def format_chunk(data: bytes) -> bytes:
    """Return one chunk; an empty one ends the answer."""
    return b"%x\r\n%s\r\n" % (len(data), data)


def format_event(number: int) -> bytes:
    """Return the server-sent event of a number, with the number as its id."""
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


async def answer_whole(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
    """Answer with a body that names the request."""
    writer.write(format_answer(request, b"done " + request.id.encode()))
    await writer.drain()
