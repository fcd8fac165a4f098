"""Tells when calls that no upstream may get now can be served: after a wait, or on their return."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from jayyoke.edge.assignment import Refused
from jayyoke.edge.call import Call
from jayyoke.edge.candidates import CandidateFinder
from jayyoke.ops.notices import UpstreamNotices
from jayyoke.ops.requestlimit import RequestLimits

# Upstreams and domains come back after seconds; the caller's time left limits this further.
NO_UPSTREAM_RETRY_S = 2.0
# A call waits for the end of a pause only if it is about as short as the wait for a free slot.
MAX_PAUSE_WAIT_S = 0.3
# Among calls that wait for the same slot, the more urgent ones wake first.
RANK_DELAY_S = 0.001
MIN_RECHECK_S = 0.001
# Callers return with at least this fraction of their time left.
RETURN_LEFT_FRACTION = 0.5


@dataclass(frozen=True, slots=True)
class Wait:
    """Holds how long a call expects to wait for an upstream, and when it should check again."""

    expected_s: float
    recheck_s: float


class ReturnTimes:
    """Finds when upstreams that pause or are limited may get a request again."""

    def __init__(
        self,
        candidates: CandidateFinder,
        notices: UpstreamNotices,
        limits: RequestLimits,
        now_s: Callable[[], float],
    ):
        self._candidates = candidates
        self._notices = notices
        self._limits = limits
        self._now_s = now_s

    def find_wait(
        self, call: Call, service: str, tried: Collection[str], ahead: int
    ) -> Wait | None:
        """Return how long a call has to wait behind others, or None if waiting does not help."""
        names = self._list_staying(call, service, tried)
        pause_s = self._notices.find_soonest_s(names)
        if pause_s is not None and pause_s <= MAX_PAUSE_WAIT_S:
            return Wait(pause_s, pause_s)
        limited = self._list_limited(names)
        if not limited:
            return None
        soonest_s = self._find_slot_s(limited)
        behind_s = ahead / max(1e-6, self._limits.find_rate(limited))
        recheck_s = max(MIN_RECHECK_S, soonest_s) + RANK_DELAY_S * call.rank
        return Wait(soonest_s + behind_s, recheck_s)

    def refuse(self, call: Call, service: str, tried: Collection[str]) -> Refused:
        """Refuse a call at once, since upstreams come back later than it can wait."""
        names = self._list_staying(call, service, ())
        limited = self._list_limited(names)
        pause_s = self._notices.find_soonest_s(names)
        if limited:
            left_s = RETURN_LEFT_FRACTION * max(0.0, call.deadline_s - self._now_s())
            soonest_s = self._find_slot_s(limited)
            return_s = self._limits.choose_return_s(service, limited, soonest_s, left_s)
            return Refused("upstreams-limited", return_s, spread=True, final=True)
        if pause_s is not None:
            return Refused("upstreams-pause", self._notices.choose_return_s(pause_s), spread=True)
        reason = "no-other-upstream" if tried else "no-upstream"
        return Refused(reason, NO_UPSTREAM_RETRY_S)

    def _list_staying(self, call: Call, service: str, tried: Collection[str]) -> list[str]:
        allowed = (found.incarnation for found in self._candidates.list_allowed(call, service))
        return [name for name in allowed if name not in tried]

    def _list_limited(self, names: Collection[str]) -> list[str]:
        """Return those of the upstreams that a limit alone keeps from getting a request."""
        if self._limits.empty:
            return []
        found = []
        for name in names:
            if self._limits.may_send(name) or self._notices.is_withdrawn(name):
                continue
            found.append(name)
        return found

    def _find_slot_s(self, limited: Collection[str]) -> float:
        return min(self._limits.find_wait_s(name) for name in limited)
