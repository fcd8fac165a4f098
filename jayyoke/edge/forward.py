"""Forwards calls: choose an upstream, send, relay the answer, repeat elsewhere if allowed."""

from __future__ import annotations

import random
import time
from collections.abc import Callable

from jayyoke.core.entrysettings import Bounds
from jayyoke.core.error import (
    AnswerBroken,
    AnswerMismatched,
    ConnectFailed,
    ConnectTimedOut,
    PathLost,
)
from jayyoke.core.upstream import Upstream
from jayyoke.edge.answerrelay import AnswerRelay, find_silence_timeout_s
from jayyoke.edge.call import Call, Caller
from jayyoke.edge.choose import list_shared_parts
from jayyoke.edge.connection import UpstreamConnection
from jayyoke.edge.log import log_event
from jayyoke.edge.moves import MoveParticipant
from jayyoke.edge.outcome import Delivered, Failed, MayHaveRun, NotRun, Outcome
from jayyoke.edge.placement import Assignment, Placer, Refused
from jayyoke.edge.pool import ConnectionPool
from jayyoke.edge.progress import Progress
from jayyoke.edge.retrybudget import RetryBudget
from jayyoke.edge.stream import EventRelay
from jayyoke.ops.endobserver import EndObserver
from jayyoke.ops.metrics import Metrics
from jayyoke.ops.quarantine import GOOD_WRITING_S, Quarantine, build_part_keys, is_suspect
from jayyoke.platform import names
from jayyoke.platform.message import decode_notice, encode_request
from jayyoke.utils.stalltimeout import StallTolerantTimeout

