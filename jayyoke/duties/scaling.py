"""Decides how many upstreams of a service each domain needs.

Designed for waves of +27% in 11 s, upstreams that serve 8 s after their order, and 14 domains. The
number follows the load at once when that rises, and late when it falls. Free slots bear a wave
until new upstreams serve. Nothing is decided on loads that are old or missing. An evacuation or a
domain that failed is no reason to order fewer.
"""

from __future__ import annotations

import json
import math
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass, field, replace

from jayyoke.core.route import ScaleLimits
from jayyoke.utils.jsontext import parse_unique_json

# The part of their slots that upstreams are to use: a wave of +27% leaves it below 0.8.
TARGET_PART = 0.6
# Above it the load says less than the demand, since requests wait or are refused elsewhere.
FULL_PART = 0.9
FULL_FACTOR = 1.3
# The load is averaged over this time.
MEAN_S = 1.5
# A subject is decided upon after it was observed for this time.
MIN_OBSERVED_S = 4.0
# Fewer upstreams are ordered if they sufficed for so long: several waves of 11 to 15 s.
DOWN_AFTER_S = 45.0
# With fewer of the ordered upstreams their domain may be failing.
MIN_LIVE_PART = 0.8
# Differences below this part are not worth an order down.
MIN_DOWN_PART = 0.08
# With fewer upstreams that reported lately nothing is decided.
MIN_FRESH_PART = 0.6
# Upstreams that were ordered and are still missing this long after they should serve.
MISSING_S = 20.0
REPEAT_S = 30.0
MAX_ROW_BYTES = 256 << 10


@dataclass(frozen=True, slots=True)
class Subject:
    """Names a service in a domain; each has orders of its own."""

    service: str
    domain: str


@dataclass(frozen=True, slots=True)
class DomainLoad:
    """Holds the live upstreams of a service in a domain, and their requests.

    `fresh_part` is the part of the upstreams whose load was heard lately. `disturbed` tells that
    the domain or another one is evacuated or unreachable.
    """

    live: int
    slots: int
    requests: float
    fresh_part: float
    disturbed: bool = False


def choose_load(own: DomainLoad, heard: DomainLoad | None) -> DomainLoad:
    """Return which of two views of a domain knows more; either may tell of a disturbance."""
    if heard is None:
        return own
    chosen = heard if heard.fresh_part >= own.fresh_part else own
    return replace(chosen, disturbed=own.disturbed or heard.disturbed)


@dataclass(slots=True)
class _State:
    """Holds what is known of a subject; times are seconds since boot."""

    ordered: int | None = None
    observed_s: float | None = None
    updated_s: float = 0.0
    mean: float = 0.0
    live: int = 0
    wanted: int | None = None
    disturbed: bool = False
    # Whether the service has accepted the number that was ordered last.
    accepted: bool = True
    differs_since_s: float | None = None
    sent_s: float = float("-inf")
    # The numbers needed lately, and when.
    needed: deque[tuple[float, int]] = field(default_factory=deque)


