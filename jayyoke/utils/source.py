"""Outgoing connections that start from a given address."""

from __future__ import annotations

import socket
from collections.abc import Callable
from ipaddress import ip_address

# Linux's number; the socket module names it from Python 3.12 on only.
_IP_BIND_ADDRESS_NO_PORT = 24
_VERSIONS = {socket.AF_INET: 4, socket.AF_INET6: 6}


def open_socket(family: int, source: str) -> socket.socket:
    """Return a non-blocking TCP socket bound to an IP number of its family; raise OSError.

    An empty source, an unspecified one and one of the other family leave the choice to the system.
    """
    opened = socket.socket(family, socket.SOCK_STREAM)
    try:
        opened.setblocking(False)
        if _is_usable(family, source):
            if family == socket.AF_INET:
                # Without it, one source has one port for all targets together.
                opened.setsockopt(socket.IPPROTO_IP, _IP_BIND_ADDRESS_NO_PORT, 1)
            opened.bind((source, 0))
    except OSError:
        opened.close()
        raise
    return opened


def build_socket_factory(source: str) -> Callable[[tuple], socket.socket]:
    """Return a factory for aiohttp connectors, whose argument is one getaddrinfo result."""
    return lambda found: open_socket(found[0], source)


def _is_usable(family: int, source: str) -> bool:
    if not source:
        return False
    address = ip_address(source)
    return not address.is_unspecified and address.version == _VERSIONS.get(family)
