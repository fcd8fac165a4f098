"""Decides on the hedges of an entry instance.

Load addressed: a few slow answers among many quick ones. If many answers are slow at the same time,
hedges would add work where there is too little room already, so none are sent.
"""

from __future__ import annotations

from jayyoke.core.entrysettings import HedgeSettings
from jayyoke.core.route import Route
from jayyoke.hedging.delay import Delays
from jayyoke.hedging.eligibility import may_hedge_route
from jayyoke.hedging.window import WindowCount

# An instance gets a few requests a second of a route, of which a small share is a whole request
# only over a long window.
BUDGET_WINDOW_S = 60.0
RECENT_SAMPLES = 1000
SLOW_WINDOW_S = 5.0
# Slowness is everywhere if more than this part of a service's requests exceed the usual delay.
MAX_SLOW_FRACTION = 0.1
# The usual delay falls at once and doubles at most once in this time. The percentile alone would
# follow a service that turns slow as a whole within seconds, and its slowest answers be hedged.
USUAL_DOUBLES_S = 60.0
# With few requests, two late ones do not show that the service is slow.
MAX_SLOW_FEW = 2

NO_SHARE = "hedge-share"
SLOW_EVERYWHERE = "slow-everywhere"


class Hedger:
    """Decides after what delay calls are hedged, and whether they are at that time."""

    def __init__(self, settings: HedgeSettings):
        self._share = settings.share
        self._delays = Delays(settings.percentile, settings.min_samples, RECENT_SAMPLES)
        self._requests: dict[str, WindowCount] = {}
        self._hedges: dict[str, WindowCount] = {}
        self._answers: dict[str, WindowCount] = {}
        self._slow: dict[str, WindowCount] = {}
        # Each route's usual delay in seconds, and when it was computed.
        self._usual: dict[str, tuple[float, float]] = {}

    @property
    def enabled(self) -> bool:
        """Tell whether the operator has allowed hedges."""
        return self._share > 0.0

    def add_request(self, route: Route, now_s: float) -> None:
        """Count a caller's request."""
        if self.enabled:
            _find(self._requests, route.name, BUDGET_WINDOW_S).add(now_s)

    def record_answer(
        self, route: Route, service: str, seconds: float, late: bool, now_s: float
    ) -> None:
        """Record the time that a first send took, or until another upstream's answer was used.

        Sends that lose to a hedge count too; without them, each hedge would shorten the delay of
        later ones. `late` is set if the send was recorded as late.
        """
        if not self.enabled:
            return
        self._delays.observe(route.name, seconds)
        usual_s = self._update_usual_s(route, now_s)
        if late:
            return
        _find(self._answers, service, SLOW_WINDOW_S).add(now_s)
        if usual_s is not None and seconds > usual_s:
            _find(self._slow, service, SLOW_WINDOW_S).add(now_s)

    def find_delay_s(self, route: Route, events: int) -> float | None:
        """Return the seconds without an answer after which a call is hedged, or None if never."""
        if not self.enabled or not may_hedge_route(route, events):
            return None
        return self._delays.find_s(route.name)

    def record_late(self, service: str, now_s: float) -> None:
        """Record that a call has reached its delay without an answer."""
        _find(self._answers, service, SLOW_WINDOW_S).add(now_s)
        _find(self._slow, service, SLOW_WINDOW_S).add(now_s)

    def spend(self, route: Route, service: str, now_s: float) -> str | None:
        """Take a hedge from the route's share; return the reason if it may not be sent."""
        slow = _find(self._slow, service, SLOW_WINDOW_S).read(now_s)
        answers = _find(self._answers, service, SLOW_WINDOW_S).read(now_s)
        if slow > max(MAX_SLOW_FEW, MAX_SLOW_FRACTION * answers):
            return SLOW_EVERYWHERE
        hedges = _find(self._hedges, route.name, BUDGET_WINDOW_S)
        requests = _find(self._requests, route.name, BUDGET_WINDOW_S).read(now_s)
        if hedges.read(now_s) + 1 > self._share * requests:
            return NO_SHARE
        hedges.add(now_s)
        return None

    def give_back(self, route: Route, now_s: float) -> None:
        """Return a hedge that was taken from the share and not sent."""
        _find(self._hedges, route.name, BUDGET_WINDOW_S).add(now_s, -1)

    def _update_usual_s(self, route: Route, now_s: float) -> float | None:
        delay_s = self._delays.find_s(route.name)
        if delay_s is None:
            return None
        before_s, at_s = self._usual.get(route.name, (delay_s, now_s))
        usual_s = min(delay_s, before_s * 2.0 ** ((now_s - at_s) / USUAL_DOUBLES_S))
        self._usual[route.name] = (usual_s, now_s)
        return usual_s


def _find(counts: dict[str, WindowCount], key: str, window_s: float) -> WindowCount:
    """Return the counter of a key; keys are names in the operator's configuration."""
    found = counts.get(key)
    if found is None:
        found = counts[key] = WindowCount(window_s)
    return found
