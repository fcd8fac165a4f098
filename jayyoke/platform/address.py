"""Checks addresses of the form IP:PORT that other writers leave in the platform's store."""

from __future__ import annotations

import ipaddress

MAX_PORT = 65_535


def is_address(text: str) -> bool:
    """Tell whether a text is IP:PORT with an IPv4 address that a connection can be opened to."""
    host, _, port = text.rpartition(":")
    # Other digits than those of ASCII also count as digits for `isdigit`.
    if not (port.isascii() and port.isdigit() and len(port) <= 5 and 0 < int(port) <= MAX_PORT):
        return False
    try:
        address = ipaddress.IPv4Address(host)
    except ValueError:
        return False
    return not (address.is_unspecified or address.is_multicast)
