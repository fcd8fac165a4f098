"""Exchanges the limits that upstreams name between instances.

Instances behind few requests would hear of a limit, and of its end, seconds after the others. The
reports travel with the requests for rows that instances send to each other anyway.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence

from jayyoke.edge.log import log_event
from jayyoke.ops.requestlimit import MAX_NEWS, MAX_REMINDERS, LimitReport, RequestLimits
from jayyoke.wire.gen import ttypes

# An older report says nothing of an upstream's need now.
MAX_AGE_S = 3600.0
# Of fifteen digits, as upstreams may name it.
MAX_LIMIT_PER_S = 1e15
_NO_LIMIT = -1.0


class LimitExchange:
    """Tells peers of limits, and records and logs what they tell."""

    __slots__ = ("_limits",)

    def __init__(self, limits: RequestLimits):
        self._limits = limits

    @property
    def empty(self) -> bool:
        """Tell whether there is nothing to exchange."""
        return self._limits.empty

    def list_reports(self) -> list[LimitReport]:
        """Return what to tell a peer."""
        return self._limits.list_reports()

    def merge(self, reports: Iterable[LimitReport]) -> None:
        """Record the reports of a peer that are newer than the known ones."""
        for report in self._limits.merge(reports):
            log_event(
                "upstream-limit",
                upstream=report.upstream,
                limit_per_s=report.limit_per_s,
                source="peer",
            )


def encode_limits(reports: Sequence[LimitReport], now_s: float) -> ttypes.HeardLimits | None:
    """Return a message with the reports, or None without any."""
    reports = [report for report in reports if now_s - report.reported_at_s <= MAX_AGE_S]
    if not reports:
        return None
    return ttypes.HeardLimits(
        incarnations=[report.upstream for report in reports],
        limits_per_s=[_NO_LIMIT if w.limit_per_s is None else w.limit_per_s for w in reports],
        ages_ms=[max(0, int((now_s - report.reported_at_s) * 1000)) for report in reports],
    )


def decode_limits(heard: ttypes.HeardLimits | None, now_s: float) -> list[LimitReport]:
    """Return the reports of a peer, with ages before `now_s`; raise TypeError or ValueError."""
    if heard is None:
        return []
    columns = (heard.incarnations or (), heard.limits_per_s or (), heard.ages_ms or ())
    found = []
    for upstream, limit_per_s, age_ms in zip(*columns, strict=True):
        if not 0 <= age_ms <= MAX_AGE_S * 1000:
            continue
        if limit_per_s == _NO_LIMIT:
            found.append(LimitReport(str(upstream), None, now_s - age_ms / 1000))
        elif 0.0 <= limit_per_s <= MAX_LIMIT_PER_S:
            found.append(LimitReport(str(upstream), float(limit_per_s), now_s - age_ms / 1000))
    return found[: MAX_NEWS + MAX_REMINDERS]
