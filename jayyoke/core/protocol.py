"""Properties of upstream protocols, as protocol plug-ins return them."""

from __future__ import annotations

from dataclasses import dataclass

from jayyoke.core.config import ClassKind
from jayyoke.core.registry import find_plugin


@dataclass(frozen=True, slots=True)
class UpstreamProtocol:
    """Describes how upstreams of a protocol are chosen, probed and moved to another version.

    Upstreams that report load are probed; stewards admit requests to them, counted in tokens.
    Among the others, the entry instance chooses alone and counts requests. Upstreams that take
    orders can be told to load a version.
    """

    name: str
    reports_load: bool
    loads_versions: bool
    class_kinds: frozenset[ClassKind]


def find_protocol(name: str) -> UpstreamProtocol:
    """Return the registered protocol of a name; raise UnknownPlugin."""
    return find_plugin("protocol", name)()
