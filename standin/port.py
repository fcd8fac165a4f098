"""Free loopback ports for processes that a test starts."""

from __future__ import annotations

import random
import socket

# Outgoing connections get ports from 32768 on; they could take a chosen port before the process
# that it was chosen for binds it.
PORT_RANGE = (10_000, 32_700)
BLOCK_PORTS = 64
_free_ports: list[int] = []
_locks: list[socket.socket] = []


def find_free_address() -> str:
    """Return a loopback address whose port was free just now; no port is returned twice."""
    while True:
        if not _free_ports:
            _reserve_block()
        port = _free_ports.pop()
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"


def _reserve_block() -> None:
    """Reserve a block of ports by keeping its first port bound while this process lives.

    Without it, fleets that start at the same time choose the same ports before they bind them.
    """
    while True:
        first = random.randrange(*PORT_RANGE, BLOCK_PORTS)
        lock = socket.socket()
        try:
            lock.bind(("127.0.0.1", first))
        except OSError:
            lock.close()
            continue
        _locks.append(lock)
        _free_ports.extend(range(first + 1, first + BLOCK_PORTS))
        return


def find_free_ports(count: int) -> list[int]:
    """Return loopback ports that were free just now; no port is returned twice."""
    return [int(find_free_address().rpartition(":")[2]) for _ in range(count)]
