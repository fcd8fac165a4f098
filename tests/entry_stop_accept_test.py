"""Tests of connections that an entry instance accepts just before it stops to listen."""

from __future__ import annotations

import asyncio
import socket
import time

from jayyoke.scripts.drain import drain
from standin.entryconfig import HOST, KEY
from standin.entryupstream import ReceivedRequest, format_answer
from tests.entryrig import Rig, RunningEntry, run_rig, wait_ready

GRACE_S = 3.0
BALANCED_S = GRACE_S / 2
# The loop is held up this long, so that the connection and the end of the window come together.
HELD_UP_S = 0.1
# The background tasks of a process take so long to end.
TASKS_END_S = 0.05
WORK_S = 0.5


def connect_and_hold_up(port: int) -> socket.socket:
    """Send a request over a new connection, then hold up the event loop."""
    client = socket.create_connection(("127.0.0.1", port))
    head = (
        f"POST /unsafe/x HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: r1\r\nDeadline-Ms: 800\r\n"
        f"Authorization: Bearer {KEY}\r\nContent-Length: 1\r\n\r\nx"
    )
    client.sendall(head.encode())
    client.setblocking(False)
    time.sleep(HELD_UP_S)
    return client


async def stop(entry: RunningEntry) -> None:
    """Stop an instance as its process does after SIGTERM."""
    await drain(entry.instance.listener, entry.instance.stop_window, GRACE_S)
    await asyncio.sleep(TASKS_END_S)
    await entry.instance.listener.close()


async def read_answer(client: socket.socket) -> bytes:
    """Return all that the instance sends until it closes the connection."""
    reader, writer = await asyncio.open_connection(sock=client)
    try:
        return await reader.read()
    except ConnectionResetError:
        return b""
    finally:
        writer.close()


class TestLastConnection:
    """Tests a connection that is accepted as the balancer's window ends."""

    def test_request_that_was_passed_on_gets_its_whole_answer(self):
        """Guards against a drain that ends before it knows of the connections accepted last."""

        async def slow(request: ReceivedRequest, writer: asyncio.StreamWriter) -> None:
            await asyncio.sleep(WORK_S)
            writer.write(format_answer(request, b"done"))
            await writer.drain()

        async def test(rig: Rig) -> None:
            upstream = await rig.add_upstream("u1", slow)
            entry = await rig.add_entry()
            await wait_ready(entry, 1)
            port = entry.instance.listener.port
            clients: list[socket.socket] = []
            asyncio.get_running_loop().call_later(
                BALANCED_S - HELD_UP_S / 2, lambda: clients.append(connect_and_hold_up(port))
            )
            await stop(entry)
            answer = await read_answer(clients[0])
            if upstream.received:
                assert answer.endswith(b"done")

        run_rig(test)