class ScalePlanner:
    """Keeps the loads of all subjects, and the numbers ordered last."""

    def __init__(self) -> None:
        self._states: dict[Subject, _State] = {}

    @property
    def ordered(self) -> dict[Subject, int]:
        """Return the numbers ordered last."""
        known = self._states.items()
        return {found: state.ordered for found, state in known if state.ordered is not None}

    def begin(self, ordered: Mapping[Subject, int]) -> None:
        """Begin a tenure with the numbers that the store holds."""
        own = self.ordered
        self._states = {found: _State(ordered=number) for found, number in (own | ordered).items()}

    def observe(self, subject: Subject, load: DomainLoad, limits: ScaleLimits, now_s: float) -> int:
        """Record the load of a subject; return the number that is wanted now."""
        state = self._states.setdefault(subject, _State())
        if state.ordered is None:
            state.ordered = load.live
        state.live = load.live
        if load.disturbed or load.live == 0:
            # Nothing that is needed now says what will be needed afterwards.
            state.needed.clear()
        if not load.live or not load.slots or load.fresh_part < MIN_FRESH_PART:
            state.observed_s = None
            state.wanted = None
            return state.ordered
        state.disturbed = load.disturbed
        self._average(state, load, now_s)
        needed = _find_needed(state, load)
        state.needed.append((now_s, needed))
        while state.needed[0][0] < now_s - DOWN_AFTER_S:
            state.needed.popleft()
        state.wanted = self._find_wanted(state, limits, now_s)
        self._record_difference(state, now_s)
        return state.wanted

    def find_order(self, subject: Subject, limits: ScaleLimits, now_s: float) -> int | None:
        """Return the number to order now, or None if the last order stands."""
        state = self._states.get(subject)
        if state is None or state.wanted is None or state.ordered is None:
            return None
        if state.observed_s is None or now_s - state.observed_s < MIN_OBSERVED_S:
            return None
        if state.wanted != state.ordered:
            return state.wanted
        within = limits.min_upstreams <= state.ordered <= limits.max_upstreams
        if within and (not state.accepted or self._is_missing(state, limits, now_s)):
            return state.ordered
        return None

    def record_sent(self, subject: Subject, number: int, now_s: float, accepted: bool) -> None:
        """Record an order and whether the service has accepted it."""
        state = self._states.setdefault(subject, _State())
        state.ordered = number
        state.accepted = accepted
        state.sent_s = now_s
        state.differs_since_s = None

    def _average(self, state: _State, load: DomainLoad, now_s: float) -> None:
        if state.observed_s is None:
            state.observed_s = now_s
            state.mean = load.requests
        passed_s = max(0.0, now_s - state.updated_s)
        state.updated_s = now_s
        state.mean += (1.0 - math.exp(-passed_s / MEAN_S)) * (load.requests - state.mean)

    def _find_wanted(self, state: _State, limits: ScaleLimits, now_s: float) -> int:
        assert state.ordered is not None and state.observed_s is not None
        newest = state.needed[-1][1]
        least = max(number for _, number in state.needed)
        wanted = state.ordered
        if newest > state.ordered:
            wanted = newest
        elif (
            state.live >= MIN_LIVE_PART * state.ordered
            and now_s - state.needed[0][0] > 0.9 * DOWN_AFTER_S
            and state.ordered - least >= max(1.0, MIN_DOWN_PART * state.ordered)
        ):
            wanted = least
        return min(limits.max_upstreams, max(limits.min_upstreams, wanted))

    def _record_difference(self, state: _State, now_s: float) -> None:
        if state.live == state.ordered:
            state.differs_since_s = None
        elif state.differs_since_s is None:
            state.differs_since_s = now_s

    def _is_missing(self, state: _State, limits: ScaleLimits, now_s: float) -> bool:
        """Tell whether the last order seems to be lost, since its upstreams are not there."""
        if state.differs_since_s is None or state.disturbed:
            return False
        late = now_s - state.differs_since_s > limits.startup_s + MISSING_S
        return late and now_s - state.sent_s > REPEAT_S


def _find_needed(state: _State, load: DomainLoad) -> int:
    """Return how many upstreams bear the load with free slots for a wave."""
    expected = state.mean
    if expected >= FULL_PART * load.slots:
        expected *= FULL_FACTOR
    slots_each = load.slots / load.live
    return max(1, math.ceil(expected / (slots_each * TARGET_PART) - 1e-9))


def encode_orders(ordered: Mapping[Subject, int]) -> bytes:
    """Return the value of the row with the numbers ordered last."""
    orders = [[found.service, found.domain, number] for found, number in ordered.items()]
    return json.dumps(sorted(orders)).encode()


def decode_orders(value: bytes) -> dict[Subject, int]:
    """Return the numbers ordered last; raise ValueError."""
    found = {}
    try:
        for service, domain, number in parse_unique_json(value, MAX_ROW_BYTES):
            if type(number) is not int or number < 0:
                raise ValueError("an order is no number")
            found[Subject(str(service), str(domain))] = number
    except TypeError as error:
        raise ValueError(f"the row holds no orders: {error}") from error
    return found
