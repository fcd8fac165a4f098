"""Sockets for outgoing connections from a given source address."""

from __future__ import annotations

import socket
from collections.abc import Callable
from ipaddress import ip_address

# Linux's value; the socket module defines the constant only from Python 3.12 on.
_IP_BIND_ADDRESS_NO_PORT = 24
_IP_VERSIONS = {socket.AF_INET: 4, socket.AF_INET6: 6}


def open_socket(family: int, source: str) -> socket.socket:
    """Return a non-blocking TCP socket bound to the IP address `source`; raise OSError.

    If the source is empty, unspecified or of another family, the system chooses the address.
    """
    sock = socket.socket(family, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        if _is_usable(family, source):
            if family == socket.AF_INET:
                # Without it, connections to all targets share one range of ports of the source.
                sock.setsockopt(socket.IPPROTO_IP, _IP_BIND_ADDRESS_NO_PORT, 1)
            sock.bind((source, 0))
    except OSError:
        sock.close()
        raise
    return sock


def build_socket_factory(source: str) -> Callable[[tuple], socket.socket]:
    """Return a socket factory for aiohttp connectors; its argument is a getaddrinfo result."""
    return lambda address_info: open_socket(address_info[0], source)


def _is_usable(family: int, source: str) -> bool:
    if not source:
        return False
    address = ip_address(source)
    return not address.is_unspecified and address.version == _IP_VERSIONS.get(family)
