"""Estimates how many requests the upstreams of a service have now.

Load it answers: instances that hear of an engine a few times a second, while its requests last
about half a second. A report is the truth of its moment; what the other instances sent since is in
none, and what the report counted has partly ended.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass

from jayyoke.core.upstream import Upstream
from jayyoke.edge.canary import Split
from jayyoke.edge.track import Track
from jayyoke.utils.ewma import Ewma

# How long requests are taken to last until some have ended.
FIRST_DURATION_S = 0.5
LEAST_DURATION_S = 0.05
DURATION_WEIGHT = 0.05


@dataclass(frozen=True, slots=True)
class Loads:
    """Holds the estimated requests of a service's upstreams by incarnation, and their mean."""

    by_incarnation: Mapping[str, float]
    mean: float

    def find(self, incarnation: str) -> float:
        """Return the load of an upstream, or 0 if it is none of the live ones."""
        return self.by_incarnation.get(incarnation, 0.0)


NO_LOADS = Loads({}, 0.0)


def find_resting(
    live: Iterable[Upstream], split: Split, evacuated: Collection[str]
) -> frozenset[str]:
    """Return the upstreams to which no instance may send anything, by the store's rows."""
    resting = set()
    for found in live:
        share = 1.0
        if split.version:
            share = split.share if found.version == split.version else 1.0 - split.share
        if share <= 0.0 or found.domain in evacuated:
            resting.add(found.incarnation)
    return frozenset(resting)


class LoadEstimator:
    """Estimates the loads of one service's upstreams from own requests and reports."""

    __slots__ = ("_duration",)

    def __init__(self) -> None:
        self._duration = Ewma(DURATION_WEIGHT)

    @property
    def duration_s(self) -> float:
        """Return how long requests last on average, in seconds."""
        known_s = self._duration.value
        return FIRST_DURATION_S if known_s is None else max(LEAST_DURATION_S, known_s)

    def note_duration(self, duration_s: float) -> None:
        """Take how long a request had its place."""
        self._duration.add(duration_s)

    def estimate(
        self, tracks: Mapping[str, Track], now_s: float, resting: Collection[str] = ()
    ) -> Loads:
        """Return the loads of all live upstreams of the service, given their tracks.

        The requests of others that a report counted end within the usual duration, and are
        replaced by as many as the upstream usually has, or the service's upstreams have on average
        where too little was heard of it: the weight of the report falls exponentially with its age.
        Upstreams that no answer came from are taken for idle. Those that are `resting` get no more
        requests from any instance.
        """
        if not tracks:
            return NO_LOADS
        heard = [track.others for track in tracks.values() if track.reported]
        average = sum(heard) / len(heard) if heard else 0.0
        loads = {}
        for name, track in tracks.items():
            loads[name] = float(track.in_flight)
            if not track.reported:
                continue
            level_weight = track.weigh_level(now_s)
            usual = level_weight * track.level + (1.0 - level_weight) * average
            if name in resting:
                usual = 0.0
            weight = math.exp(-max(0.0, now_s - track.heard_s) / self.duration_s)
            loads[name] += weight * track.others + (1.0 - weight) * usual
        return Loads(loads, sum(loads.values()) / len(loads))
