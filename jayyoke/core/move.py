"""Records of version moves: a service goes from one version to another by a deadline."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from jayyoke.core.error import JayyokeError

PPM = 1_000_000


class MovePhase(enum.Enum):
    """Progress of a move; DONE and ROLLED_BACK are final."""

    RUNNING = "running"
    ROLLING_BACK = "taking-back"
    DONE = "done"
    ROLLED_BACK = "taken-back"


@dataclass(frozen=True, slots=True)
class Move:
    """Holds one move, as stored in its row of the table service.

    Times are Unix seconds. Later moves of a service reuse its row, so that the fencing token only
    grows. `renewal` grows with each write of the lease holder.
    """

    id: str
    service: str
    old_version: str
    new_version: str
    started_s: float
    deadline_s: float
    phase: MovePhase = MovePhase.RUNNING
    step: int = 0
    step_started_s: float = 0.0
    share_ppm: int = 0
    shadow_ppm: int = 0
    fence: int = 0
    holder: str = ""
    renewal: int = 0
    reason: str = ""
    finished_s: float = 0.0

    @property
    def active(self) -> bool:
        """Tell whether the move has not ended yet."""
        return self.phase in (MovePhase.RUNNING, MovePhase.ROLLING_BACK)


@dataclass(frozen=True, slots=True)
class OutcomeCounts:
    """Counts the outcomes of requests on one version and route."""

    requests: int = 0
    failures: int = 0
    slow: int = 0

    def add(self, other: OutcomeCounts) -> OutcomeCounts:
        """Return the sum of both counts."""
        return OutcomeCounts(
            self.requests + other.requests,
            self.failures + other.failures,
            self.slow + other.slow,
        )


class MoveActive(JayyokeError):
    """Reports that another move of the service is active."""

    def __init__(self, move: Move):
        super().__init__(f"service {move.service!r} is moving to {move.new_version!r}")
        self.move = move


class VersionInForce(JayyokeError):
    """Reports that a service already runs the target version of a move."""

    def __init__(self, service: str, version: str):
        super().__init__(f"service {service!r} already runs version {version!r}")
