"""Keeps the requests of all instances together to the limits that upstreams name.

Designed for 6 to 195 instances in front of upstreams that take a few requests a second, so that
each instance may send one only every few seconds. Shares of a rate would not do: the unspent
tokens of many instances add up to a burst. Instead the limit is a sequence of slots on a clock
that all instances read, one request each, which go to the instances in turn; rendezvous hashing
gives their order for each upstream. A slot that is not used lapses. So at most
`limit * (t + VALID_S) + 1` requests are sent in any `t` seconds, whichever instances have requests,
and no messages are needed, as long as the limit and the list of instances stay as they are.

Differing clocks and lists disturb the order; so do changes, after which an instance's next slot
comes later rather than sooner.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Iterable
from dataclasses import dataclass

from jayyoke.ops.rendezvous import rank

# An unused slot lapses after this time.
VALID_S = 1.0
# Somebody must still ask an upstream, else the end of its limit would never be heard.
MIN_RATE = 0.2
# Higher limits are beyond what instances send.
MAX_RATE = 1e5
# Instances that heard slightly different limits must agree on the slots, so a rate has two digits
# and is kept while the limit is not lower, and higher by less than this factor.
KEPT_FACTOR = 1.1
# Differences by the rounding of floats: of a slot's time computed from its number and back, and of
# rates.
ROUNDING_S = 1e-6
RATE_ROUNDING = 1e-6
# The list of instances is read again after this time.
INSTANCES_AGE_S = 0.5
# A peer's report counts as newer than a known one only by more than messages take, since each adds
# its own delay to a report's time.
NEWER_S = 0.05
# The end of a limit is remembered for so long, against older reports of peers.
ENDED_KEPT_S = 60.0
# Upstreams remembered; the oldest are forgotten first.
MAX_KNOWN = 4096
# A changed report is told to peers for this time, others by chance.
NEWS_S = 4.0
MAX_NEWS = 24
MAX_REMINDERS = 8


@dataclass(frozen=True, slots=True)
class LimitReport:
    """Holds what an upstream named at a time of the own clock; None stands for no limit."""

    upstream: str
    limit_per_s: float | None
    reported_at_s: float


@dataclass(slots=True)
class _Known:
    """Holds the newest report of an upstream and the slots that this instance has used.

    `rate` is the rate of slots, None without a limit, `begun_s` when the limit was first heard.
    Slots of this instance are numbered by their round, in which it comes `turn`-th of `instances`.
    `used` is the last one that may not be used, `used_s` its time on the common clock; `before` is
    what `used` was before the last request took it, if that may be given back. `stale` is set if
    the slots have to be numbered again; `instances` is 0 before the first time.
    """

    report: LimitReport
    rate: float | None
    begun_s: float
    changed_s: float
    used_s: float
    before: int | None = None
    stale: bool = True
    round_s: float = 0.0
    turn: int = 0
    instances: int = 0
    used: int = 0


class RequestLimits:
    """Holds the limits of upstreams by name or incarnation, and tells whether one may be sent to.

    `now_s` is the own clock, `read_common_s` one that all instances read alike, both in seconds.
    """

    __slots__ = (
        "_instance",
        "_instances",
        "_known",
        "_list_instances",
        "_listed_s",
        "_now_s",
        "_read_common_s",
        "_return_s",
        "_source",
    )

    def __init__(
        self,
        instance: str,
        list_instances: Callable[[], Iterable[str]],
        read_common_s: Callable[[], float],
        now_s: Callable[[], float],
        source: random.Random | None = None,
    ):
        self._instance = instance
        self._list_instances = list_instances
        self._read_common_s = read_common_s
        self._now_s = now_s
        self._source = source or random.Random()
        self._known: dict[str, _Known] = {}
        self._instances: frozenset[str] = frozenset((instance,))
        self._listed_s = -math.inf
        self._return_s: dict[str, float] = {}

    @property
    def empty(self) -> bool:
        """Tell whether no upstream is known to have named a limit, the usual case."""
        return not self._known

    @property
    def limited(self) -> int:
        """Return how many upstreams have a limit now."""
        return sum(known.report.limit_per_s is not None for known in self._known.values())

    def record(self, upstream: str, limit_per_s: float | None, asked_s: float = math.inf) -> bool:
        """Record what an answer of the upstream says; return True if it is a change.

        An answer that names no limit ends one only if its request was sent at a time `asked_s` at
        which the limit was known here: others may be older than the limit.
        """
        known = self._known.get(upstream)
        if limit_per_s is None and (known is None or asked_s < known.begun_s):
            return False
        return self._record(LimitReport(upstream, limit_per_s, self._now_s()))

    def merge(self, reports: Iterable[LimitReport]) -> list[LimitReport]:
        """Record the reports of a peer that are newer than the known ones; return the changes."""
        changes = []
        for report in reports:
            known = self._known.get(report.upstream)
            if known is None and report.limit_per_s is None:
                # Else instances would tell each other forever of limits that have ended.
                continue
            if known is not None and report.reported_at_s <= known.report.reported_at_s + NEWER_S:
                continue
            if self._record(report):
                changes.append(report)
        return changes

    def find_limit(self, upstream: str) -> float | None:
        """Return the limit of an upstream in requests a second, or None."""
        known = self._known.get(upstream)
        return None if known is None else known.report.limit_per_s

    def may_send(self, upstream: str) -> bool:
        """Tell whether this instance may send a request to an upstream now."""
        return self.find_wait_s(upstream) <= 0.0

    def find_wait_s(self, upstream: str) -> float:
        """Return the time until this instance may send to an upstream, 0 if it may now."""
        known = self._known.get(upstream)
        if known is None or known.report.limit_per_s is None:
            return 0.0
        common_s = self._read_common_s()
        self._update(known, common_s)
        return max(0.0, _find_slot_s(known, _find_first(known, common_s)) - common_s)

    def take(self, upstream: str) -> bool:
        """Use a slot for one request; return False if the request must go elsewhere or wait."""
        known = self._known.get(upstream)
        if known is None or known.report.limit_per_s is None:
            return True
        common_s = self._read_common_s()
        self._update(known, common_s)
        first = _find_first(known, common_s)
        slot_s = _find_slot_s(known, first)
        if slot_s > common_s:
            return False
        known.before, known.used, known.used_s = known.used, first, slot_s
        return True

    def give_back(self, upstream: str) -> None:
        """Free the slot of a request that was not sent, unless slots were numbered since."""
        known = self._known.get(upstream)
        if known is None or known.before is None:
            return
        known.used, known.before = known.before, None
        known.used_s = _find_slot_s(known, known.used)

    def find_rate(self, upstreams: Iterable[str]) -> float:
        """Return how many requests a second this instance may send to limited upstreams."""
        limits = [self.find_limit(upstream) or 0.0 for upstream in upstreams]
        return sum(limits) / len(self._read_instances())

    def choose_return_s(
        self, group: str, upstreams: Iterable[str], soonest_s: float, left_s: float
    ) -> float:
        """Return after how many seconds a refused caller of a group of upstreams should return.

        Each caller gets a later time than the last one, at the rate at which slots come; a time
        within `left_s` by chance if those are given to others.
        """
        now_s = self._now_s()
        gap_s = 1.0 / max(MIN_RATE, self.find_rate(upstreams))
        due_s = max(now_s + soonest_s, self._return_s.get(group, now_s) + gap_s)
        if due_s - now_s > left_s:
            return self._source.uniform(min(soonest_s, left_s), left_s)
        self._return_s[group] = due_s
        return due_s - now_s

    def list_reports(self) -> list[LimitReport]:
        """Return reports for a peer: the recent changes, and some others by chance."""
        if not self._known:
            return []
        since_s = self._now_s() - NEWS_S
        news, others = [], []
        for known in self._known.values():
            (news if known.changed_s >= since_s else others).append(known)
        # The same few would leave out the rest when many change at once.
        news = self._source.sample(news, min(len(news), MAX_NEWS))
        others = self._source.sample(others, min(len(others), MAX_REMINDERS))
        return [known.report for known in news + others]

    def retain(self, upstreams: Collection[str]) -> None:
        """Forget the upstreams that are not among these, and limits that ended long ago."""
        now_s = self._now_s()
        for upstream, known in list(self._known.items()):
            ended = known.report.limit_per_s is None and now_s - known.changed_s > ENDED_KEPT_S
            if ended or upstream not in upstreams:
                del self._known[upstream]

    def _record(self, report: LimitReport) -> bool:
        now_s = self._now_s()
        known = self._known.get(report.upstream)
        if known is not None and _keeps_rate(known.rate, report.limit_per_s):
            known.report = report
            return False
        rate = _find_rate(report.limit_per_s)
        if known is None:
            # Requests before the first report have used the slots until now.
            known = _Known(report, rate, now_s, now_s, self._read_common_s())
            self._known[report.upstream] = known
            while len(self._known) > MAX_KNOWN:
                del self._known[next(iter(self._known))]
        elif known.rate is None:
            known.begun_s = now_s
            known.used_s = self._read_common_s()
            known.instances = 0
        known.report = report
        known.rate = rate
        known.changed_s = now_s
        known.before = None
        known.stale = True
        return True

    def _update(self, known: _Known, common_s: float) -> None:
        """Renumber the slots if the limit or the instances have changed."""
        instances = self._read_instances()
        if known.instances and known.used_s > common_s + known.round_s:
            # The clock was set back.
            known.used_s = common_s
            known.stale = True
        if not known.stale:
            return
        begin_s = known.used_s
        if known.instances:
            # With the new order the next slot comes half a round later on average. Without this
            # gap, and with slots of the time before, limits that change often would be exceeded.
            begin_s = max(common_s, begin_s + 0.5 * known.round_s)
        assert known.rate is not None
        known.stale = False
        known.before = None
        known.instances = len(instances)
        known.round_s = known.instances / known.rate
        known.turn = rank(known.report.upstream, instances).index(self._instance)
        known.used = _find_slot(known, begin_s + ROUNDING_S)

    def _read_instances(self) -> frozenset[str]:
        now_s = self._now_s()
        if now_s - self._listed_s >= INSTANCES_AGE_S:
            self._listed_s = now_s
            instances = frozenset((self._instance, *self._list_instances()))
            if instances != self._instances:
                self._instances = instances
                for known in self._known.values():
                    known.stale = True
        return self._instances


def build_own_limits(now_s: Callable[[], float]) -> RequestLimits:
    """Return limits that no other instance shares."""
    return RequestLimits("", tuple, now_s, now_s)


def _find_rate(limit_per_s: float | None) -> float | None:
    """Return a limit rounded down to two digits."""
    if limit_per_s is None:
        return None
    rate = min(MAX_RATE, max(MIN_RATE, limit_per_s))
    unit = 10.0 ** (math.floor(math.log10(rate)) - 1)
    return math.floor(rate / unit + RATE_ROUNDING) * unit


def _keeps_rate(rate: float | None, limit_per_s: float | None) -> bool:
    """Tell whether a new limit leaves the rate as it is."""
    if rate is None or limit_per_s is None:
        return rate is limit_per_s
    return rate <= min(MAX_RATE, max(MIN_RATE, limit_per_s)) + RATE_ROUNDING < KEPT_FACTOR * rate


def _find_slot(known: _Known, common_s: float) -> int:
    """Return the number of this instance's last slot that begins by a time."""
    assert known.rate is not None
    return math.floor((common_s * known.rate - known.turn) / known.instances)


def _find_slot_s(known: _Known, slot: int) -> float:
    """Return when a slot of this instance begins."""
    assert known.rate is not None
    return (slot * known.instances + known.turn) / known.rate


def _find_first(known: _Known, common_s: float) -> int:
    """Return the number of the first slot that has neither been used nor lapsed."""
    return max(known.used, _find_slot(known, common_s - VALID_S)) + 1
