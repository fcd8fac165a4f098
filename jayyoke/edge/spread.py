"""Spreads requests that do not go to their home over the other engines.

Designed for 59 instances in front of 70 engines, where an instance hears of an engine's load every
few seconds. When traffic begins, it has heard of none, and all instances take the engines to be
idle. When the home of a session is full, all of them know the same ranking of the others. Both ways
their requests meet at few engines, and reports are too rare to show it in time. So each instance
takes the engines in turn from a place of its own in a common order, which keeps the sum over all
instances even without messages.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Sequence

from jayyoke.edge.choose import Candidate

# Fewer instances have enough reports of their own.
MIN_INSTANCES = 16
# Traffic of a service counts as new for this long, while most engines have not reported a load.
START_S = 2.0
START_UNREPORTED_FRACTION = 0.5


class Spread:
    """Takes the engines of one service in turn, beginning at the instance's own place."""

    __slots__ = ("_began_s", "_count", "_instance", "_list_instances", "_now_s")

    def __init__(
        self,
        instance: str,
        list_instances: Callable[[], Iterable[str]],
        now_s: Callable[[], float],
    ):
        self._instance = instance
        self._list_instances = list_instances
        self._now_s = now_s
        self._began_s = now_s()
        self._count = 0

    @property
    def useful(self) -> bool:
        """Tell whether there are so many instances that each knows little of the loads."""
        return len(self._find_instances()) >= MIN_INSTANCES

    def is_starting(self, candidates: Sequence[Candidate]) -> bool:
        """Tell whether traffic has just begun, so that the loads of most engines are unknown."""
        if self._now_s() - self._began_s > START_S:
            return False
        unreported = sum(found.load_age_s is None for found in candidates)
        return unreported > START_UNREPORTED_FRACTION * len(candidates)

    def order(self, candidates: Sequence[Candidate]) -> list[Candidate]:
        """Return the candidates from the next place on."""
        if not candidates:
            return []
        ordered = sorted(candidates, key=lambda found: found.upstream.incarnation)
        instances = self._find_instances()
        place = sum(other < self._instance for other in instances)
        start = (place * len(ordered) // len(instances) + self._count) % len(ordered)
        self._count += 1
        return ordered[start:] + ordered[:start]

    def _find_instances(self) -> set[str]:
        return {self._instance, *self._list_instances()}
