"""Estimates how slow the upstreams of a service are now, from figures of known age.

Designed for 70 engines of which 15% are 2.5 times slower for spells of 0.6 s, and for up to 195
instances, each of which learns an engine's figure a few times a second from its own answers and
those of its peers. A figure says little once a spell may have ended, so its weight falls on the
time scale of a spell. Figures come from upstreams and may be wrong: they are bounded, those of an
upstream that has been slow most of the time count for nothing, and only a minority of a service's
upstreams can count as slow.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

# Weight of a figure by its age: 0.22 after 0.3 s, 0.05 after 0.6 s. With a slower decay requests
# leave for spells that have ended.
DECAY_S = 0.2
# Figures beyond these bounds count as the bound. Faster than usual counts as usual, since choosing
# the fastest upstream would send all instances to it.
MIN_SLOWNESS = 1.0
MAX_SLOWNESS = 4.0
# An upstream counts as slow from this estimate on; less is within the noise of answers.
SLOW = 1.25
# At most this fraction of a service's upstreams count as slow, the slowest of them. Usually 15% are
# slow; with three in ten left out, the others exceeded the load bound.
MAX_SLOW_FRACTION = 0.2
# Older figures have no weight.
MAX_AGE_S = 3.0
# A figure above the usual stands for this long, if none follows. An upstream that was slow for more
# than half of the recent time has a wrong figure: spells fill 15% of it.
SPELL_S = 0.6
SHARE_WINDOW_S = 2.0
MAX_SLOW_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Figure:
    """Holds how many times longer than usual work took at an upstream at a time."""

    slowness: float
    reported_at_s: float

    def estimate(self, now_s: float) -> float:
        """Return the expected slowness now, at least 1.0."""
        bounded = min(MAX_SLOWNESS, max(MIN_SLOWNESS, self.slowness))
        age_s = max(0.0, now_s - self.reported_at_s)
        return 1.0 + (bounded - 1.0) * math.exp(-age_s / DECAY_S)


class FigureTrack:
    """Keeps the newest figure of one upstream, and for what share of the time it was slow."""

    __slots__ = ("_figure", "_slow_share")

    def __init__(self) -> None:
        self._figure: Figure | None = None
        self._slow_share = 0.0

    @property
    def figure(self) -> Figure | None:
        """Return the newest figure, or None if it is not known or not credible."""
        return self._figure if self._slow_share <= MAX_SLOW_SHARE else None

    def record(self, slowness: float, reported_at_s: float) -> None:
        """Record a figure, unless a newer one is known."""
        last = self._figure
        if last is not None:
            gap_s = reported_at_s - last.reported_at_s
            if gap_s <= 0:
                return
            weight = 1.0 - math.exp(-min(gap_s, SPELL_S) / SHARE_WINDOW_S)
            self._slow_share += weight * ((last.slowness >= SLOW) - self._slow_share)
        self._figure = Figure(slowness, reported_at_s)


def estimate_slowness(
    figures: Iterable[tuple[str, Figure | None]], now_s: float
) -> Mapping[str, float]:
    """Return the slowness of the upstreams that are slow now, compared with the others.

    `figures` has one item for each live upstream of the service. While most are slow none is, since
    there is nowhere better to go.
    """
    known = list(figures)
    count = len(known)
    estimates = {}
    for name, figure in known:
        if figure is not None and now_s - figure.reported_at_s <= MAX_AGE_S:
            estimates[name] = figure.estimate(now_s)
    if not estimates:
        return estimates
    # Upstreams without a figure count as usual.
    ordered = sorted((*estimates.values(), *[1.0] * (count - len(estimates))))
    usual = ordered[(count - 1) // 2]
    slow = [(value / usual, name) for name, value in estimates.items() if value / usual >= SLOW]
    slow.sort(reverse=True)
    return {name: value for value, name in slow[: math.floor(MAX_SLOW_FRACTION * count)]}
