"""Attempts of one call so far, and the measurements of its current send."""

from __future__ import annotations

from dataclasses import dataclass, field

from jayyoke.edge.answertimes import AnswerTimes, StreamTiming
from jayyoke.edge.outcome import Failed
from jayyoke.edge.stream import EventRelay
from jayyoke.utils.stalltimeout import StallTolerantTimeout


@dataclass(slots=True)
class Progress:
    """Holds the attempts of a call; `arrivals` reached an upstream, `runs` may have run."""

    relay: EventRelay
    # Keys of the prompt's parts in the quarantine.
    part_keys: tuple[str, ...] = ()
    tried: set[str] = field(default_factory=set)
    sends: int = 0
    arrivals: int = 0
    runs: int = 0
    # Runs that ended with their engines: those that were being answered, which take none of the
    # call's attempts, and those that may have been the cause.
    uncounted_runs: int = 0
    suspect_runs: int = 0
    failure: Failed | None = None
    last_reason: str = ""
    # When the answer or first event of the current send came.
    first_s: float | None = None
    # Requests that the current upstream reported with its answer.
    reported_load: int | None = None
    # Whether the current upstream has begun to answer.
    answering: bool = False
    # When the current send began, the timing of its events, and whether it was counted already.
    sent_s: float = 0.0
    timing: StreamTiming = field(default_factory=StreamTiming)
    counted: bool = False
    # Whether the current send has shown that the parts of the prompt are sound.
    parts_good: bool = False
    # The wait for the current send's newest bytes.
    timeout: StallTolerantTimeout | None = None

    @property
    def timer_late_ms(self) -> int:
        """Return how late the timer of the last wait was, since this process did not run."""
        return 0 if self.timeout is None else round(self.timeout.stalled_s * 1000)

    def begin_send(self, now_s: float) -> None:
        """Count a send and reset the measurements of the one before."""
        self.sends += 1
        self.sent_s = now_s
        self.first_s = None
        self.reported_load = None
        self.answering = False
        self.timing = StreamTiming()
        self.counted = False
        self.parts_good = False
        self.timeout = None

    def measure_writing_s(self, now_s: float) -> float | None:
        """Return for how long the current send's answer is being written, or None before it is."""
        return None if self.first_s is None else now_s - self.first_s

    def measure(self, cached_prompt: bool) -> AnswerTimes:
        """Return the times of the current send."""
        latency_s = None if self.first_s is None else self.first_s - self.sent_s
        return AnswerTimes(latency_s, self.timing.gap_s, cached_prompt)
