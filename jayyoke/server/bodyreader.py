"""Reading of callers' bodies within the limits of one body and of all together."""

from __future__ import annotations

from aiohttp import StreamReader

from jayyoke.ops.bodybudget import HeldBody


class BodyTooLarge(Exception):
    """Reports that a body exceeds the limit of one body."""


class BodiesFull(Exception):
    """Reports that a body does not fit beside those of other requests."""


def check_length(declared_bytes: int | None, limit_bytes: int, held: HeldBody) -> None:
    """Raise BodyTooLarge or BodiesFull if a body of this length can't be read."""
    if declared_bytes is None:
        return
    if declared_bytes > limit_bytes:
        raise BodyTooLarge
    if not held.may_grow_to(declared_bytes):
        raise BodiesFull


async def read_body(content: StreamReader, limit_bytes: int, held: HeldBody) -> bytes:
    """Return the whole body; raise BodyTooLarge, BodiesFull or aiohttp's errors."""
    body = bytearray()
    while not content.at_eof():
        part = await content.readany()
        if len(body) + len(part) > limit_bytes:
            raise BodyTooLarge
        if not held.grow(len(part)):
            raise BodiesFull
        body += part
    return bytes(body)


async def discard_body(content: StreamReader, limit_bytes: int) -> None:
    """Read the body of a request that is refused anyway; raise BodyTooLarge."""
    size_bytes = 0
    while not content.at_eof():
        size_bytes += len(await content.readany())
        if size_bytes > limit_bytes:
            raise BodyTooLarge
