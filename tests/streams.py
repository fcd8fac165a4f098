"""Reads streams of entry instances as callers do."""

from __future__ import annotations

import aiohttp

from standin.entryconfig import HOST, KEY
from tests.entryrig import RunningEntry


async def read_stream(
    entry: RunningEntry,
    request_id: str = "r1",
    path: str = "/resume/x",
    deadline_ms: int = 2500,
    **headers: str,
) -> tuple[bytes, bool]:
    """Return what a caller of a stream receives, and whether it ended as complete."""
    received = b""
    all_headers = {
        "Host": HOST,
        "Request-Id": request_id,
        "Deadline-Ms": str(deadline_ms),
        "Authorization": f"Bearer {KEY}",
    } | {name.replace("_", "-"): value for name, value in headers.items()}
    async with aiohttp.ClientSession() as http:
        try:
            async with http.post(entry.url + path, headers=all_headers, data=b"b") as answer:
                assert answer.status == 200
                async for part in answer.content.iter_any():
                    received += part
        except aiohttp.ClientError:
            return received, False
    return received, True
