"""Reading of streams that may be silent for a while."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import aiohttp

from jayyoke.core.error import AnswerBroken
from jayyoke.ops.forward import SILENCE_TIMEOUT_S


async def read_unless_silent(
    content: aiohttp.StreamReader, may_resume: Callable[[], bool]
) -> bytes:
    """Return the next bytes; raise AnswerBroken after a silence if the rest may be resumed.

    The engine may only stand still, so a stream that cannot be resumed waits for it.
    """
    while True:
        try:
            async with asyncio.timeout(SILENCE_TIMEOUT_S):
                return await content.readany()
        except TimeoutError as error:
            if may_resume():
                raise AnswerBroken("silent") from error
