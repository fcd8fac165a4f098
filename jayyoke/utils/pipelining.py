"""Requests that a caller sends before the answer to an earlier one."""

from __future__ import annotations

from aiohttp import web


def has_next_request(request: web.BaseRequest) -> bool:
    """Tell whether another request waits on the connection until this one is answered."""
    return bool(request.protocol._messages)
