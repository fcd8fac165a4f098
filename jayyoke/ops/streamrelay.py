"""Relay of an engine's stream that resumes a broken stream without losing or repeating tokens."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import replace

import aiohttp
from absl import logging

from jayyoke.core.code import NO_ANSWER, PART_QUARANTINED, refuse, refuse_maybe_run
from jayyoke.core.error import (
    AnswerBroken,
    AnswerMismatched,
    ConnectFailed,
    JayyokeError,
    Refusal,
    RunState,
    StreamCut,
    UpstreamError,
)
from jayyoke.core.request import CallerRequest
from jayyoke.core.upstream import Upstream
from jayyoke.ops.deadline import get_remaining_s
from jayyoke.ops.decisionlog import log_decision
from jayyoke.ops.forward import (
    HEAD_TIMEOUT_S,
    AttemptOutcome,
    EngineBusy,
    EngineRejected,
)
from jayyoke.ops.node import Node
from jayyoke.ops.orders import read_engine_state
from jayyoke.ops.placement import Placement
from jayyoke.ops.probe import hash_incarnation
from jayyoke.ops.promptparts import find_part_keys
from jayyoke.ops.quarantine import is_suspect
from jayyoke.ops.requestdrain import refuse_stopped
from jayyoke.ops.silence import read_unless_silent
from jayyoke.ops.sse import EventParser
from jayyoke.utils.backoff import choose_backoff

MAX_ATTEMPTS = 6
# A second broken answer of the same engine is not due to a single connection.
MAX_BREAKS_PER_ENGINE = 2
# A request is not sent again after so many engines ended when they began to answer it.
MAX_SUSPECT_ENDS = 2
END_TIMEOUT_S = 0.5
# The target for the time between tokens applies to 95 of 100 tokens; in a short answer a few may be
# late.
MAX_LATE_SHARE = 0.05
MIN_LATE_TOKENS = 3
BACKOFF_BASE_S = 0.05
BACKOFF_MAX_S = 0.5

Send = Callable[[bytes], Awaitable[None]]


class CallerGone(JayyokeError):
    """Reports that the caller's connection broke."""


