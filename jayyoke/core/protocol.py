"""What the upstreams of a protocol offer; protocol plug-ins return these records."""

from __future__ import annotations

from dataclasses import dataclass

from jayyoke.core.config import ClassKind
from jayyoke.core.kernel import find


@dataclass(frozen=True, slots=True)
class UpstreamProtocol:
    """Tells how upstreams of a protocol are placed, probed and moved.

    Upstreams that report load are probed, count work in tokens and are placed through stewards;
    the others are placed by the entry instance alone, in requests.
    """

    name: str
    reports_load: bool
    takes_orders: bool
    class_kinds: frozenset[ClassKind]


def find_protocol(name: str) -> UpstreamProtocol:
    """Return the registered protocol of a name; raise UnknownPlugin."""
    return find("protocol", name)()
