"""Lets another upstream take over a call whose upstream is silent.

A silent upstream may be sound: it reads a long prompt, or has preempted the request for a while. So
its send goes on until another upstream has begun to answer, and whichever answers first serves the
caller. If no other upstream takes the call, the first one keeps it until the deadline.

A hedge takes the same path earlier and does not suspend the first upstream.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Awaitable, Callable
from typing import TypeVar

from jayyoke.core.route import RouteKind
from jayyoke.edge.assignment import Refused
from jayyoke.edge.call import Call, Caller
from jayyoke.edge.log import log_event
from jayyoke.edge.outcome import CANCELLED, MayHaveRun, NotRun, Outcome
from jayyoke.edge.placement import Placer
from jayyoke.edge.progress import MAX_SUSPECT_RUNS, Progress
from jayyoke.edge.send import Send
from jayyoke.edge.sender import MIN_TIME_S, SEND_ERRORS, Sender, describe_error
from jayyoke.edge.stream import MAX_EVENT_BYTES, has_event
from jayyoke.hedging.hedger import Hedger
from jayyoke.ops.quarantine import Quarantine
from jayyoke.utils.stalltimeout import StallTolerantTimeout
from jayyoke.utils.task import cancel_tasks

# Another upstream is sent a repeatable request after this multiple of its objective without an
# answer.
SILENCE_TIMEOUT_FACTOR = 1.0
MIN_SILENCE_TIMEOUT_S = 0.3
# Time until other upstreams are asked again; it doubles each time.
FIRST_RETRY_S = 0.3
T = TypeVar("T")


class TakenOver(Exception):
    """Reports that another upstream has begun to answer; `Progress.replacement` holds its send."""


class Takeover:
    """Waits for upstreams, and sends a call to another one while the first is silent.

    `on_broken` is called with sends to other upstreams that have broken off, `on_hedge` with what
    became of a hedge and, if it was refused, the reason.
    """

    def __init__(
        self,
        placement: Placer,
        sender: Sender,
        quarantine: Quarantine,
        now_s: Callable[[], float],
        on_broken: Callable[[Call, Send, Progress], Awaitable[None]],
        hedger: Hedger | None = None,
        on_hedge: Callable[[Call, Send, str, str], None] | None = None,
    ):
        self._placement = placement
        self._sender = sender
        self._quarantine = quarantine
        self._now_s = now_s
        self._on_broken = on_broken
        self._hedger = hedger
        self._on_hedge = on_hedge

    async def wait(
        self,
        call: Call,
        caller: Caller,
        send: Send,
        progress: Progress,
        read: Callable[[], Awaitable[T]],
        silence_timeout_s: float,
    ) -> T:
        """Return what `read` returns, which must lose nothing if it is cancelled.

        Raise TimeoutError at the call's deadline. If nothing is read within the timeout, other
        upstreams are tried meanwhile; raise TakenOver once one of them has begun to answer.
        """
        began_s = self._now_s()
        hedge_s = self._find_hedge_wait_s(call, send, progress, silence_timeout_s)
        if hedge_s is None:
            return await self._wait_silent(call, caller, send, progress, read, silence_timeout_s)
        send.timeout = StallTolerantTimeout(hedge_s)
        try:
            async with send.timeout:
                return await read()
        except TimeoutError:
            pass
        silence_left_s = max(0.0, silence_timeout_s - (self._now_s() - began_s))
        if not self._may_hedge_now(call, send, progress):
            return await self._wait_silent(call, caller, send, progress, read, silence_left_s)
        reading = asyncio.ensure_future(read())
        try:
            await self._hedge(call, caller, send, progress, reading, silence_left_s)
            silence_left_s = max(0.0, silence_timeout_s - (self._now_s() - began_s))
            return await self._wait_silent(
                call, caller, send, progress, lambda: asyncio.shield(reading), silence_left_s
            )
        finally:
            await cancel_tasks([reading])

    def _find_hedge_wait_s(
        self, call: Call, send: Send, progress: Progress, silence_timeout_s: float
    ) -> float | None:
        """Return the seconds after which the call may be hedged, or None if it is not."""
        if self._hedger is None or progress.sends > 1 or progress.late:
            return None
        if not may_take_over(call, progress):
            return None
        delay_s = self._hedger.find_delay_s(call.route, progress.relay.count)
        if delay_s is None:
            return None
        now_s = self._now_s()
        wait_s = max(0.0, send.sent_s + delay_s - now_s)
        if wait_s >= min(silence_timeout_s, call.deadline_s - MIN_TIME_S - now_s):
            return None
        return wait_s

    def _may_hedge_now(self, call: Call, send: Send, progress: Progress) -> bool:
        """Record that a call is late, and take its hedge from the route's share."""
        assert self._hedger is not None
        now_s = self._now_s()
        progress.late = True
        self._hedger.record_late(progress.service, now_s)
        refusal = self._hedger.spend(call.route, progress.service, now_s)
        if refusal is not None:
            self._report_hedge(call, send, "refused", refusal)
        return refusal is None

    async def _hedge(
        self,
        call: Call,
        caller: Caller,
        send: Send,
        progress: Progress,
        reading: asyncio.Future[T],
        silence_left_s: float,
    ) -> None:
        """Send a call to another upstream too; raise TakenOver if that one answers first."""
        assert self._hedger is not None
        sends = progress.sends
        won = False

        def record_silence() -> None:
            self._record_silence(call, send, progress)

        try:
            replacement = await self._open_beside(
                call, caller, progress, reading, silence_left_s, record_silence
            )
            won = replacement is not None and not has_result(reading)
            if replacement is not None:
                self._take(call, replacement, progress, reading)
        finally:
            if progress.sends > sends:
                self._report_hedge(call, send, "won" if won else "lost")
            else:
                self._hedger.give_back(call.route, self._now_s())
                self._report_hedge(call, send, "refused", progress.not_opened or "answered")

    def _report_hedge(self, call: Call, send: Send, outcome: str, reason: str = "") -> None:
        if self._on_hedge is not None:
            self._on_hedge(call, send, outcome, reason)

    async def _wait_silent(
        self,
        call: Call,
        caller: Caller,
        send: Send,
        progress: Progress,
        read: Callable[[], Awaitable[T]],
        silence_timeout_s: float,
    ) -> T:
        """Return what `read` returns; try other upstreams if that takes longer than the timeout."""
        now_s = self._now_s()
        left_s = call.deadline_s - now_s
        if left_s <= 0.0 and send.is_overdue(now_s):
            # Bytes that are there already do not wait for a timer.
            raise TimeoutError
        allowed = may_take_over(call, progress)
        send.timeout = StallTolerantTimeout(min(left_s, silence_timeout_s) if allowed else left_s)
        try:
            async with send.timeout:
                return await read()
        except TimeoutError:
            if not allowed or self._is_over(call):
                raise
        self._record_silence(call, send, progress)
        reading = asyncio.ensure_future(read())
        try:
            return await self._read_or_replace(call, caller, progress, reading)
        finally:
            await cancel_tasks([reading])

    def _record_silence(self, call: Call, send: Send, progress: Progress) -> None:
        self._sender.record_silence(call, send)
        log_event(
            "upstream-silent",
            request_id=call.head.request_id,
            upstream=send.upstream.name,
            events=progress.relay.count,
            answering=send.answering,
            timer_late_ms=send.timer_late_ms,
        )

    async def _read_or_replace(
        self, call: Call, caller: Caller, progress: Progress, reading: asyncio.Future[T]
    ) -> T:
        retry_s = FIRST_RETRY_S
        while True:
            replacement = await self._open_beside(call, caller, progress, reading)
            if replacement is not None:
                self._take(call, replacement, progress, reading)
                return reading.result()
            await self._wait_for(reading, min(retry_s, call.deadline_s - self._now_s()))
            if reading.done():
                return reading.result()
            if self._is_over(call):
                raise TimeoutError
            retry_s *= 2

    def _take(
        self, call: Call, replacement: Send, progress: Progress, reading: asyncio.Future[T]
    ) -> None:
        """Let a send replace the first one, unless that one has gone on; raise TakenOver."""
        if has_result(reading):
            # The first upstream has gone on since the other one was chosen.
            self._leave(call, replacement, progress)
            return
        progress.replacement = replacement
        if reading.done():
            # The first upstream broke off meanwhile; this raises its error.
            reading.result()
        raise TakenOver

    async def _open_beside(
        self,
        call: Call,
        caller: Caller,
        progress: Progress,
        reading: asyncio.Future[T],
        silence_left_s: float = math.inf,
        on_silent: Callable[[], None] | None = None,
    ) -> Send | None:
        """Return a send that another upstream answers, or None if there is none in time.

        If the first upstream goes on meanwhile, the other one is left again. If neither has
        answered after `silence_left_s` seconds, `on_silent` is called.
        """
        if not may_take_over(call, progress):
            return None
        opening = asyncio.ensure_future(self._open(call, caller, progress))
        wanted = False
        try:
            limit_s = self._find_opening_limit_s(call, progress)
            if on_silent is not None and silence_left_s < limit_s:
                await self._wait_for(reading, silence_left_s, opening)
                if not reading.done() and not opening.done():
                    on_silent()
                limit_s -= silence_left_s
            await self._wait_for(reading, limit_s, opening)
            if reading.done() and not has_result(reading):
                await self._wait_for(opening, call.deadline_s - self._now_s())
            wanted = not has_result(reading)
        finally:
            await cancel_tasks([opening])
            replacement = None if opening.cancelled() else opening.result()
            if replacement is not None and not wanted:
                self._leave(call, replacement, progress)
        return replacement if wanted else None

    def _leave(self, call: Call, replacement: Send, progress: Progress) -> None:
        """End a send that is answered but not needed."""
        progress.runs += 1
        self._sender.finish(call, replacement, CANCELLED, progress)

    async def _open(self, call: Call, caller: Caller, progress: Progress) -> Send | None:
        """Send the call to another upstream; return the send once it is being answered."""
        if self._quarantine.find_wait_s(progress.part_keys) is not None:
            return self._give_up(call, progress, "part-quarantined")
        assignment = await self._placement.assign(
            call, progress.service, progress.tried, caller.started
        )
        if isinstance(assignment, Refused):
            return self._give_up(call, progress, assignment.reason)
        if not progress.budget.spend(self._now_s(), self._placement.instances):
            self._placement.release(
                progress.service, assignment.upstream, give_back=assignment.limited
            )
            return self._give_up(call, progress, "no-retry-budget")
        send = progress.begin_send(assignment, self._now_s())
        outcome: Outcome | None = CANCELLED
        try:
            outcome = await self._open_answer(call, caller, send, progress)
        except SEND_ERRORS as error:
            outcome = describe_error(error)
        except asyncio.CancelledError:
            # The upstream may have begun to work.
            progress.runs += send.begun
            raise
        finally:
            if outcome is not None:
                self._sender.finish(call, send, outcome, progress)
        if outcome is None:
            return send
        progress.record(outcome)
        if isinstance(outcome, MayHaveRun) and not outcome.silent:
            await self._on_broken(call, send, progress)
        if isinstance(outcome, NotRun):
            # It may have a place when other upstreams are asked again.
            progress.tried.discard(send.upstream.incarnation)
        return self._give_up(call, progress, progress.last_reason)

    async def _open_answer(
        self, call: Call, caller: Caller, send: Send, progress: Progress
    ) -> Outcome | None:
        """Send the request and read the answer's beginning; return an outcome if it has none."""
        outcome: Outcome | None = await self._sender.start(call, send, progress)
        if outcome is not None:
            return outcome
        assert send.connection is not None
        answer = await send.connection.receive(call.head.request_id)
        outcome = self._sender.record_head(call, send, answer)
        if outcome is not None:
            return outcome
        if answer.status >= 500:
            return MayHaveRun(f"status-{answer.status}", silent=False)
        if call.route.kind is not RouteKind.STREAM:
            return None
        if answer.status >= 300 and not caller.started:
            return None
        if caller.started and not (answer.status < 300 and answer.head.event_stream):
            return MayHaveRun("the rest of the stream is no stream of events", silent=False)
        while not has_event(send.first_bytes):
            part = await answer.body.readany()
            if not part or len(send.first_bytes) > MAX_EVENT_BYTES:
                return MayHaveRun("the stream brought no event", silent=False)
            send.first_bytes += part
        self._sender.record_first_event(call, send)
        return None

    def _find_opening_limit_s(self, call: Call, progress: Progress) -> float:
        left_s = call.deadline_s - self._now_s()
        if progress.runs + 2 < call.route.attempts:
            # A third upstream may take the call if the second one is silent too.
            return min(left_s, find_silence_timeout_s(call))
        return left_s

    def _give_up(self, call: Call, progress: Progress, reason: str) -> None:
        progress.not_opened = reason
        log_event("not-taken-over", request_id=call.head.request_id, reason=reason)

    def _is_over(self, call: Call) -> bool:
        return call.deadline_s - self._now_s() <= MIN_TIME_S

    async def _wait_for(
        self, first: asyncio.Future[T], limit_s: float, *others: asyncio.Future[Send | None]
    ) -> None:
        """Wait until one of the futures is done, at most for `limit_s` seconds."""
        await asyncio.wait(
            {first, *others}, timeout=max(0.0, limit_s), return_when=asyncio.FIRST_COMPLETED
        )


def may_take_over(call: Call, progress: Progress) -> bool:
    """Tell whether another upstream may run a call beside the one that is silent."""
    if not call.route.repeatable or not progress.relay.resumable:
        return False
    if progress.suspect_runs >= MAX_SUSPECT_RUNS:
        return False
    return progress.runs + 1 < call.route.attempts


def has_result(future: asyncio.Future[T]) -> bool:
    """Tell whether a future has a result, and neither an exception nor a cancellation."""
    return future.done() and not future.cancelled() and future.exception() is None


def find_silence_timeout_s(call: Call) -> float:
    """Return the seconds without an answer's head or first event after which another is asked."""
    return max(MIN_SILENCE_TIMEOUT_S, SILENCE_TIMEOUT_FACTOR * call.route.objective_s)
