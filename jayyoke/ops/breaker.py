"""Circuit breaker of one upstream, with a longer backoff each time it flaps."""

from __future__ import annotations

from dataclasses import dataclass

FAILURES_TO_OPEN = 2
FIRST_HOLD_S = 1.0
MAX_HOLD_S = 30.0
STABLE_S = 60.0


@dataclass(slots=True)
class Breaker:
    """Opens after failed probes and closes after a hold; times are monotonic seconds."""

    failures: int = 0
    hold_s: float = 0.0
    opened_s: float = 0.0
    open: bool = False

    def record_failure(self, now_s: float) -> None:
        """Count a failed probe; two in a row open the breaker."""
        self.failures += 1
        if self.open:
            self.opened_s = now_s
            return
        if self.failures < FAILURES_TO_OPEN:
            return
        stable = now_s - self.opened_s > STABLE_S or self.hold_s == 0
        self.hold_s = FIRST_HOLD_S if stable else min(2 * self.hold_s, MAX_HOLD_S)
        self.opened_s = now_s
        self.open = True

    def record_success(self, now_s: float) -> bool:
        """Count an answered probe; return True if it closes the breaker."""
        self.failures = 0
        if not self.open or now_s - self.opened_s < self.hold_s:
            return False
        self.open = False
        return True
