"""Free ports of loopback for processes that a test starts."""

from __future__ import annotations

import random
import socket

# Ports below 32768 are not given to outgoing connections, which took a picked port before the
# process that it was meant for could bind it.
PORTS = (10_000, 32_700)
BLOCK_PORTS = 64
_free_ports: list[int] = []
_locks: list[socket.socket] = []


def find_free_address() -> str:
    """Return a loopback address whose port was free a moment ago; no port is returned twice."""
    while True:
        if not _free_ports:
            _take_block()
        port = _free_ports.pop()
        with socket.socket() as probe:
            try:
                probe.bind(("127.0.0.1", port))
            except OSError:
                continue
        return f"127.0.0.1:{port}"


def _take_block() -> None:
    """Take a block of ports; its first one stays bound while this process lives.

    Fleets that run at the same time picked the same ports before their processes bound them.
    """
    while True:
        first = random.randrange(*PORTS, BLOCK_PORTS)
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
    """Return ports of loopback that were free a moment ago."""
    return [int(find_free_address().rpartition(":")[2]) for _ in range(count)]
