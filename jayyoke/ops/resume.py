"""Whole answers: relays an engine's stream and resumes it without a lost or doubled token."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping

import aiohttp
from absl import logging

from jayyoke.core.code import NO_ANSWER, refuse_unknown
from jayyoke.core.error import (
    AnswerBroken,
    AnswerMismatched,
    ConnectFailed,
    JayyokeError,
    Refusal,
    Run,
    StreamCut,
    UpstreamError,
)
from jayyoke.core.request import CallerRequest
from jayyoke.core.upstream import Upstream
from jayyoke.ops.deadline import remain_s
from jayyoke.ops.decisions import log_decision
from jayyoke.ops.forward import (
    PROBE_TIMEOUT_S,
    EngineBusy,
    EngineRejected,
    Outcome,
)
from jayyoke.ops.node import Node
from jayyoke.ops.orders import read_engine
from jayyoke.ops.placement import Placement
from jayyoke.ops.probe import hash_incarnation
from jayyoke.ops.sse import Frames
from jayyoke.utils.backoff import choose_backoff

MAX_ATTEMPTS = 6
# A second break on the same engine is no accident of one connection.
MAX_BREAKS_PER_ENGINE = 2
END_TIMEOUT_S = 0.5
# The target between tokens is for 95 in 100; a few late ones in a short answer are no sign.
LATE_SHARE = 0.05
MIN_LATE_TOKENS = 3
BACKOFF_BASE_S = 0.05
BACKOFF_MOST_S = 0.5

Send = Callable[[bytes], Awaitable[None]]


class CallerGone(JayyokeError):
    """Reports that the caller's connection broke."""


