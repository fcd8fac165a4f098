"""Records of what callers and upstreams saw during a run."""

from __future__ import annotations

from dataclasses import dataclass, field

NO_INSTANCE = -1


@dataclass(slots=True)
class Sent:
    """Holds one request of a caller; times are in seconds of the runner's monotonic clock.

    `whole_s` is when the last byte of its body was sent, 0 if that was not recorded.
    `status` is 0 if no complete response head arrived. `complete` says that the whole answer
    arrived, `left` that the caller disconnected on purpose. `lifetime` counts the processes that
    were started for the instance.
    """

    id: str
    kind: str
    instance: int
    lifetime: int
    key: str
    sent_s: float
    deadline_s: float
    ended_s: float = 0.0
    whole_s: float = 0.0
    status: int = 0
    body: bytes = b""
    complete: bool = False
    left: bool = False
    error: str = ""
    # Whether its prompt has the part that ends upstreams.
    deadly: bool = False


@dataclass(slots=True)
class Run:
    """Holds one request as an upstream received it; `ran` is False if the upstream refused it.

    `ended_s` is when the upstream had made its whole answer, or infinity.
    """

    id: str
    upstream: str
    at_s: float
    line: str
    body: bytes
    team: str
    credentials: str
    expected: str
    ran: bool
    ended_s: float = float("inf")


@dataclass(frozen=True, slots=True)
class Disturbance:
    """Records when an instance could not work as usual, or not learn of changes.

    An instance of None means all instances, NO_INSTANCE that only upstreams were disturbed.
    """

    instance: int | None
    began_s: float
    ended_s: float
    what: str


@dataclass(frozen=True, slots=True)
class KeyChange:
    """Records when the store acknowledged that the second key was added or removed."""

    at_s: float
    present: bool


@dataclass(frozen=True, slots=True)
class Leaving:
    """Records when an upstream's row was set to draining."""

    upstream: str
    at_s: float


@dataclass(frozen=True, slots=True)
class Stop:
    """Records when a process was sent SIGTERM, when it ended, and its exit code."""

    instance: int
    lifetime: int
    began_s: float
    ended_s: float
    code: int


@dataclass(slots=True)
class Record:
    """Holds everything that was recorded in a run."""

    sent: list[Sent] = field(default_factory=list)
    runs: list[Run] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    key_changes: list[KeyChange] = field(default_factory=list)
    leavings: list[Leaving] = field(default_factory=list)
    # When upstreams ended under a request with the deadly part.
    ends_s: list[float] = field(default_factory=list)
    stops: list[Stop] = field(default_factory=list)
    deaths: list[str] = field(default_factory=list)
    clean_from_s: float = float("inf")
    clean_until_s: float = float("inf")

    def is_disturbed(self, instance: int, begin_s: float, end_s: float) -> bool:
        """Tell whether an instance was disturbed between two times."""
        for disturbance in self.disturbances:
            if disturbance.instance not in (None, instance):
                continue
            if disturbance.began_s < end_s and disturbance.ended_s > begin_s:
                return True
        return False

    def is_undisturbed(self, begin_s: float, end_s: float) -> bool:
        """Tell whether no instance or upstream was disturbed between two times."""
        return not any(
            disturbance.began_s < end_s and disturbance.ended_s > begin_s
            for disturbance in self.disturbances
        )
