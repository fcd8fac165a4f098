"""Engine for the request path: sends the same prepared events to every request.

It speaks HTTP/1.1 over plain streams, so that its own cost stays below that of what is measured.
"""

from __future__ import annotations

import asyncio
import json
import sys

BURST_TOKENS = 4
LOAD = json.dumps(
    {"running": 0, "served": 0, "version": "v1", "incarnation": "1", "warm": True, "events": []}
).encode()


def build_events(tokens: int) -> list[bytes]:
    """Return the parts of a body; each holds a few events and is one chunk."""
    events = []
    for position in range(tokens):
        choice = {"index": 0, "delta": {"content": f" t{position}"}, "finish_reason": None}
        events.append(_format(choice))
    events.append(_format({"index": 0, "delta": {}, "finish_reason": "stop"}))
    events.append(b"data: [DONE]\n\n")
    parts = []
    for at in range(0, len(events), BURST_TOKENS):
        body = b"".join(events[at : at + BURST_TOKENS])
        parts.append(b"%x\r\n%b\r\n" % (len(body), body))
    parts[-1] += b"0\r\n\r\n"
    return parts


def _format(choice: dict) -> bytes:
    event = {"id": "c", "object": "chat.completion.chunk", "created": 0, "model": "m"}
    return b"data: " + json.dumps(event | {"choices": [choice]}).encode() + b"\n\n"


async def main() -> None:
    """Serve on the first argument; the second is the number of tokens."""
    parts = build_events(int(sys.argv[2]))

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await _answer(reader, writer, parts)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    host, _, port = sys.argv[1].rpartition(":")
    server = await asyncio.start_server(serve, host, int(port))
    await server.serve_forever()


async def _answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, parts: list[bytes]
) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    if head.startswith(b"GET "):
        # Probes of the daemon: /load and /events.
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (len(LOAD), LOAD)
        )
        return
    headers = {}
    for line in head.decode().split("\r\n")[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    await reader.readexactly(int(headers.get("content-length", "0")))
    echoed = headers.get("x-request-id", "")
    writer.write(
        f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {echoed}\r\n"
        "X-Engine-Incarnation: 1\r\nX-Engine-Version: v1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n".encode()
    )
    for part in parts:
        writer.write(part)
        # Lets other requests run in between, as a batching engine does.
        await asyncio.sleep(0)


if __name__ == "__main__":
    asyncio.run(main())
