"""Relays an upstream's answer to the caller."""

from __future__ import annotations

from collections.abc import Callable

from jayyoke.core.route import RouteKind
from jayyoke.edge.call import Call, Caller
from jayyoke.edge.connection import Answer
from jayyoke.edge.outcome import Delivered, Failed, MayHaveRun, Outcome
from jayyoke.edge.progress import Progress
from jayyoke.edge.send import Send
from jayyoke.edge.takeover import Takeover, find_silence_timeout_s
from jayyoke.platform.message import select_answer_headers
from jayyoke.utils.heldbytes import HeldBytes
from jayyoke.utils.stalltimeout import StallTolerantTimeout

# Answers up to this size, other than streams, are buffered before they are passed on, so that a
# broken one never looks complete and its request can be repeated.
MAX_BUFFERED_ANSWER_BYTES = 256 << 10
# The limit of an answer while all buffered ones together hold too much.
MAX_CROWDED_ANSWER_BYTES = 16 << 10
# Another upstream is asked for the rest of a stream that pauses for this multiple of its target.
PAUSE_FACTOR = 3.0
MIN_PAUSE_S = 0.9


class AnswerRelay:
    """Relays answers; `on_events` is called after each part of a stream with whole events.

    `held` counts the bytes of all answers that are buffered.
    """

    def __init__(
        self,
        now_s: Callable[[], float],
        takeover: Takeover,
        on_events: Callable[[Call, Send, Progress], None],
        held: HeldBytes,
    ):
        self._now_s = now_s
        self._takeover = takeover
        self._on_events = on_events
        self._held = held

    async def relay(
        self, call: Call, caller: Caller, answer: Answer, send: Send, progress: Progress
    ) -> Outcome:
        """Relay an answer; raise AnswerBroken, TimeoutError, TakenOver or CallerGone."""
        if call.route.kind is RouteKind.STREAM and 200 <= answer.status < 300:
            return await self._relay_stream(call, caller, answer, send, progress)
        return await self._relay_whole(call, caller, answer, send)

    @property
    def _buffer_bytes(self) -> int:
        """Return how much of an answer may be buffered now."""
        return MAX_CROWDED_ANSWER_BYTES if self._held.exceeded else MAX_BUFFERED_ANSWER_BYTES

    async def _relay_whole(self, call: Call, caller: Caller, answer: Answer, send: Send) -> Outcome:
        body = b""
        try:
            send.timeout = StallTolerantTimeout(call.deadline_s - self._now_s())
            async with send.timeout:
                while not answer.body.at_eof() and len(body) <= self._buffer_bytes:
                    part = await answer.body.readany()
                    self._held.change(len(part))
                    body += part
            return await self._pass_on(call, caller, answer, send, body)
        finally:
            self._held.change(-len(body))

    async def _pass_on(
        self, call: Call, caller: Caller, answer: Answer, send: Send, body: bytes
    ) -> Outcome:
        """Relay an answer of which `body` has come; the rest may follow."""
        headers = tuple(select_answer_headers(answer.raw_headers))
        send.first_s = self._now_s()
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
        send.timeout = StallTolerantTimeout(call.deadline_s - self._now_s())
        async with send.timeout:
            while not answer.body.at_eof():
                await caller.write(await answer.body.readany())
        await caller.finish()
        return Delivered(answer.status)

    async def _relay_stream(
        self, call: Call, caller: Caller, answer: Answer, send: Send, progress: Progress
    ) -> Outcome:
        relay = progress.relay
        relay.restart()
        if caller.started and not answer.head.event_stream:
            return MayHaveRun("the rest of the stream is no stream of events", silent=False)
        pause_s = max(MIN_PAUSE_S, PAUSE_FACTOR * call.route.max_event_gap_s)
        last_event_s = self._now_s()
        while send.first_bytes or not answer.body.at_eof():
            chunk, send.first_bytes = send.first_bytes, b""
            if not chunk:
                # Bytes without a whole event do not show that the run makes progress.
                timeout_s = pause_s if send.first_s is not None else find_silence_timeout_s(call)
                timeout_s = max(0.0, last_event_s + timeout_s - self._now_s())
                chunk = await self._takeover.wait(
                    call, caller, send, progress, answer.body.readany, timeout_s
                )
            count_before = relay.count
            events = relay.feed(chunk)
            if not events:
                continue
            if send.first_s is None:
                send.first_s = self._now_s()
            if relay.count > count_before:
                last_event_s = self._now_s()
            send.timing.record(relay.count - count_before, self._now_s())
            self._on_events(call, send, progress)
            if not caller.started:
                headers = tuple(select_answer_headers(answer.raw_headers))
                await caller.start(answer.status, answer.reason, headers, None)
            await caller.write(events)
        if relay.incomplete:
            return MayHaveRun("the stream ended within an event", silent=False)
        if send.first_s is None and not answer.framed:
            # The end of an upstream looks like this too.
            return MayHaveRun("the stream ended before its first event", silent=False)
        if relay.resumed_without_events:
            return MayHaveRun("the resumed stream brought no event", silent=False)
        if not caller.started:
            headers = tuple(select_answer_headers(answer.raw_headers))
            await caller.start(answer.status, answer.reason, headers, None)
        await caller.finish()
        return Delivered(answer.status)
