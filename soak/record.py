"""What callers and upstreams saw during a run."""

from __future__ import annotations

from dataclasses import dataclass, field

NO_INSTANCE = -1


@dataclass(slots=True)
class Sent:
    """Holds one request of a caller; times are in seconds of the runner's steady clock.

    `status` is 0 without a whole head. `complete` tells that the answer ended as a whole one,
    `left` that the caller went away by itself. `lifetime` counts the processes of the instance.
    """

    id: str
    kind: str
    instance: int
    lifetime: int
    key: str
    sent_s: float
    deadline_s: float
    ended_s: float = 0.0
    status: int = 0
    body: bytes = b""
    complete: bool = False
    left: bool = False
    error: str = ""


@dataclass(frozen=True, slots=True)
class Run:
    """Holds one request as an upstream got it; `ran` is False if the upstream refused it."""

    id: str
    upstream: str
    at_s: float
    line: str
    body: bytes
    team: str
    credentials: str
    expected: str
    ran: bool


@dataclass(frozen=True, slots=True)
class Disturbance:
    """Says that an instance could not act as usual, or not learn of changes.

    An instance of None stands for each, and one of NO_INSTANCE for a disturbance of upstreams.
    """

    instance: int | None
    began_s: float
    ended_s: float
    what: str


@dataclass(frozen=True, slots=True)
class KeyChange:
    """Says that the second key was added or taken away, when the store acknowledged it."""

    at_s: float
    present: bool


@dataclass(frozen=True, slots=True)
class Leaving:
    """Says that an upstream's row told of its leaving."""

    upstream: str
    at_s: float


@dataclass(frozen=True, slots=True)
class Stop:
    """Holds a SIGTERM, the end of its process and the exit code."""

    instance: int
    lifetime: int
    began_s: float
    ended_s: float
    code: int


@dataclass(slots=True)
class Record:
    """Holds all that was seen in a run."""

    sent: list[Sent] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    key_changes: list[KeyChange] = field(default_factory=list)
    leavings: list[Leaving] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    deaths: list[str] = field(default_factory=list)
    clean_from_s: float = float("inf")

    def is_disturbed(self, instance: int, begin_s: float, end_s: float) -> bool:
        """Tell whether anything disturbed an instance within a time."""
        for found in self.disturbances:
            if found.instance not in (None, instance):
                continue
            if found.began_s < end_s and found.ended_s > begin_s:
                return True
        return False

    def is_calm(self, begin_s: float, end_s: float) -> bool:
        """Tell whether nothing at all was disturbed within a time."""
        return not any(
            found.began_s < end_s and found.ended_s > begin_s for found in self.disturbances
        )
