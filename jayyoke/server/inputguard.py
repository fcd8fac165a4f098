"""Closes clients' connections as the process-wide budget of input decides."""

from __future__ import annotations

import asyncio
import os
import resource
import socket
from collections.abc import Callable
from typing import Protocol

from jayyoke.inputlimits.budget import Client, InputBudget, derive_connection_limit
from jayyoke.inputlimits.memoryplan import RECEIVE_BYTES, MemoryPlan, plan_memory
from jayyoke.inputlimits.refusals import Reason, RefusalLog

# Connections that the system accepts before the process takes them.
MAX_BACKLOG = 512
# Connections that a listener takes at once, before the event loop closes any.
MAX_ACCEPTED_AT_ONCE = 64
MIN_ACCEPTED_AT_ONCE = 8
# Told each refusal, and how many of its reason to log now.
Report = Callable[[Reason, int], None]


class GuardedConnection(Protocol):
    """Names what the guard needs of a connection."""

    def measure(self) -> None:
        """Record what the connection holds now."""

    def cut_off(self) -> None:
        """Close the connection at once with a reset."""


class InputGuard:
    """Holds the connections of all listeners of a process."""

    def __init__(self, budget: InputBudget, report: Report | None = None):
        self.budget = budget
        self._report = report
        self._log = RefusalLog()
        self._connections: dict[Client, GuardedConnection] = {}

    @property
    def connections(self) -> int:
        """Return how many clients are connected."""
        return len(self._connections)

    def admits(self) -> bool:
        """Tell whether there is room for a connection, after closing others if need be."""
        limit = self.budget.connection_limit
        if len(self._connections) < limit:
            return True
        for client in self.budget.choose_longest(self._connections):
            self._close(client, Reason.CONNECTIONS)
        if len(self._connections) < limit:
            return True
        self.refuse(Reason.CONNECTIONS)
        return False

    def close_stalled(self) -> bool:
        """Close a connection whose client does not read its answer; return False without one."""
        now_s = asyncio.get_running_loop().time()
        client = self.budget.choose_stalled(self._connections, now_s)
        if client is None:
            return False
        self._close(client, Reason.STALLED)
        return True

    def open(self, connection: GuardedConnection) -> Client:
        """Count a new connection."""
        client = Client(asyncio.get_running_loop().time())
        self._connections[client] = connection
        return client

    def hold(self, client: Client, held_bytes: int, kept_bytes: int) -> None:
        """Record how much a connection holds, and close others or itself if that is too much."""
        if client not in self._connections:
            return
        self.budget.hold(client, held_bytes, kept_bytes)
        if self.budget.short:
            self._free()

    def update(self, client: Client, held_bytes: int, kept_bytes: int) -> None:
        """Record how much a connection holds."""
        if client in self._connections:
            self.budget.hold(client, held_bytes, kept_bytes)

    def close(self, client: Client) -> None:
        """Count a connection no more."""
        if self._connections.pop(client, None) is not None:
            self.budget.hold(client, 0, 0)

    def refuse(self, reason: Reason) -> None:
        """Count a client that was refused."""
        count = self._log.note(reason, asyncio.get_running_loop().time())
        if self._report is not None:
            self._report(reason, count)

    def _free(self) -> None:
        now_s = asyncio.get_running_loop().time()
        if not self.budget.may_choose(now_s):
            return
        # Handlers have read bytes since their connections were measured.
        for connection in list(self._connections.values()):
            connection.measure()
        for client in self.budget.choose_largest(self._connections, now_s):
            self._close(client, Reason.MEMORY)

    def _close(self, client: Client, reason: Reason) -> None:
        connection = self._connections[client]
        self.close(client)
        self.refuse(reason)
        connection.cut_off()


def build_guard(report: Report | None = None, plan: MemoryPlan | None = None) -> InputGuard:
    """Return the guard of a process with the limits that its descriptors and memory allow."""
    plan = plan or plan_memory()
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    connections = min(derive_connection_limit(descriptors), plan.connections)
    return InputGuard(InputBudget(connections, plan.input_bytes), report)


async def listen(
    build_protocol: Callable[[], asyncio.BaseProtocol], address: str, guard: InputGuard
) -> asyncio.Server:
    """Listen on HOST:PORT; raise OSError.

    asyncio takes as many connections at once as its backlog says, and those that are closed keep
    their descriptors until then, so the system's backlog is set apart from it.
    """
    host, _, port = address.rpartition(":")
    at_once = max(
        MIN_ACCEPTED_AT_ONCE, min(MAX_ACCEPTED_AT_ONCE, guard.budget.connection_limit // 8)
    )
    loop = asyncio.get_running_loop()
    server = await loop.create_server(build_protocol, host, int(port), backlog=at_once)
    for listening in server.sockets:
        with socket.socket(fileno=os.dup(listening.fileno())) as duplicate:
            # Connections inherit it; the system doubles the value.
            duplicate.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BYTES // 2)
            duplicate.listen(MAX_BACKLOG)
    return server
