"""Upstream protocol `engine`: model engines with the chat-completions interface."""

from __future__ import annotations

from functools import cache

from jayyoke.core.config import ClassKind
from jayyoke.core.protocol import UpstreamProtocol
from jayyoke.core.registry import register

__plugins__ = ("build_engine",)


@register("protocol", "engine")
@cache
def build_engine() -> UpstreamProtocol:
    """Return the protocol."""
    return UpstreamProtocol("engine", True, True, frozenset({ClassKind.CHAT}))