class StreamRelay:
    """Relays one answer to `send` in whole events.

    Events that arrive together with the regular end are left in `last_events`, for the caller to
    write together with the end mark.
    """

    def __init__(self, node: Node, request: CallerRequest, send: Send):
        self.parser = EventParser(node.engine_streams.held_events)
        self.dispatched = False
        self.last_events = b""
        self._node = node
        self._request = request
        self._send = send
        self._loop = asyncio.get_running_loop()
        self._excluded: tuple[str, ...] = ()
        self._breaks_by_engine: dict[str, int] = {}
        self._suspect_ends = 0
        self._failed_attempts = 0
        self._part_keys: tuple[str, ...] | None = None
        self._attempt_token_s: float | None = None
        self._late_tokens = 0
        self._first_token_s = 0.0
        self._last_token_s = 0.0
        self._upstream: Upstream | None = None
        self._answer_headers: Mapping[str, str] = {}

    async def run(self) -> None:
        """Relay the whole answer; raise Refusal, CallerGone or UpstreamError.

        After an error, `parser.started` tells whether the caller has received a part.
        """
        try:
            left_s = get_remaining_s(self._request, self._node.clock.now_s())
            async with self._node.drain.limit(left_s):
                await self._run_attempts()
        except TimeoutError:
            if self._node.drain.ended:
                raise refuse_stopped(self.dispatched) from None
            if self.dispatched and self._upstream is not None:
                self._report(self._upstream, False, 0.0)
            detail = "the answer did not end before the deadline"
            raise refuse_maybe_run(504, NO_ANSWER, detail) from None
        except Refusal as refusal:
            if self.dispatched and refusal.run_state is RunState.NOT_RUN:
                raise refuse_maybe_run(
                    refusal.status, refusal.code, refusal.detail, refusal.retry_after_s
                ) from refusal
            raise
        finally:
            self.parser.close()
            self._record_metrics()

    async def _run_attempts(self) -> None:
        placement: Placement | None = None
        fresh = False
        try:
            while True:
                if placement is None:
                    self._check_parts()
                    placement = await self._place()
                try:
                    await self._attempt_once(placement, fresh)
                    return
                except UpstreamError as error:
                    self._failed_attempts += 1
                    await self._observe_end(error, placement.upstream)
                    self._handle_failure(error, placement)
                    fresh = placement.upstream.name not in self._excluded
                    if fresh and isinstance(error, StreamCut):
                        fresh = not await self._has_restarted(placement.upstream)
                if not fresh:
                    self._node.placer.release(self._request, placement)
                    placement = None
        except (asyncio.CancelledError, CallerGone):
            if placement is not None and self.dispatched:
                self._node.engine_streams.cancel(placement.upstream, self._request.request_id)
            raise
        finally:
            if placement is not None:
                self._node.placer.release(self._request, placement)

    def _check_parts(self) -> None:
        """Raise Refusal if engines are kept from a message of the chat."""
        quarantine = self._node.chat_parts.quarantine
        if not quarantine.suspected:
            return
        wait_s = quarantine.find_wait_s(self._find_part_keys())
        if wait_s is None:
            return
        detail = "engines end when they begin to answer on a message of this chat"
        raise refuse(503, PART_QUARANTINED, detail, wait_s)

    def _record_good(self) -> None:
        """Record that an engine has answered on the messages of the chat."""
        if self._node.chat_parts.quarantine.suspected:
            self._node.chat_parts.record_good(self._find_part_keys())

    def _find_part_keys(self) -> tuple[str, ...]:
        if self._part_keys is None:
            self._part_keys = find_part_keys(self._request)
        return self._part_keys

    async def _observe_end(self, error: UpstreamError, upstream: Upstream) -> None:
        """Find out whether an engine that cut an answer has ended, and under which messages."""
        if not isinstance(error, AnswerBroken) or isinstance(error.__context__, TimeoutError):
            # A silent engine has cut nothing.
            return
        first_s = self._attempt_token_s
        suspect = is_suspect(None if first_s is None else self._loop.time() - first_s)
        keys = self._find_part_keys() if suspect else ()
        request_id = self._request.request_id
        served = self._answer_headers.get("X-Engine-Incarnation", "")
        if served:
            upstream = replace(upstream, incarnation=f"{upstream.name}@{served}")
        ended = await self._node.chat_parts.observer.observe(upstream, request_id, keys)
        self._suspect_ends += ended and suspect

    async def _has_restarted(self, upstream: Upstream) -> bool:
        """Tell whether an engine that cut a stream has restarted cold, and report it if so.

        A restart cuts all streams of an engine. They were admitted while it was warm; resumed on
        the same engine, they were 1.51 times its cold limit in the demo.
        """
        served = self._answer_headers.get("X-Engine-Incarnation", "")
        if not served:
            return False
        state = await read_engine_state(self._node.http, upstream)
        if state is not None and state.incarnation == served:
            return False
        self._excluded = (*self._excluded, upstream.name)
        if state is not None:
            self._node.placer.report_engine(upstream.name, hash_incarnation(state.incarnation))
        self._node.engine_streams.report_unreachable(upstream)
        return True

    async def _place(self) -> Placement:
        try:
            placement = await self._node.placer.place(self._request, exclude=self._excluded)
        except Refusal:
            if not self._excluded:
                raise
            # Every engine failed once; one of them may work again after a pause.
            attempts = self._failed_attempts
            await asyncio.sleep(choose_backoff(attempts, BACKOFF_BASE_S, BACKOFF_MAX_S, random))  # type: ignore[arg-type]
            self._excluded = ()
            self._breaks_by_engine.clear()
            placement = await self._node.placer.place(self._request, exclude=())
        log_decision(
            self._request, placement.upstream.name, placement.reason, placement.passed_over
        )
        self._send_shadow_copy()
        return placement

    def _send_shadow_copy(self) -> None:
        """Send a copy of the request to an engine of a new version if the move picks one."""
        node, request = self._node, self._request
        if node.moves is None or node.shadows is None or self.parser.tokens:
            return
        upstream = node.moves.pick_shadow(request.service.name, request.request_id)
        if upstream is not None:
            node.shadows.send(upstream, request)

    async def _attempt_once(self, placement: Placement, fresh: bool) -> None:
        """Make one attempt, and record for the parts of the prompt that it runs and ends."""
        quarantine = self._node.chat_parts.quarantine
        keys = self._find_part_keys() if quarantine.suspected else ()
        quarantine.begin(keys)
        try:
            await self._attempt(placement, fresh)
        finally:
            quarantine.finish(keys)
        self._record_good()

    async def _attempt(self, placement: Placement, fresh: bool) -> None:
        upstream = placement.upstream
        self._upstream = upstream
        self._answer_headers = {}
        self._attempt_token_s = None
        began_s = self._loop.time()
        answer = await self._open(placement, fresh)
        headers = answer.headers
        tokens_before = self.parser.tokens
        self._answer_headers = headers
        try:
            self.parser.begin_connection()
            await self._relay_events(answer)
            first_s = self._first_token_s or self._loop.time()
            seconds = 0.0 if tokens_before else first_s - began_s
            self._report(upstream, True, seconds)
        finally:
            # A connection may be reused only after the answer's regular end.
            if not answer.content.at_eof():
                answer.close()

    def _report(self, upstream: Upstream, answered: bool, seconds: float) -> None:
        """Notify observers how an attempt ended; attempts whose caller left are not reported."""
        headers = self._answer_headers
        spec = self._request.class_spec
        slow = seconds > spec.first_token_within_s
        slow = slow or self._late_tokens > max(MIN_LATE_TOKENS, self.parser.tokens * MAX_LATE_SHARE)
        outcome = AttemptOutcome(
            upstream,
            spec.name,
            headers.get("X-Engine-Incarnation", ""),
            headers.get("X-Engine-Version", ""),
            answered,
            slow,
            seconds,
        )
        self._node.engine_streams.report(outcome)

    async def _open(self, placement: Placement, fresh: bool) -> aiohttp.ClientResponse:
        streams = self._node.engine_streams
        delivered = self.parser.tokens
        upstream = placement.upstream
        try:
            if not fresh:
                answer = await streams.open(upstream, self._request, delivered, False)
            else:
                async with asyncio.timeout(HEAD_TIMEOUT_S):
                    answer = await streams.open(upstream, self._request, delivered, True)
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

    async def _relay_events(self, answer: aiohttp.ClientResponse) -> None:
        parser = self.parser
        content = answer.content
        while True:
            try:
                chunk = await read_unless_silent(content, self._may_attempt_again)
            except aiohttp.ClientError as error:
                if parser.finished:
                    return
                raise StreamCut(type(error).__name__) from error
            if not chunk:
                if parser.finished:
                    return
                raise StreamCut("truncated")
            tokens_before = parser.tokens
            events = parser.feed(chunk)
            if parser.tokens != tokens_before:
                self._record_token_time()
            if parser.done and parser.finished and content.at_eof():
                self.last_events = events
                return
            if events:
                await self._deliver(events)
            if parser.failed:
                raise AnswerBroken("the engine sent an error event")
            if parser.done:
                await self._await_end(content)
                return

    def _may_attempt_again(self) -> bool:
        """Tell whether the rest of the answer may be asked for on another connection."""
        retries = self._node.limits.retries
        return self._failed_attempts + 1 < MAX_ATTEMPTS and retries.available

    async def _deliver(self, events: bytes) -> None:
        try:
            await self._send(events)
        except (ConnectionError, aiohttp.ClientError) as error:
            raise CallerGone("the caller's connection broke") from error

    async def _await_end(self, content: aiohttp.StreamReader) -> None:
        if not self.parser.finished:
            raise AnswerBroken("truncated")
        if content.at_eof():
            return
        try:
            async with asyncio.timeout(END_TIMEOUT_S):
                await content.readany()
        except (TimeoutError, aiohttp.ClientError):
            return

    def _record_token_time(self) -> None:
        now_s = self._loop.time()
        if self._attempt_token_s is None:
            self._attempt_token_s = now_s
        if self._first_token_s == 0.0:
            self._first_token_s = now_s
            since_s = self._node.clock.now_s() - self._request.arrival_s
            self._node.metrics.observe_first_token(self._request.class_spec, since_s)
        elif now_s - self._last_token_s > self._request.class_spec.between_tokens_within_s:
            self._late_tokens += 1
        self._last_token_s = now_s

    def _handle_failure(self, error: UpstreamError, placement: Placement) -> None:
        """Choose where the next attempt may go; raise the error if there is no next attempt."""
        attempt = self._failed_attempts
        name = placement.upstream.name
        fault = type(error).__name__
        if isinstance(error, EngineRejected):
            raise error
        if not isinstance(error, EngineBusy):
            self._report(placement.upstream, False, 0.0)
        if isinstance(error, AnswerBroken | AnswerMismatched):
            self._node.engine_streams.stop_reusing_connections(placement.upstream)
        engine_breaks = self._breaks_by_engine[name] = self._breaks_by_engine.get(name, 0) + 1
        needs_other_engine = isinstance(error, ConnectFailed | EngineBusy)
        withdrawn = self._node.engine_streams.is_withdrawn(placement.upstream)
        if needs_other_engine or withdrawn or engine_breaks >= MAX_BREAKS_PER_ENGINE:
            self._excluded = (*self._excluded, name)
            if not isinstance(error, EngineBusy):
                self._node.engine_streams.report_unreachable(placement.upstream)
            if not needs_other_engine:
                self._node.engine_streams.cancel(placement.upstream, self._request.request_id)
        if self._suspect_ends >= MAX_SUSPECT_ENDS:
            raise type(error)(f"{error}; engines end when they begin to answer") from error
        if attempt >= MAX_ATTEMPTS:
            raise type(error)(f"{error}; attempt {attempt} was the last") from error
        if not self._node.limits.retries.spend():
            raise type(error)(f"{error}; attempt {attempt}, the retry budget is used up") from error
        self._node.metrics.count(self._node.metrics.resumptions, fault)
        passed = (name,) if name in self._excluded else ()
        log_decision(self._request, name, f"{fault}: {error}", passed, "resumption")
        logging.debug("request %s resumes after %s", self._request.request_id, fault)

    def _record_metrics(self) -> None:
        tokens = self.parser.tokens
        if not tokens:
            return
        mean_s = (self._last_token_s - self._first_token_s) / max(1, tokens - 1)
        self._node.metrics.observe_stream(
            self._request.class_spec, tokens, self._late_tokens, mean_s
        )
