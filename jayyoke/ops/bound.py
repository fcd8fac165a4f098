"""Load bound of engines (Mirrokni, Thorup and Zadimoghaddam, 2018): multiple x mean."""

from __future__ import annotations

import math
from dataclasses import dataclass

# Rounding up and digests of up to 1 s let the highest engine exceed the admission threshold; the
# frontier in docs/placement.md shows the share of the configured headroom that keeps the bound.
ADMISSION_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class Mean:
    """Holds the mean load per engine of a service, in requests and in tokens of work."""

    engines: int
    requests: float
    work_tokens: float

    def add(self, work_tokens: int) -> Mean:
        """Return the mean with one more request."""
        share = 1.0 / max(self.engines, 1)
        return Mean(self.engines, self.requests + share, self.work_tokens + work_tokens * share)


def tighten(multiple: float, share: float = ADMISSION_SHARE) -> float:
    """Return the multiple that stewards admit up to, below the configured one."""
    return 1.0 + (multiple - 1.0) * share


def compute_bound(multiple: float, mean_requests: float) -> int:
    """Return the whole number of requests at or above multiple x mean, at least 1."""
    return max(1, math.ceil(multiple * mean_requests - 1e-9))


def admits(requests: int, work_tokens: int, added_tokens: int, mean: Mean, multiple: float) -> bool:
    """Tell whether an engine with this load may take one more request of `added_tokens`.

    An engine at or below the mean work may take a request of any size, since otherwise a request
    larger than the headroom could be refused by every engine.
    """
    after = mean.add(added_tokens)
    if requests + 1 > compute_bound(multiple, after.requests):
        return False
    if work_tokens <= after.work_tokens:
        return True
    return work_tokens + added_tokens <= multiple * after.work_tokens
