"""Keeps closed connections of a process that ends until their bytes have been sent."""

from __future__ import annotations

import asyncio
import socket
import struct

from jayyoke.utils.unwritten import count_unacknowledged_bytes

READ_BYTES = 64 << 10
# Input that is discarded of one socket in one sweep, so that a fast sender doesn't hold the loop.
MAX_READS = 16


def reset_transport(transport: asyncio.Transport) -> None:
    """Close a connection with a reset, which drops bytes that are not sent or not read."""
    opened = transport.get_extra_info("socket")
    if opened is not None and opened.fileno() >= 0:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    transport.abort()


class ClosingSockets:
    """Holds duplicates of sockets whose connections are closed.

    The system drops what it has not sent yet if a socket is closed with unread input, and what it
    sends after the end of a process may be lost with the machine.
    """

    __slots__ = ("_sockets",)

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    @property
    def unsent_bytes(self) -> int:
        """Return how many bytes of all sockets are not sent yet."""
        return sum(count_unacknowledged_bytes(kept) for kept in self._sockets)

    def keep(self, transport: asyncio.BaseTransport) -> None:
        """Keep the socket of a connection that is about to be closed, if bytes are unsent."""
        opened = transport.get_extra_info("socket")
        if opened is None or count_unacknowledged_bytes(opened) == 0:
            return
        kept = opened.dup()
        try:
            kept.shutdown(socket.SHUT_WR)
        except OSError:
            kept.close()
            return
        self._sockets.append(kept)

    def sweep(self) -> None:
        """Discard input, and close the sockets whose bytes have been sent."""
        still_open = []
        for kept in self._sockets:
            if _discard_input(kept) and count_unacknowledged_bytes(kept) > 0:
                still_open.append(kept)
                continue
            kept.close()
        self._sockets = still_open

    def close(self) -> None:
        """Close all sockets."""
        for kept in self._sockets:
            kept.close()
        self._sockets = []


def _discard_input(kept: socket.socket) -> bool:
    """Read what has arrived; return False if the connection has failed."""
    try:
        for _ in range(MAX_READS):
            if not kept.recv(READ_BYTES):
                break
    except BlockingIOError:
        pass
    except OSError:
        return False
    return True
