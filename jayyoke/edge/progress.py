"""Attempts of one call so far."""

from __future__ import annotations

from dataclasses import dataclass, field

from jayyoke.edge.assignment import Assignment
from jayyoke.edge.outcome import Failed, MayHaveRun, NotRun, Outcome
from jayyoke.edge.retrybudget import RetryBudget
from jayyoke.edge.send import Send
from jayyoke.edge.stream import EventRelay

# A request is not sent again after so many engines ended when they began to answer it.
MAX_SUSPECT_RUNS = 2


@dataclass(slots=True)
class Progress:
    """Holds the attempts of a call; `arrivals` reached an upstream, `runs` may have run."""

    service: str
    relay: EventRelay
    budget: RetryBudget
    # Keys of the prompt's parts and of the request itself in the quarantine.
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
    # A send that another upstream has begun to answer, in place of one that is silent.
    replacement: Send | None = None
    # Whether the first send had no answer when a hedge was due.
    late: bool = False
    # Why the call was last not sent to another upstream beside a silent one.
    not_opened: str = ""

    def begin_send(self, assignment: Assignment, now_s: float) -> Send:
        """Count a send and return it."""
        self.sends += 1
        self.tried.add(assignment.upstream.incarnation)
        return Send(assignment, now_s)

    def take_replacement(self) -> Send | None:
        """Return the send that replaces the last one, if there is one, and forget it."""
        replacement, self.replacement = self.replacement, None
        return replacement

    def record(self, outcome: Outcome) -> None:
        """Count an outcome that did not serve the caller."""
        match outcome:
            case NotRun(reason, arrived):
                self.arrivals += arrived
                self.last_reason = reason
            case MayHaveRun(reason):
                self.arrivals += 1
                self.runs += 1
                self.last_reason = reason
            case Failed(status):
                self.arrivals += 1
                self.runs += 1
                self.failure = outcome
                self.last_reason = f"status-{status}"