# With less time left an upstream cannot answer any more.
MIN_TIME_S = 0.02
# Retry-After for requests that the upstreams refused: their queues last about as long.
REFUSED_RETRY_S = 0.3
RETRY_JITTER = (0.7, 1.5)
# A request is not sent again after so many engines ended when they began to answer it.
MAX_SUSPECT_RUNS = 2


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
    ):
        self._placement = placement
        self._moves = moves
        self._pool = pool
        self._metrics = metrics
        self._bounds = bounds
        self._now_s = now_s
        self._source = source
        self._quarantine = quarantine
        self._end_observer = end_observer
        self._on_cleared = on_cleared
        self._relay = AnswerRelay(now_s, self._record_events)
        self._budgets: dict[str, RetryBudget] = {}
        self._started_s = now_s()

    async def serve(self, call: Call, caller: Caller) -> None:
        """Answer a call; raise CallerGone or CancelledError if the caller leaves."""
        service = self._placement.draw_service(call)
        part_keys = build_part_keys(service, list_shared_parts(call.head.parts))
        progress = Progress(EventRelay(call.head.last_event), part_keys)
        budget = self._budgets.get(service)
        if budget is None:
            budget = RetryBudget(self._bounds, self._started_s)
            self._budgets[service] = budget
        budget.add_request(self._now_s())
        refused: Refused | None = None
        while True:
            if call.deadline_s - self._now_s() <= MIN_TIME_S:
                progress.last_reason = "out-of-time"
                break
            refused = self._check_parts(progress)
            if refused is not None:
                progress.last_reason = refused.reason
                break
            assignment = await self._placement.assign(call, service, progress.tried, caller.started)
            if isinstance(assignment, Refused):
                progress.last_reason = progress.last_reason or assignment.reason
                refused = assignment
                break
            upstream = assignment.upstream
            if progress.arrivals and not budget.spend(self._now_s(), self._placement.instances):
                self._placement.release(service, upstream)
                progress.last_reason = f"{progress.last_reason},no-retry-budget"
                break
            outcome = await self._send(call, caller, service, assignment, progress)
            if self._record_outcome(call, upstream, outcome, progress):
                return
            if isinstance(outcome, MayHaveRun) and not outcome.silent:
                await self._observe_end(call, upstream, progress)
            if not self._may_repeat(call, outcome, progress):
                break
        await self._give_up(call, caller, progress, refused)

    def _record_outcome(
        self, call: Call, upstream: Upstream, outcome: Outcome, progress: Progress
    ) -> bool:
        """Record the outcome of a send; return True if the caller has its answer."""
        match outcome:
            case Delivered(status):
                if 200 <= status < 300:
                    self._record_good(call, progress)
                first_s = progress.first_s or self._now_s()
                first_ms = round((first_s - call.arrived_s) * 1000, 1)
                self._log(
                    call,
                    "answered",
                    progress,
                    upstream=upstream.name,
                    status=status,
                    first_ms=first_ms,
                    reported_load=progress.reported_load,
                )
                return True
            case NotRun(reason, arrived):
                progress.arrivals += arrived
                progress.last_reason = reason
            case MayHaveRun(reason):
                progress.arrivals += 1
                progress.runs += 1
                progress.last_reason = reason
            case Failed(status):
                progress.arrivals += 1
                progress.runs += 1
                progress.failure = outcome
                progress.last_reason = f"status-{status}"
        writing_s = progress.measure_writing_s(self._now_s())
        self._log(
            call,
            "attempt-failed",
            progress,
            upstream=upstream.name,
            reason=progress.last_reason,
            timer_late_ms=progress.timer_late_ms,
            answering=progress.answering,
            writing_ms=None if writing_s is None else round(writing_s * 1000),
        )
        return False

    def _check_parts(self, progress: Progress) -> Refused | None:
        """Return a refusal if engines are kept from a part of the prompt."""
        wait_s = self._quarantine.find_wait_s(progress.part_keys)
        if wait_s is None:
            return None
        return Refused("part-quarantined", wait_s, spread=True, final=True)

    async def _observe_end(self, call: Call, upstream: Upstream, progress: Progress) -> None:
        """Find out whether the upstream that cut an answer has ended, and under which parts."""
        suspect = is_suspect(progress.measure_writing_s(self._now_s()))
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

    def _record_good(self, call: Call, progress: Progress) -> None:
        """Record that an upstream has answered on the parts of the prompt."""
        progress.parts_good = True
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

    async def _send(
        self, call: Call, caller: Caller, service: str, assignment: Assignment, progress: Progress
    ) -> Outcome:
        """Send a call to one upstream and relay its answer."""
        upstream = assignment.upstream
        progress.tried.add(upstream.incarnation)
        began_s = self._now_s()
        progress.begin_send(began_s)
        outcome: Outcome = NotRun("cancelled", arrived=False)
        connection: UpstreamConnection | None = None
        begun = False
        try:
            connection = await self._pool.acquire(upstream, not call.route.repeatable, began_s)
            if self._check_parts(progress) is not None:
                # The part was quarantined while this call waited.
                outcome = NotRun("part-quarantined", arrived=False)
                return outcome
            self._quarantine.begin(progress.part_keys)
            begun = True
            if self._placement.notices.is_withdrawn(upstream.incarnation):
                # Another call's answer has said so while this connection was opened.
                connection.abort()
                connection = None
                outcome = NotRun("withdrawn", arrived=False)
                return outcome
            outcome = await self._exchange(call, caller, connection, assignment, progress)
        except ConnectFailed as error:
            silent = isinstance(error, ConnectTimedOut)
            outcome = NotRun(f"unreachable: {error}", arrived=False, silent=silent)
        finally:
            if begun:
                self._quarantine.finish(progress.part_keys)
            if connection is not None and not isinstance(outcome, Delivered | Failed):
                connection.abort()
            duration_s = self._now_s() - began_s
            self._placement.release(service, upstream, progress.answering, duration_s)
            times = progress.measure(call.route.prefix_affinity)
            suspected = self._placement.record_outcome(
                call, service, upstream, outcome, times.latency_s
            )
            for found in suspected:
                self._pool.drop(found)
            self._count_for_version(call, upstream, outcome, progress)
        if self._placement.notices.is_leaving(upstream.incarnation):
            self._pool.drop(upstream)
            if connection is not None:
                connection.abort()
        elif connection is not None and isinstance(outcome, Delivered | Failed):
            self._pool.release(upstream, connection, self._now_s())
        if isinstance(outcome, MayHaveRun):
            self._pool.drop(upstream)
        return outcome

    def _count_for_version(
        self, call: Call, upstream: Upstream, outcome: Outcome, progress: Progress
    ) -> None:
        """Count an ended send for the upstream's version, unless it was counted while it ran."""
        if isinstance(outcome, NotRun):
            return
        failed = not isinstance(outcome, Delivered)
        version = (upstream.service, call.route.name, upstream.version)
        if not progress.counted:
            self._moves.record_answer(
                *version, failed, progress.measure(call.route.prefix_affinity)
            )
        elif failed:
            self._moves.record_late_failure(*version)

    def _record_events(self, call: Call, upstream: Upstream, progress: Progress) -> None:
        """Record what the events of a running stream tell of its parts and its version."""
        writing_s = progress.measure_writing_s(self._now_s())
        if not progress.parts_good and writing_s is not None and writing_s >= GOOD_WRITING_S:
            self._record_good(call, progress)
        if progress.counted or not progress.timing.has_enough_events:
            return
        progress.counted = True
        times = progress.measure(call.route.prefix_affinity)
        self._moves.record_answer(upstream.service, call.route.name, upstream.version, False, times)

    async def _exchange(
        self,
        call: Call,
        caller: Caller,
        connection: UpstreamConnection,
        assignment: Assignment,
        progress: Progress,
    ) -> Outcome:
        left_s = call.deadline_s - self._now_s()
        if left_s <= MIN_TIME_S:
            return NotRun("out-of-time", arrived=False)
        data = encode_request(
            call.method,
            call.target,
            call.raw_headers,
            call.body,
            deadline_s=left_s,
            upstream=assignment.upstream.name,
            team=call.team,
            last_event=progress.relay.last_id,
            fetch_from=assignment.fetch_from,
        )
        connection.send(call.method, data)
        progress.timeout = StallTolerantTimeout(find_silence_timeout_s(call, progress, left_s))
        try:
            async with progress.timeout:
                answer = await connection.receive(call.head.request_id)
            self._placement.record_answer_head(assignment.upstream, answer.head)
            self._placement.record_notice(
                call,
                assignment.upstream,
                decode_notice(answer.status, answer.raw_headers, time.time()),
            )
            progress.answering = True
            if answer.head.load is not None:
                progress.reported_load = answer.head.load.running + answer.head.load.waiting
            if answer.status == 421:
                return NotRun("misdirected", arrived=True, misdirected=True)
            if answer.head.not_run:
                return NotRun(f"not-executed-{answer.status}", arrived=True)
            if 200 <= answer.status < 300 and not answer.head.genuine:
                return MayHaveRun("the answer is not the upstream's own", silent=False)
            if answer.status in names.NOT_RUN_STATUSES and not call.route.repeatable:
                # The status would tell the caller what the upstream has not said.
                return MayHaveRun(f"status {answer.status} of a request that may have run", False)
            return await self._relay.relay(call, caller, answer, assignment.upstream, progress)
        except TimeoutError:
            return MayHaveRun("no answer in time", silent=True)
        except PathLost as error:
            return MayHaveRun(str(error), silent=True, path_lost=True)
        except (AnswerBroken, AnswerMismatched) as error:
            return MayHaveRun(str(error), silent=False)

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
