"""Requests that reached simulated engines, and the share of them beyond the users' load bound."""

from __future__ import annotations

from collections.abc import Iterator, Sequence
from dataclasses import dataclass

# The users' bound allows this many requests beyond the multiple of the mean.
BOUND_SLACK = 3.0
WINDOW_S = 5.0
WINDOW_STEP_S = 0.5
# The users do not apply the bound to windows with fewer requests.
MIN_WINDOW_REQUESTS = 20


@dataclass(frozen=True, slots=True)
class Arrival:
    """Holds the estimated and the real loads when an instance sent a request to an engine."""

    at_s: float
    instance: int
    engine: str
    requests: int
    mean_requests: float
    estimated_requests: float
    report_age_s: float | None

    def exceeds(self, factor: float) -> bool:
        """Tell whether the engine has more requests than the users' bound, with this request."""
        return self.requests + 1 > factor * self.mean_requests + BOUND_SLACK


def find_worst_window(
    arrivals: Sequence[Arrival], factor: float, begins_s: float = 0.0
) -> tuple[float, int]:
    """Return the largest share of requests beyond the bound in any window, and their number."""
    worst = (0.0, 0)
    for window in _list_windows(arrivals, begins_s):
        count_beyond = sum(arrival.exceeds(factor) for arrival in window)
        if len(window) >= MIN_WINDOW_REQUESTS:
            worst = max(worst, (count_beyond / len(window), count_beyond))
    return worst


def _list_windows(arrivals: Sequence[Arrival], begins_s: float) -> Iterator[list[Arrival]]:
    end_s = arrivals[-1].at_s if arrivals else 0.0
    at_s = begins_s
    while at_s + WINDOW_S <= end_s:
        yield [arrival for arrival in arrivals if at_s <= arrival.at_s < at_s + WINDOW_S]
        at_s += WINDOW_STEP_S
