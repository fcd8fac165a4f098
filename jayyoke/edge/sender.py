"""Sends calls to upstreams, and records how each send ended."""

from __future__ import annotations

import time
from collections.abc import Callable

from jayyoke.core.error import (
    AnswerBroken,
    AnswerMismatched,
    ConnectFailed,
    ConnectTimedOut,
    PathLost,
)
from jayyoke.edge.call import Call
from jayyoke.edge.connection import Answer
from jayyoke.edge.moves import MoveParticipant
from jayyoke.edge.outcome import Delivered, Failed, MayHaveRun, NotRun, Outcome
from jayyoke.edge.placement import Placer
from jayyoke.edge.pool import ConnectionPool
from jayyoke.edge.progress import Progress
from jayyoke.edge.send import Send
from jayyoke.edge.usagerecorder import UsageRecorder
from jayyoke.ops.quarantine import Quarantine
from jayyoke.platform import names
from jayyoke.platform.message import decode_notice, encode_request_head

# With less time left an upstream cannot answer any more.
MIN_TIME_S = 0.02
SEND_ERRORS = (ConnectFailed, TimeoutError, PathLost, AnswerBroken, AnswerMismatched)


class Sender:
    """Takes a send through its stages: `start`, `record_head` and `finish`."""

    def __init__(
        self,
        placement: Placer,
        moves: MoveParticipant,
        pool: ConnectionPool,
        quarantine: Quarantine,
        now_s: Callable[[], float],
        usage: UsageRecorder | None = None,
        send_priority: bool = False,
    ):
        self._placement = placement
        self._moves = moves
        self._pool = pool
        self._quarantine = quarantine
        self._now_s = now_s
        self._usage = usage
        self._send_priority = send_priority

    async def start(self, call: Call, send: Send, progress: Progress) -> NotRun | None:
        """Send the request; return an outcome if it was not sent, or raise ConnectFailed."""
        upstream = send.upstream
        connection = await self._pool.acquire(upstream, not call.route.repeatable, send.sent_s)
        send.connection = connection
        if self._quarantine.find_wait_s(progress.part_keys) is not None:
            # The part was quarantined while this call waited.
            return NotRun("part-quarantined", arrived=False)
        self._quarantine.begin(progress.part_keys)
        send.begun = True
        if self._placement.notices.is_withdrawn(upstream.incarnation):
            # Another call's answer has said so while this connection was opened.
            return NotRun("withdrawn", arrived=False)
        left_s = call.deadline_s - self._now_s()
        if left_s <= MIN_TIME_S:
            return NotRun("out-of-time", arrived=False)
        limits = self._placement.limits
        if not send.assignment.limited and not limits.take(upstream.incarnation):
            # Another call's answer has named a limit while this connection was opened.
            return NotRun("limited", arrived=False)
        head = encode_request_head(
            call.method,
            call.target,
            call.raw_headers,
            None if call.body is None else len(call.body),
            deadline_s=left_s,
            upstream=upstream.name,
            team=call.team,
            last_event=progress.relay.last_id,
            fetch_from=send.assignment.fetch_from,
            rank=self._find_sent_rank(call, upstream.service),
        )
        send.dispatched = True
        connection.send(call.method, head, call.body or b"")
        return None

    def record_head(self, call: Call, send: Send, answer: Answer) -> Outcome | None:
        """Record the head of an answer; return an outcome if the answer is not to be relayed."""
        head = answer.head
        self._placement.record_answer_head(send.upstream, head)
        notice = decode_notice(answer.status, answer.raw_headers, time.time())
        self._placement.record_notice(call, send.upstream, notice)
        if answer.status != 421 and (head.signed or notice.limit_per_s is not None):
            # An answer of a proxy lacks the header too, which does not end the limit.
            self._placement.record_limit(call, send.upstream, notice.limit_per_s, send.sent_s)
        send.answer = answer
        if head.load is not None:
            send.reported_load = head.load.running + head.load.waiting
        if answer.status == 421:
            return NotRun("misdirected", arrived=True, misdirected=True)
        if head.not_run:
            return NotRun(f"not-executed-{answer.status}", arrived=True)
        if 200 <= answer.status < 300 and not head.genuine:
            return MayHaveRun("the answer is not the upstream's own", silent=False)
        if answer.status in names.NOT_RUN_STATUSES and not call.route.repeatable:
            # The status would tell the caller what the upstream has not said.
            return MayHaveRun(f"status {answer.status} of a request that may have run", False)
        return None

    def record_first_event(self, call: Call, send: Send) -> None:
        """Record that the first event of a stream has come."""
        if self._usage is not None:
            self._usage.record_first_event(call, send)

    def record_silence(self, call: Call, send: Send) -> None:
        """Keep other calls from an upstream that is silent, while this one still waits for it."""
        if send.silence_recorded:
            return
        send.silence_recorded = True
        self._placement.record_silence(call, send.upstream)
        self._pool.drop(send.upstream)

    def finish(self, call: Call, send: Send, outcome: Outcome, progress: Progress) -> None:
        """Free what a send holds, and record its outcome for the upstream."""
        upstream = send.upstream
        connection = send.connection
        if self._usage is not None:
            self._usage.record_end(call, send, outcome)
        if send.begun:
            self._quarantine.finish(progress.part_keys)
        answered = isinstance(outcome, Delivered | Failed)
        if connection is not None and not answered:
            connection.abort()
        now_s = self._now_s()
        self._placement.release(
            progress.service,
            upstream,
            send.answering,
            now_s - send.sent_s,
            send.assignment.limited and not send.dispatched,
            call.rank,
        )
        if not (send.silence_recorded and isinstance(outcome, MayHaveRun) and outcome.silent):
            latency_s = send.measure(call.route.prefix_affinity).latency_s
            suspected = self._placement.record_outcome(
                call, progress.service, upstream, outcome, latency_s
            )
            for found in suspected:
                self._pool.drop(found)
        self._count_for_version(call, send, outcome)
        if self._placement.notices.is_leaving(upstream.incarnation):
            self._pool.drop(upstream)
            if connection is not None:
                connection.abort()
        elif connection is not None and answered:
            self._pool.release(upstream, connection, now_s)
        if isinstance(outcome, MayHaveRun):
            self._pool.drop(upstream)

    def _find_sent_rank(self, call: Call, service: str) -> int | None:
        """Return the rank to send with a call, or None if the upstream gets none."""
        config = self._placement.view.config
        if not self._send_priority or config is None:
            return None
        profile = config.services.get(service)
        return call.rank if profile is not None and profile.engine else None

    def _count_for_version(self, call: Call, send: Send, outcome: Outcome) -> None:
        """Count an ended send for the upstream's version, unless it was counted while it ran."""
        if isinstance(outcome, NotRun):
            return
        failed = not isinstance(outcome, Delivered)
        version = (send.upstream.service, call.route.name, send.upstream.version)
        if not send.counted:
            times = send.measure(call.route.prefix_affinity)
            self._moves.record_answer(*version, failed, times)
        elif failed:
            self._moves.record_late_failure(*version)


def describe_error(error: Exception) -> Outcome:
    """Return the outcome of a send that ended with one of SEND_ERRORS."""
    match error:
        case ConnectFailed():
            silent = isinstance(error, ConnectTimedOut)
            return NotRun(f"unreachable: {error}", arrived=False, silent=silent)
        case PathLost():
            return MayHaveRun(str(error), silent=True, path_lost=True)
        case AnswerBroken() | AnswerMismatched():
            return MayHaveRun(str(error), silent=False)
    return MayHaveRun("no answer in time", silent=True)
