"""Shadow copies of chats for engines of a new version; their answers only count as evidence."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import replace

import aiohttp
from absl import logging

from jayyoke.core.error import AnswerBroken, JayyokeError
from jayyoke.core.move import OutcomeCounts
from jayyoke.core.request import CallerRequest
from jayyoke.core.upstream import Upstream
from jayyoke.ops.forward import EngineBusy, EngineRejected, EngineStreams
from jayyoke.ops.placement import Placer
from jayyoke.ops.sse import EventParser
from jayyoke.utils.task import cancel_tasks

# Engines run requests with lower numbers first, so copies never delay callers' requests.
SHADOW_PRIORITY = 9
MAX_SHADOWS = 64

Observe = Callable[[Upstream, str, str, OutcomeCounts], None]


class Shadows:
    """Sends copies in the background, at most MAX_SHADOWS at once."""

    def __init__(self, streams: EngineStreams, placer: Placer, observe: Observe):
        self._streams = streams
        self._placer = placer
        self._observe = observe
        self._tasks: set[asyncio.Task[None]] = set()

    def send(self, upstream: Upstream, request: CallerRequest) -> None:
        """Send a copy of a request, unless MAX_SHADOWS copies are running."""
        if len(self._tasks) >= MAX_SHADOWS:
            return
        spec = replace(request.class_spec, priority=SHADOW_PRIORITY)
        copy = replace(request, request_id=f"{request.request_id}-copy", class_spec=spec)
        task = asyncio.create_task(self._run(upstream, copy))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Cancel all copies in progress."""
        await cancel_tasks(self._tasks)

    async def _run(self, upstream: Upstream, request: CallerRequest) -> None:
        # The steward admits copies like other work, so that they cannot overload a cold engine.
        placement = await self._placer.place_on(request, upstream)
        if placement is None:
            return
        try:
            await self._call(upstream, request)
        finally:
            self._placer.release(request, placement)

    async def _call(self, upstream: Upstream, request: CallerRequest) -> None:
        loop = asyncio.get_running_loop()
        began_s = loop.time()
        spec = request.class_spec
        first_token_s = 0.0
        failed = True
        version = ""
        parser = EventParser()
        try:
            async with asyncio.timeout(spec.within_s):
                answer = await self._streams.open(upstream, request, 0, True)
                version = answer.headers.get("X-Engine-Version", "")
                try:
                    while chunk := await answer.content.readany():
                        parser.feed(chunk)
                        if parser.tokens and not first_token_s:
                            first_token_s = loop.time() - began_s
                finally:
                    answer.close()
                if not parser.finished:
                    raise AnswerBroken("truncated")
            failed = False
        except (EngineBusy, EngineRejected):
            return
        except (JayyokeError, TimeoutError, aiohttp.ClientError) as error:
            logging.debug("copy of %s at %s: %r", request.request_id, upstream.name, error)
        duration_s = loop.time() - began_s
        gap_s = (duration_s - first_token_s) / max(1, parser.tokens)
        slow = first_token_s > spec.first_token_within_s or gap_s > spec.between_tokens_within_s
        counts = OutcomeCounts(1, int(failed), int(slow and not failed))
        self._observe(upstream, version, spec.name, counts)
