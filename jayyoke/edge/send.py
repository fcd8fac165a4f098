"""One send of a call to an upstream, with the measurements of its answer."""

from __future__ import annotations

from dataclasses import dataclass, field

from jayyoke.core.upstream import Upstream
from jayyoke.edge.answertimes import AnswerTimes, StreamTiming
from jayyoke.edge.assignment import Assignment
from jayyoke.edge.connection import Answer, UpstreamConnection
from jayyoke.utils.stalltimeout import READ_AFTER_STALL_S, StallTolerantTimeout


@dataclass(slots=True)
class Send:
    """Holds a send from its assignment to its end; times are seconds since boot."""

    assignment: Assignment
    sent_s: float
    connection: UpstreamConnection | None = None
    # The answer, as soon as its head has come.
    answer: Answer | None = None
    # The first part of a stream, if it was read before the stream is relayed.
    first_bytes: bytes = b""
    # When the answer or its first event came.
    first_s: float | None = None
    # Requests that the upstream reported with its answer.
    reported_load: int | None = None
    # The timing of the events, and whether it was counted for the upstream's version.
    timing: StreamTiming = field(default_factory=StreamTiming)
    counted: bool = False
    # Whether the answer has shown that the parts of the prompt are sound.
    parts_good: bool = False
    # Whether the quarantine was notified that the send began.
    begun: bool = False
    # Whether a byte of the request may have been sent.
    dispatched: bool = False
    # Whether it was counted for the reports of usage.
    usage_counted: bool = False
    # Whether the upstream was suspended for its silence.
    silence_recorded: bool = False
    # The wait for the newest bytes.
    timeout: StallTolerantTimeout | None = None
    # When this process first read bytes after the call's deadline.
    overtime_from_s: float | None = None

    @property
    def upstream(self) -> Upstream:
        """Return the upstream that gets the request."""
        return self.assignment.upstream

    @property
    def answering(self) -> bool:
        """Tell whether the upstream has begun to answer."""
        return self.answer is not None

    @property
    def timer_late_ms(self) -> int:
        """Return how late the timer of the last wait was, since this process did not run."""
        return 0 if self.timeout is None else round(self.timeout.stalled_s * 1000)

    def is_overdue(self, now_s: float) -> bool:
        """Tell whether there was time to read what came before the call's deadline.

        The deadline has passed; this process may have stood still until now.
        """
        if self.overtime_from_s is None:
            self.overtime_from_s = now_s
        return now_s - self.overtime_from_s > READ_AFTER_STALL_S

    def measure_writing_s(self, now_s: float) -> float | None:
        """Return for how long the answer is being written, or None before it is."""
        return None if self.first_s is None else now_s - self.first_s

    def measure(self, cached_prompt: bool) -> AnswerTimes:
        """Return the times of the answer."""
        latency_s = None if self.first_s is None else self.first_s - self.sent_s
        return AnswerTimes(latency_s, self.timing.gap_s, cached_prompt)
