"""Cancellation of background tasks."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

# aiohttp loses a cancellation that coincides with its own total timeout; the task then runs on.
CANCEL_RETRY_S = 0.2


async def cancel_tasks(tasks: Iterable[asyncio.Task]) -> None:
    """Cancel tasks, repeatedly if they run on, and return when all have ended."""
    pending = set(tasks)
    while pending:
        for task in pending:
            task.cancel()
        _, pending = await asyncio.wait(pending, timeout=CANCEL_RETRY_S)