class Relay:
    """Relays one answer to `send`, which gets whole events only.

    Events that arrive together with the regular end stay in `tail`, to be written with the end
    mark.
    """

    def __init__(self, node: Node, request: CallerRequest, send: Send):
        self.frames = Frames()
        self.dispatched = False
        self.tail = b""
        self._node = node
        self._request = request
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._exclude: tuple[str, ...] = ()
        self._breaks: dict[str, int] = {}
        self._late = 0
        self._first_s = 0.0
        self._last_s = 0.0
        self._upstream: Upstream | None = None
        self._attempt_head: Mapping[str, str] = {}

    async def run(self) -> None:
        """Relay the whole answer; raise Refusal, CallerGone or UpstreamError.

        The error leaves `frames.started` set if the caller already received a part.
        """
        try:
            async with asyncio.timeout(remain_s(self._request, self._node.clock.now_s())):
                await self._run_attempts()
        except TimeoutError:
            if self.dispatched and self._upstream is not None:
                self._report(self._upstream, False, 0.0)
            detail = "the answer did not end before the deadline"
            raise refuse_unknown(504, NO_ANSWER, detail) from None
        except Refusal as refusal:
            if self.dispatched and refusal.run is Run.NOT_RUN:
                raise refuse_unknown(
                    refusal.status, refusal.code, refusal.detail, refusal.retry_after_s
                ) from refusal
            raise
        finally:
            self._record()

    async def _run_attempts(self) -> None:
        placement: Placement | None = None
        fresh = False
        attempt = 0
        try:
            while True:
                if placement is None:
                    placement = await self._place(attempt)
                try:
                    await self._attempt(placement, fresh)
                    return
                except UpstreamError as error:
                    attempt += 1
                    self._note_failure(error, placement, attempt)
                    fresh = placement.upstream.name not in self._exclude
                    if fresh and isinstance(error, StreamCut):
                        fresh = not await self._has_restarted(placement.upstream)
                if not fresh:
                    self._node.placer.release(self._request, placement)
                    placement = None
        except (asyncio.CancelledError, CallerGone):
            if placement is not None and self.dispatched:
                self._node.engines.cancel(placement.upstream, self._request.request_id)
            raise
        finally:
            if placement is not None:
                self._node.placer.release(self._request, placement)

    async def _has_restarted(self, upstream: Upstream) -> bool:
        """Tell whether an engine that cut a stream has turned cold, and report it if so.

        A restart cuts all streams of an engine. They were admitted while it was warm; resumed
        there, they were 1.51 times what it bears cold (`make demo`, seed 1).
        """
        served = self._attempt_head.get("X-Engine-Incarnation", "")
        if not served:
            return False
        state = await read_engine(self._node.http, upstream)
        if state is not None and state.incarnation == served:
            return False
        self._exclude = (*self._exclude, upstream.name)
        if state is not None:
            self._node.placer.observe(upstream.name, hash_incarnation(state.incarnation))
        self._node.engines.report_loss(upstream)
        return True

    async def _place(self, attempt: int) -> Placement:
        try:
            placement = await self._node.placer.place(self._request, exclude=self._exclude)
        except Refusal:
            if not self._exclude:
                raise
            # Every engine failed once; one of them may be back after a pause.
            pause_s = choose_backoff(attempt, BACKOFF_BASE_S, BACKOFF_MOST_S, random)  # type: ignore[arg-type]
            await asyncio.sleep(pause_s)
            self._exclude = ()
            self._breaks.clear()
            placement = await self._node.placer.place(self._request, exclude=())
        log_decision(
            self._request, placement.upstream.name, placement.reason, placement.passed_over
        )
        self._send_copy()
        return placement

    def _send_copy(self) -> None:
        """Let an engine of a new version answer a copy of the request, if one is to."""
        node, request = self._node, self._request
        if node.moves is None or node.shadows is None or self.frames.tokens:
            return
        upstream = node.moves.pick_shadow(request.service.name, request.request_id)
        if upstream is not None:
            node.shadows.send(upstream, request)

    async def _attempt(self, placement: Placement, fresh: bool) -> None:
        upstream = placement.upstream
        self._upstream = upstream
        self._attempt_head = {}
        began_s = self._loop.time()
        answer = await self._open(placement, fresh)
        headers = answer.headers
        before = self.frames.tokens
        self._attempt_head = headers
        try:
            self.frames.restart()
            await self._pump(answer)
            seconds = (self._first_s or self._loop.time()) - began_s if not before else 0.0
            self._report(upstream, True, seconds)
        finally:
            # A connection is reused only after the answer's regular end.
            if not answer.content.at_eof():
                answer.close()

    def _report(self, upstream: Upstream, answered: bool, seconds: float) -> None:
        """Tell observers how an attempt ended; a caller that went away is no outcome."""
        head = self._attempt_head
        spec = self._request.spec
        slow = seconds > spec.first_token_within_s
        slow = slow or self._late > max(MIN_LATE_TOKENS, self.frames.tokens * LATE_SHARE)
        outcome = Outcome(
            upstream,
            spec.name,
            head.get("X-Engine-Incarnation", ""),
            head.get("X-Engine-Version", ""),
            answered,
            slow,
            seconds,
        )
        self._node.engines.report(outcome)

    async def _open(self, placement: Placement, fresh: bool) -> aiohttp.ClientResponse:
        engines = self._node.engines
        delivered = self.frames.tokens
        upstream = placement.upstream
        try:
            if not fresh:
                answer = await engines.open(upstream, self._request, delivered, False)
            else:
                async with asyncio.timeout(PROBE_TIMEOUT_S):
                    answer = await engines.open(upstream, self._request, delivered, True)
        except ConnectFailed:
            raise
        except TimeoutError:
            self.dispatched = True
            raise AnswerBroken(f"{upstream.name} does not answer on a new connection") from None
        except BaseException:
            self.dispatched = True
            raise
        self.dispatched = True
        return answer

    async def _pump(self, answer: aiohttp.ClientResponse) -> None:
        frames = self.frames
        content = answer.content
        while True:
            try:
                chunk = await content.readany()
            except aiohttp.SocketTimeoutError as error:
                raise AnswerBroken("silent") from error
            except aiohttp.ClientError as error:
                if frames.finished:
                    return
                raise StreamCut(type(error).__name__) from error
            if not chunk:
                if frames.finished:
                    return
                raise StreamCut("truncated")
            before = frames.tokens
            whole = frames.feed(chunk)
            if frames.tokens != before:
                self._observe()
            if frames.done and frames.finished and content.at_eof():
                self.tail = whole
                return
            if whole:
                await self._deliver(whole)
            if frames.failed:
                raise AnswerBroken("the engine sent an error event")
            if frames.done:
                await self._end(content)
                return

    async def _deliver(self, whole: bytes) -> None:
        try:
            await self._send(whole)
        except (ConnectionError, aiohttp.ClientError) as error:
            raise CallerGone("the caller's connection broke") from error

    async def _end(self, content: aiohttp.StreamReader) -> None:
        if not self.frames.finished:
            raise AnswerBroken("truncated")
        if content.at_eof():
            return
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                await content.readany()
        except (TimeoutError, aiohttp.ClientError):
            return

    def _observe(self) -> None:
        now_s = self._loop.time()
        if self._first_s == 0.0:
            self._first_s = now_s
            since_s = self._node.clock.now_s() - self._request.arrival_s
            self._node.metrics.observe_first_token(self._request.spec, since_s)
        elif now_s - self._last_s > self._request.spec.between_tokens_within_s:
            self._late += 1
        self._last_s = now_s

    def _note_failure(self, error: UpstreamError, placement: Placement, attempt: int) -> None:
        """Decide where the next attempt goes; raise the error if there is none."""
        name = placement.upstream.name
        fault = type(error).__name__
        if isinstance(error, EngineRejected):
            raise error
        if not isinstance(error, EngineBusy):
            self._report(placement.upstream, False, 0.0)
        if isinstance(error, AnswerBroken | AnswerMismatched):
            self._node.engines.suspect(placement.upstream)
        breaks = self._breaks[name] = self._breaks.get(name, 0) + 1
        elsewhere = isinstance(error, ConnectFailed | EngineBusy)
        if elsewhere or breaks >= MAX_BREAKS_PER_ENGINE:
            self._exclude = (*self._exclude, name)
            if not isinstance(error, EngineBusy):
                self._node.engines.report_loss(placement.upstream)
            if not elsewhere:
                self._node.engines.cancel(placement.upstream, self._request.request_id)
        if attempt >= MAX_ATTEMPTS:
            raise type(error)(f"{error}; attempt {attempt} was the last") from error
        if not self._node.limits.retries.spend():
            raise type(error)(f"{error}; attempt {attempt}, the retry budget is used up") from error
        self._node.metrics.count(self._node.metrics.resumptions, fault)
        passed = (name,) if name in self._exclude else ()
        log_decision(self._request, name, f"{fault}: {error}", passed, "resumption")
        logging.debug("request %s resumes after %s", self._request.request_id, fault)

    def _record(self) -> None:
        tokens = self.frames.tokens
        if not tokens:
            return
        mean_s = (self._last_s - self._first_s) / max(1, tokens - 1)
        self._node.metrics.observe_stream(self._request.spec, tokens, self._late, mean_s)
