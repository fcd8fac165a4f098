"""Relays an upstream's answer to the caller."""

from __future__ import annotations

from collections.abc import Callable

from jayyoke.core.route import RouteKind
from jayyoke.core.upstream import Upstream
from jayyoke.edge.call import Call, Caller
from jayyoke.edge.connection import Answer
from jayyoke.edge.outcome import Delivered, Failed, MayHaveRun, Outcome
from jayyoke.edge.progress import Progress
from jayyoke.platform.message import select_answer_headers
from jayyoke.utils.stalltimeout import StallTolerantTimeout

# Answers up to this size, other than streams, are buffered before they are passed on, so that a
# broken one never looks complete and its request can be repeated.
MAX_BUFFERED_ANSWER_BYTES = 256 << 10
# A repeatable request is sent elsewhere after this multiple of its objective without an answer.
SILENCE_TIMEOUT_FACTOR = 1.0
MIN_SILENCE_TIMEOUT_S = 0.3
# A stream that pauses for this multiple of its target is resumed elsewhere.
PAUSE_FACTOR = 3.0
MIN_PAUSE_S = 0.9


class AnswerRelay:
    """Relays answers; `on_events` is called after each part of a stream with whole events."""

    def __init__(
        self,
        now_s: Callable[[], float],
        on_events: Callable[[Call, Upstream, Progress], None],
    ):
        self._now_s = now_s
        self._on_events = on_events

    async def relay(
        self,
        call: Call,
        caller: Caller,
        answer: Answer,
        upstream: Upstream,
        progress: Progress,
    ) -> Outcome:
        """Relay an answer; raise AnswerBroken, TimeoutError or CallerGone."""
        if call.route.kind is RouteKind.STREAM and 200 <= answer.status < 300:
            return await self._relay_stream(call, caller, answer, upstream, progress)
        return await self._relay_whole(call, caller, answer, progress)

    async def _relay_whole(
        self, call: Call, caller: Caller, answer: Answer, progress: Progress
    ) -> Outcome:
        headers = tuple(select_answer_headers(answer.raw_headers))
        body = b""
        progress.timeout = StallTolerantTimeout(call.deadline_s - self._now_s())
        async with progress.timeout:
            while not answer.body.at_eof() and len(body) <= MAX_BUFFERED_ANSWER_BYTES:
                body += await answer.body.readany()
        progress.first_s = self._now_s()
        if not answer.body.at_eof() and (answer.status >= 500 or caller.started):
            return MayHaveRun("the upstream's failure is too long to pass on", silent=False)
        if answer.status >= 500:
            return Failed(answer.status, answer.reason, headers, body)
        if caller.started:
            # The answer to the request for the rest of a stream is no stream.
            return Failed(answer.status, answer.reason, headers, body)
        if answer.body.at_eof():
            length = None if call.method == "HEAD" else len(body)
            await caller.start(answer.status, answer.reason, headers, length)
            await caller.write(body)
            await caller.finish()
            return Delivered(answer.status)
        await caller.start(answer.status, answer.reason, headers, None)
        await caller.write(body)
        progress.timeout = StallTolerantTimeout(call.deadline_s - self._now_s())
        async with progress.timeout:
            while not answer.body.at_eof():
                await caller.write(await answer.body.readany())
        await caller.finish()
        return Delivered(answer.status)

    async def _relay_stream(
        self,
        call: Call,
        caller: Caller,
        answer: Answer,
        upstream: Upstream,
        progress: Progress,
    ) -> Outcome:
        relay = progress.relay
        relay.restart()
        if caller.started and not answer.head.event_stream:
            return MayHaveRun("the rest of the stream is no stream of events", silent=False)
        pause_s = max(MIN_PAUSE_S, PAUSE_FACTOR * call.route.max_event_gap_s)
        last_event_s = self._now_s()
        while not answer.body.at_eof():
            left_s = call.deadline_s - self._now_s()
            limit_s = left_s
            if call.route.resumable and relay.resumable and progress.runs + 1 < call.route.attempts:
                # Bytes without a whole event do not show that the run makes progress.
                silence_timeout_s = pause_s
                if progress.first_s is None:
                    silence_timeout_s = find_silence_timeout_s(call, progress, left_s)
                limit_s = min(left_s, last_event_s + silence_timeout_s - self._now_s())
            progress.timeout = StallTolerantTimeout(limit_s)
            async with progress.timeout:
                chunk = await answer.body.readany()
            count_before = relay.count
            events = relay.feed(chunk)
            if not events:
                continue
            if progress.first_s is None:
                progress.first_s = self._now_s()
            if relay.count > count_before:
                last_event_s = self._now_s()
            progress.timing.record(relay.count - count_before, self._now_s())
            self._on_events(call, upstream, progress)
            if not caller.started:
                headers = tuple(select_answer_headers(answer.raw_headers))
                await caller.start(answer.status, answer.reason, headers, None)
            await caller.write(events)
        if relay.incomplete:
            return MayHaveRun("the stream ended within an event", silent=False)
        if progress.first_s is None and not answer.framed:
            # The end of an upstream looks like this too.
            return MayHaveRun("the stream ended before its first event", silent=False)
        if relay.resumed_without_events:
            return MayHaveRun("the resumed stream brought no event", silent=False)
        if not caller.started:
            headers = tuple(select_answer_headers(answer.raw_headers))
            await caller.start(answer.status, answer.reason, headers, None)
        await caller.finish()
        return Delivered(answer.status)


def find_silence_timeout_s(call: Call, progress: Progress, left_s: float) -> float:
    """Return the timeout in seconds for the answer's head or first event."""
    if not call.route.repeatable or progress.runs + 1 >= call.route.attempts:
        return left_s
    return min(left_s, max(MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_FACTOR * call.route.objective_s))
