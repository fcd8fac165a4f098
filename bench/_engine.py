"""Engine of bench/path.py: answers every request with the same prepared events.

It speaks HTTP/1.1 over plain streams, so that it costs less than the processes under test.
"""

from __future__ import annotations

import asyncio
import json
import sys

EVENTS_PER_CHUNK = 4
LOAD_BODY = json.dumps(
    {"running": 0, "served": 0, "version": "v1", "incarnation": "1", "warm": True, "events": []}
).encode()


def build_chunks(tokens: int) -> list[bytes]:
    """Return the chunks of a body, each with a few events."""
    events = []
    for position in range(tokens):
        choice = {"index": 0, "delta": {"content": f" t{position}"}, "finish_reason": None}
        events.append(_format_event(choice))
    events.append(_format_event({"index": 0, "delta": {}, "finish_reason": "stop"}))
    events.append(b"data: [DONE]\n\n")
    chunks = []
    for at in range(0, len(events), EVENTS_PER_CHUNK):
        body = b"".join(events[at : at + EVENTS_PER_CHUNK])
        chunks.append(b"%x\r\n%b\r\n" % (len(body), body))
    chunks[-1] += b"0\r\n\r\n"
    return chunks


def _format_event(choice: dict) -> bytes:
    event = {"id": "c", "object": "chat.completion.chunk", "created": 0, "model": "m"}
    return b"data: " + json.dumps(event | {"choices": [choice]}).encode() + b"\n\n"


async def main() -> None:
    """Serve on the first argument; the second is the number of tokens."""
    chunks = build_chunks(int(sys.argv[2]))

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                await _answer(reader, writer, chunks)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    host, _, port = sys.argv[1].rpartition(":")
    server = await asyncio.start_server(serve, host, int(port))
    await server.serve_forever()


async def _answer(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, chunks: list[bytes]
) -> None:
    head = await reader.readuntil(b"\r\n\r\n")
    if head.startswith(b"GET "):
        # The daemon's probes and events polls: /load and /events.
        writer.write(
            b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n%b" % (len(LOAD_BODY), LOAD_BODY)
        )
        return
    headers = {}
    for line in head.decode().split("\r\n")[1:]:
        name, _, value = line.partition(":")
        headers[name.lower()] = value.strip()
    await reader.readexactly(int(headers.get("content-length", "0")))
    request_id = headers.get("x-request-id", "")
    writer.write(
        f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Request-Id: {request_id}\r\n"
        "X-Engine-Incarnation: 1\r\nX-Engine-Version: v1\r\n"
        "Transfer-Encoding: chunked\r\n\r\n".encode()
    )
    for chunk in chunks:
        writer.write(chunk)
        # Lets other requests run between chunks, as a batching engine does.
        await asyncio.sleep(0)


if __name__ == "__main__":
    asyncio.run(main())
