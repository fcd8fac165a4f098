"""Forwards calls: choose an upstream, send, relay the answer, repeat elsewhere if allowed."""

from __future__ import annotations

import random
from collections.abc import Callable

from jayyoke.core.entrysettings import Bounds, HedgeSettings
from jayyoke.core.route import RouteKind
from jayyoke.edge.answerrelay import AnswerRelay
from jayyoke.edge.assignment import Refused
from jayyoke.edge.call import Call, Caller
from jayyoke.edge.choose import list_shared_parts
from jayyoke.edge.log import log_event
from jayyoke.edge.moves import MoveParticipant
from jayyoke.edge.outcome import CANCELLED, Delivered, MayHaveRun, NotRun, Outcome
from jayyoke.edge.placement import Placer
from jayyoke.edge.pool import ConnectionPool
from jayyoke.edge.progress import MAX_SUSPECT_RUNS, Progress
from jayyoke.edge.retrybudget import RetryBudget
from jayyoke.edge.send import Send
from jayyoke.edge.sender import MIN_TIME_S, SEND_ERRORS, Sender, describe_error
from jayyoke.edge.stream import EventRelay
from jayyoke.edge.takeover import TakenOver, Takeover, find_silence_timeout_s
from jayyoke.edge.usagerecorder import UsageRecorder
from jayyoke.hedging.hedger import Hedger
from jayyoke.ops.endobserver import EndObserver
from jayyoke.ops.metrics import Metrics
from jayyoke.ops.partkeys import build_part_keys, build_request_key
from jayyoke.ops.quarantine import GOOD_WRITING_S, Quarantine, is_suspect
from jayyoke.ops.stopwindow import STOPPING_RETRY_S, StopWindow
from jayyoke.utils.heldbytes import HeldBytes

# Retry-After for requests that the upstreams refused: their queues last about as long.
REFUSED_RETRY_S = 0.3
RETRY_JITTER = (0.7, 1.5)
# Incomplete events of all streams, and as many bytes of answers that are no streams.
MAX_HELD_ANSWER_BYTES = 16 << 20


