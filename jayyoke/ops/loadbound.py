"""Load bound of engines, a multiple of the mean (Mirrokni, Thorup and Zadimoghaddam, 2018)."""

from __future__ import annotations

import math
from dataclasses import dataclass

# Rounding up, and digests that are up to 1 s old, let the most loaded engine exceed the admission
# threshold. With this share of the configured headroom it stays within the bound; see the frontier
# in docs/placement.md.
REQUEST_HEADROOM_SHARE = 0.74
# Work is not rounded up, so its share may be larger than that of requests. At a share of 0.9, an
# engine reached 1.256 times the mean with a multiple of 1.25.
WORK_HEADROOM_SHARE = 0.8


@dataclass(frozen=True, slots=True)
class MeanLoad:
    """Holds the mean load per engine of a service, in requests and in tokens of work."""

    engines: int
    requests: float
    work_tokens: float

    def add(self, work_tokens: int) -> MeanLoad:
        """Return the mean with one more request."""
        share = 1.0 / max(self.engines, 1)
        return MeanLoad(self.engines, self.requests + share, self.work_tokens + work_tokens * share)


def compute_admission_multiple(multiple: float, share: float = REQUEST_HEADROOM_SHARE) -> float:
    """Return the multiple up to which stewards admit work; it is below the configured one."""
    return 1.0 + (multiple - 1.0) * share


def compute_bound(multiple: float, mean_requests: float) -> int:
    """Return multiple x mean, rounded up to a whole number of requests, at least 1."""
    return max(1, math.ceil(multiple * mean_requests - 1e-9))


def admits(
    requests: int,
    work_tokens: int,
    added_tokens: int,
    mean: MeanLoad,
    multiple: float,
    work_multiple: float,
) -> bool:
    """Tell whether an engine with this load may take one more request of `added_tokens`.

    An engine at or below the mean work may take a request of any size; otherwise every engine could
    refuse a request that is larger than the headroom.
    """
    after = mean.add(added_tokens)
    if requests + 1 > compute_bound(multiple, after.requests):
        return False
    if work_tokens <= after.work_tokens:
        return True
    return work_tokens + added_tokens <= work_multiple * after.work_tokens
