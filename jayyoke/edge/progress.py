"""What one call has tried so far, and what was measured of its present send."""

from __future__ import annotations

from dataclasses import dataclass, field

from jayyoke.edge.outcome import Failed
from jayyoke.edge.pace import AnswerTimes, Pace
from jayyoke.edge.stream import EventRelay
from jayyoke.utils.patience import Patience


@dataclass(slots=True)
class Progress:
    """Holds what a call has tried; `runs` counts sends that may have run."""

    relay: EventRelay
    tried: set[str] = field(default_factory=set)
    sends: int = 0
    arrivals: int = 0
    runs: int = 0
    failure: Failed | None = None
    last: str = ""
    # When the present send brought its answer or first event.
    first_s: float | None = None
    # Requests that the present upstream reported with its answer.
    reported_load: int | None = None
    # Whether the present upstream has begun to answer.
    answering: bool = False
    # When the present send began, the pace of its events, and whether it has been judged by it.
    sent_s: float = 0.0
    pace: Pace = field(default_factory=Pace)
    judged: bool = False
    # The wait for the present send's newest bytes.
    patience: Patience | None = None

    @property
    def timer_late_ms(self) -> int:
        """Return by how much the timer of the last wait was late: this process stood still."""
        return 0 if self.patience is None else round(self.patience.late_s * 1000)

    def begin_send(self, now_s: float) -> None:
        """Forget what was measured of the send before."""
        self.sends += 1
        self.sent_s = now_s
        self.first_s = None
        self.reported_load = None
        self.answering = False
        self.pace = Pace()
        self.judged = False
        self.patience = None

    def measure(self, cached_prompt: bool) -> AnswerTimes:
        """Return the times of the present send."""
        latency_s = None if self.first_s is None else self.first_s - self.sent_s
        return AnswerTimes(latency_s, self.pace.gap_s, cached_prompt)