class Forwarder:
    """Serves all calls of a process."""

    def __init__(
        self,
        placement: Placer,
        moves: MoveParticipant,
        pool: ConnectionPool,
        metrics: Metrics,
        bounds: Bounds,
        now_s: Callable[[], float],
        source: random.Random,
        quarantine: Quarantine,
        end_observer: EndObserver,
        on_cleared: Callable[[str], None],
        stop_window: StopWindow,
        usage: UsageRecorder | None = None,
        send_priority: bool = False,
        hedge: HedgeSettings | None = None,
        max_answer_bytes: int = MAX_HELD_ANSWER_BYTES,
    ):
        self._placement = placement
        self._moves = moves
        self._metrics = metrics
        self._bounds = bounds
        self._now_s = now_s
        self._source = source
        self._quarantine = quarantine
        self._end_observer = end_observer
        self._on_cleared = on_cleared
        self._stop_window = stop_window
        self._sender = Sender(placement, moves, pool, quarantine, now_s, usage, send_priority)
        self._hedger = Hedger(hedge or HedgeSettings())
        self._takeover = Takeover(
            placement,
            self._sender,
            quarantine,
            now_s,
            self._observe_end,
            self._hedger,
            self._record_hedge,
        )
        held_answers = HeldBytes(max_answer_bytes)
        self._relay = AnswerRelay(now_s, self._takeover, self._record_events, held_answers)
        self._held_bytes = HeldBytes(max_answer_bytes)
        self._budgets: dict[str, RetryBudget] = {}
        self._started_s = now_s()

    async def serve(self, call: Call, caller: Caller) -> None:
        """Answer a call; raise CallerGone or CancelledError if the caller leaves."""
        service = self._placement.draw_service(call)
        parts = call.head.parts
        part_keys = build_part_keys(service, list_shared_parts(parts))
        if parts:
            part_keys += (build_request_key(service, parts[-1].id),)
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._bounds, self._started_s)
            self._budgets[service] = budget
        budget.add_request(self._now_s())
        self._hedger.add_request(call.route, self._now_s())
        relay = EventRelay(call.head.last_event, self._held_bytes)
        progress = Progress(service, relay, budget, part_keys)
        try:
            await self._serve(call, caller, progress)
        finally:
            relay.close()
            self._quarantine.tell_requests(part_keys)
            replacement = progress.take_replacement()
            if replacement is not None:
                self._sender.finish(call, replacement, CANCELLED, progress)

    async def _serve(self, call: Call, caller: Caller, progress: Progress) -> None:
        refused: Refused | None = None
        while True:
            send = progress.take_replacement()
            if send is None:
                found = await self._begin_send(call, caller, progress)
                if not isinstance(found, Send):
                    refused = found
                    break
                send = found
            outcome = await self._run(call, caller, send, progress)
            if self._record_outcome(call, send, outcome, progress):
                return
            if isinstance(outcome, MayHaveRun) and not outcome.silent:
                await self._observe_end(call, send, progress)
            if progress.replacement is None and not self._may_repeat(call, outcome, progress):
                break
        await self._give_up(call, caller, progress, refused)

    async def _begin_send(
        self, call: Call, caller: Caller, progress: Progress
    ) -> Send | Refused | None:
        """Assign an upstream; return why there is none, or None if it is the call's own limit."""
        if call.deadline_s - self._now_s() <= MIN_TIME_S:
            progress.last_reason = "out-of-time"
            return None
        refused = self._check_stop(call, progress) or self._check_parts(progress)
        if refused is not None:
            progress.last_reason = refused.reason
            return refused
        assignment = await self._placement.assign(
            call, progress.service, progress.tried, caller.started
        )
        if isinstance(assignment, Refused):
            progress.last_reason = progress.last_reason or assignment.reason
            return assignment
        refused = self._check_stop(call, progress)
        if refused is not None:
            # The stop has begun while the call waited for a place.
            self._placement.release(
                progress.service, assignment.upstream, give_back=assignment.limited
            )
            progress.last_reason = refused.reason
            return refused
        now_s = self._now_s()
        if progress.arrivals and not progress.budget.spend(now_s, self._placement.instances):
            self._placement.release(
                progress.service, assignment.upstream, give_back=assignment.limited
            )
            progress.last_reason = f"{progress.last_reason},no-retry-budget"
            return None
        return progress.begin_send(assignment, now_s)

    def _record_outcome(self, call: Call, send: Send, outcome: Outcome, progress: Progress) -> bool:
        """Record the outcome of a send; return True if the caller has its answer."""
        upstream = send.upstream
        if isinstance(outcome, Delivered):
            if 200 <= outcome.status < 300:
                self._record_good(call, send, progress)
            first_s = send.first_s or self._now_s()
            self._log(
                call,
                "answered",
                progress,
                upstream=upstream.name,
                status=outcome.status,
                first_ms=round((first_s - call.arrived_s) * 1000, 1),
                reported_load=send.reported_load,
            )
            return True
        progress.record(outcome)
        writing_s = send.measure_writing_s(self._now_s())
        replacement = progress.replacement
        self._log(
            call,
            "attempt-failed",
            progress,
            upstream=upstream.name,
            reason=progress.last_reason,
            timer_late_ms=send.timer_late_ms,
            answering=send.answering,
            writing_ms=None if writing_s is None else round(writing_s * 1000),
            taken_over_by=None if replacement is None else replacement.upstream.name,
        )
        return False

    def _check_stop(self, call: Call, progress: Progress) -> Refused | None:
        """Return a refusal if the process may end before a call that has not run yet."""
        now_s = self._now_s()
        once = call.route.kind is RouteKind.UNSAFE
        if progress.runs or self._stop_window.may_begin(call.deadline_s, once, now_s):
            return None
        wait_s = self._stop_window.find_return_s(now_s) + self._source.uniform(*STOPPING_RETRY_S)
        return Refused("stopping", wait_s, spread=True)

    def _check_parts(self, progress: Progress) -> Refused | None:
        """Return a refusal if engines are kept from a part of the prompt."""
        wait_s = self._quarantine.find_wait_s(progress.part_keys)
        if wait_s is None:
            return None
        return Refused("part-quarantined", wait_s, spread=True, final=True)

    async def _observe_end(self, call: Call, send: Send, progress: Progress) -> None:
        """Find out whether the upstream that cut an answer has ended, and under which parts."""
        upstream = send.upstream
        suspect = is_suspect(send.measure_writing_s(self._now_s()))
        keys = progress.part_keys if suspect else ()
        if not keys and not (call.route.repeatable and (suspect or self._is_spent(call, progress))):
            # Nothing depends on the check, which takes a connection.
            return
        if not await self._end_observer.observe(upstream, call.head.request_id, keys):
            return
        self._placement.record_end(upstream)
        if suspect:
            progress.suspect_runs += 1
        else:
            progress.uncounted_runs += 1

    def _record_good(self, call: Call, send: Send, progress: Progress) -> None:
        """Record that an upstream has answered on the parts of the prompt."""
        send.parts_good = True
        for key in self._quarantine.record_good(progress.part_keys):
            log_event("part-cleared", request_id=call.head.request_id, part=key)
            self._on_cleared(key)

    def _may_repeat(self, call: Call, outcome: Outcome, progress: Progress) -> bool:
        if isinstance(outcome, NotRun) and progress.runs == 0:
            return True
        if not call.route.repeatable or progress.suspect_runs >= MAX_SUSPECT_RUNS:
            return False
        if not progress.relay.resumable:
            return False
        return not self._is_spent(call, progress)

    def _is_spent(self, call: Call, progress: Progress) -> bool:
        """Tell whether a call has used its attempts, of which lost engines take none."""
        return progress.runs - progress.uncounted_runs >= call.route.attempts

    async def _give_up(
        self, call: Call, caller: Caller, progress: Progress, refused: Refused | None
    ) -> None:
        """Send the final answer to a call that no upstream has served.

        `refused` is why no further upstream was assigned, if that ended the attempts.
        """
        if caller.started:
            self._log(call, "stream-cut", progress, reason=progress.last_reason)
            caller.abort()
            return
        if progress.runs == 0:
            await self._refuse(call, caller, progress, refused)
            return
        failure = progress.failure
        if failure is not None:
            self._log(call, "failure-passed-on", progress, status=failure.status)
            await _send_whole(caller, failure.status, failure.phrase, failure.headers, failure.body)
            return
        status = 504 if call.deadline_s - self._now_s() <= MIN_TIME_S else 502
        self._log(call, "failed", progress, status=status, reason=progress.last_reason)
        await _send_whole(caller, status, "", (), progress.last_reason.encode())

    async def _refuse(
        self, call: Call, caller: Caller, progress: Progress, refused: Refused | None
    ) -> None:
        """Answer that the request has not run, and when the caller may retry."""
        left_s = max(0.0, call.deadline_s - self._now_s())
        match refused:
            case Refused(spread=True):
                wait_s = refused.retry_after_s
            case Refused() if progress.sends == 0:
                # The jitter keeps callers that were refused together from retrying together.
                wait_s = refused.retry_after_s * self._source.uniform(*RETRY_JITTER)
            case _:
                wait_s = REFUSED_RETRY_S * self._source.uniform(*RETRY_JITTER)
        if refused is None or not refused.final:
            wait_s = min(wait_s, left_s / 3)
        self._log(call, "refused", progress, reason=progress.last_reason, retry_after_s=wait_s)
        headers = (("Retry-After", f"{wait_s:.3f}"),)
        await _send_whole(caller, 503, "", headers, progress.last_reason.encode())

    async def _run(self, call: Call, caller: Caller, send: Send, progress: Progress) -> Outcome:
        """Take a send to its end: send the request unless that is done, and relay the answer."""
        outcome: Outcome = CANCELLED
        first = progress.sends == 1
        try:
            outcome = await self._exchange(call, caller, send, progress)
        except TakenOver:
            if first:
                self._record_time(call, send, progress)
            if send.silence_recorded:
                outcome = MayHaveRun("no answer in time", silent=True)
            else:
                # The loser to a hedge is sound: `finish` gets CANCELLED, which suspends nobody.
                return MayHaveRun("hedged", silent=True)
        except SEND_ERRORS as error:
            outcome = describe_error(error)
        finally:
            self._sender.finish(call, send, outcome, progress)
        if first and isinstance(outcome, Delivered):
            self._record_time(call, send, progress)
        return outcome

    def _record_time(self, call: Call, send: Send, progress: Progress) -> None:
        """Record the time to the first answer, or until another upstream's was used."""
        now_s = self._now_s()
        ended_s = now_s if send.first_s is None else send.first_s
        took_s = ended_s - send.sent_s
        self._hedger.record_answer(call.route, progress.service, took_s, progress.late, now_s)

    def _record_hedge(self, call: Call, send: Send, outcome: str, reason: str) -> None:
        """Count what became of a hedge, and log it if it was sent."""
        if reason:
            self._metrics.count(self._metrics.hedges_refused, call.route.name, reason)
            return
        self._metrics.count(self._metrics.hedges, call.route.name, outcome)
        log_event(
            "hedge",
            request_id=call.head.request_id,
            route=call.route.name,
            upstream=send.upstream.name,
            outcome=outcome,
            after_ms=round((self._now_s() - send.sent_s) * 1000, 1),
        )

    async def _exchange(
        self, call: Call, caller: Caller, send: Send, progress: Progress
    ) -> Outcome:
        if send.answer is None:
            outcome: Outcome | None = await self._sender.start(call, send, progress)
            if outcome is not None:
                return outcome
            caller.note_sent()
            connection = send.connection
            assert connection is not None
            answer = await self._takeover.wait(
                call,
                caller,
                send,
                progress,
                lambda: connection.receive(call.head.request_id),
                find_silence_timeout_s(call),
            )
            outcome = self._sender.record_head(call, send, answer)
            if outcome is not None:
                return outcome
        assert send.answer is not None
        return await self._relay.relay(call, caller, send.answer, send, progress)

    def _record_events(self, call: Call, send: Send, progress: Progress) -> None:
        """Record what the events of a running stream tell of its parts and its version."""
        self._sender.record_first_event(call, send)
        writing_s = send.measure_writing_s(self._now_s())
        if not send.parts_good and writing_s is not None and writing_s >= GOOD_WRITING_S:
            self._record_good(call, send, progress)
        if send.counted or not send.timing.has_enough_events:
            return
        send.counted = True
        upstream = send.upstream
        times = send.measure(call.route.prefix_affinity)
        self._moves.record_answer(upstream.service, call.route.name, upstream.version, False, times)

    def _log(self, call: Call, event: str, progress: Progress, **fields: object) -> None:
        took_s = self._now_s() - call.arrived_s
        if event != "attempt-failed":
            self._metrics.count(self._metrics.requests, call.route.name, event)
            self._metrics.observe("answer", call.route.name, took_s)
        log_event(
            event,
            request_id=call.head.request_id,
            route=call.route.name,
            rank=call.rank,
            config=call.config_version,
            sends=progress.sends,
            runs=progress.runs,
            took_ms=round(took_s * 1000, 1),
            **fields,
        )


async def _send_whole(
    caller: Caller, status: int, phrase: str, headers: tuple[tuple[str, str], ...], body: bytes
) -> None:
    await caller.start(status, phrase, headers, len(body))
    await caller.write(body)
    await caller.finish()
