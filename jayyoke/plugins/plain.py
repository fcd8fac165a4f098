"""Upstream protocol `plain`: ordinary services over HTTP."""

from __future__ import annotations

from functools import cache

from jayyoke.core.config import ClassKind
from jayyoke.core.protocol import UpstreamProtocol
from jayyoke.core.registry import register

__plugins__ = ("build_plain",)


@register("protocol", "plain")
@cache
def build_plain() -> UpstreamProtocol:
    """Return the protocol."""
    kinds = frozenset(kind for kind in ClassKind if kind is not ClassKind.CHAT)
    return UpstreamProtocol("plain", False, False, kinds)
