"""Bytes that were written to a connection and have not reached its other end."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios


def count_unacknowledged_bytes(opened: socket.socket | asyncio.trsock.TransportSocket) -> int:
    """Return how many bytes the other end has not acknowledged, or 0 if that is unknown."""
    try:
        found = fcntl.ioctl(opened.fileno(), termios.TIOCOUTQ, struct.pack("i", 0))
    except (OSError, ValueError):
        return 0
    return max(0, struct.unpack("i", found)[0])


def count_unwritten_bytes(transport: asyncio.WriteTransport | None) -> int:
    """Return how many bytes wait in the process or the system, or 0 if that is unknown.

    Whoever has read a whole request has acknowledged it by the time its answer ends.
    """
    if transport is None:
        return 0
    opened = transport.get_extra_info("socket")
    unacknowledged = 0 if opened is None else count_unacknowledged_bytes(opened)
    return transport.get_write_buffer_size() + unacknowledged
