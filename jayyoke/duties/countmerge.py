"""Merges the counts of many processes without counting a request twice.

Designed for 30 sources a domain and 14 domains. Each source sends its totals to two followers of
its domain. The state that a follower has of a source is always that of one moment, so of two
followers the one with the larger sum has the newer state. A report takes each source from that one.
Followers copy the counts of their domain to the next one, for the case that the domain fails.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field

import xxhash

from jayyoke.duties.usagecount import TeamTotals

# A source that has not been heard of for this time is not waited for: three periods of its reports.
ALIVE_S = 5.0
FORGET_S = 180.0
MAX_SOURCES = 1024
MAX_TEAMS = 8192
MAX_COUNT = 2**31 - 1


def build_source_id(source: str) -> int:
    """Return a number of 63 bits that stands for a source."""
    return xxhash.xxh3_64_intdigest(source.encode()) >> 1


@dataclass(frozen=True, slots=True)
class Summary:
    """Holds the requests of each source in a window, and how many sources have more to send."""

    totals: dict[int, int]
    pending: int


@dataclass(frozen=True, slots=True)
class SourceChanges:
    """Holds the totals of a source that changed, and its newest complete window."""

    source: str
    complete: int
    windows: list[TeamTotals]


@dataclass(slots=True)
class _Source:
    """Holds what one process has counted, as far as it was heard."""

    domain: str
    heard_s: float
    complete: int = -1
    windows: dict[int, dict[str, int]] = field(default_factory=dict)
    # The serial number of the last change of each total, and of the last change at all.
    changes: dict[tuple[int, str], int] = field(default_factory=dict)
    serial: int = 0


class CountBook:
    """Keeps the counts of the processes that report to this one; times are seconds since boot."""

    def __init__(self, kept_windows: int) -> None:
        self._kept_windows = kept_windows
        self._serial = 0
        self._sources: dict[str, _Source] = {}

    def merge(
        self,
        source: str,
        domain: str,
        complete: int,
        windows: Iterable[TeamTotals],
        now_s: float,
    ) -> None:
        """Record totals of a source; smaller ones than the known change nothing."""
        known = self._sources.get(source)
        if known is None:
            if len(self._sources) >= MAX_SOURCES:
                self._forget(now_s)
            if len(self._sources) >= MAX_SOURCES:
                return
            known = self._sources[source] = _Source(domain, now_s)
        known.heard_s = now_s
        self._serial += 1
        if complete > known.complete:
            known.complete = complete
            known.serial = self._serial
        for totals in windows:
            counts = known.windows.setdefault(totals.window, {})
            for team, count in totals.by_team.items():
                count = min(count, MAX_COUNT)
                if count <= counts.get(team, 0) or (
                    team not in counts and len(counts) >= MAX_TEAMS
                ):
                    continue
                counts[team] = count
                known.changes[(totals.window, team)] = known.serial = self._serial
        while len(known.windows) > self._kept_windows:
            oldest = min(known.windows)
            for team in known.windows.pop(oldest):
                known.changes.pop((oldest, team), None)

    def summarize(self, window: int, domain: str, now_s: float) -> Summary:
        """Return what the sources of a domain have counted in a window."""
        self._forget(now_s)
        totals = {}
        pending = 0
        for name, source in self._sources.items():
            if source.domain != domain:
                continue
            if source.complete < window and now_s - source.heard_s < ALIVE_S:
                pending += 1
            counts = source.windows.get(window)
            if counts:
                totals[build_source_id(name)] = sum(counts.values())
        return Summary(totals, pending)

    def add_up(self, window: int, domain: str, ids: Iterable[int]) -> dict[str, int]:
        """Return the requests of some sources in a window, by team."""
        wanted = set(ids)
        found: dict[str, int] = {}
        for name, source in self._sources.items():
            if source.domain != domain or build_source_id(name) not in wanted:
                continue
            add_counts(found, source.windows.get(window, {}))
        return found

    @property
    def serial(self) -> int:
        """Return the number of the last message that was merged."""
        return self._serial

    def list_changes(self, after: int, domain: str) -> list[SourceChanges]:
        """Return what changed of a domain's sources after a serial number."""
        found = []
        for name, source in self._sources.items():
            if source.domain != domain or source.serial <= after:
                continue
            windows: dict[int, dict[str, int]] = {}
            for (window, team), serial in source.changes.items():
                if serial > after:
                    windows.setdefault(window, {})[team] = source.windows[window][team]
            totals = [TeamTotals(window, windows[window]) for window in sorted(windows)]
            found.append(SourceChanges(name, source.complete, totals))
        return found

    def _forget(self, now_s: float) -> None:
        silent = [n for n, found in self._sources.items() if now_s - found.heard_s > FORGET_S]
        for name in silent:
            del self._sources[name]


def add_counts(totals: dict[str, int], counts: Mapping[str, int]) -> None:
    """Add counts to totals by team."""
    for team, count in counts.items():
        totals[team] = totals.get(team, 0) + count


def find_next_domain(domain: str, domains: Iterable[str]) -> str | None:
    """Return the domain that keeps a copy of a domain's counts, or None if there is no other."""
    others = sorted(set(domains) - {domain})
    later = [found for found in others if found > domain]
    return next(iter(later or others), None)


def assign_sources(summaries: Sequence[Mapping[int, int]]) -> list[list[int]]:
    """Return for each follower of a domain the sources of which it has the newest state."""
    found: list[list[int]] = [[] for _ in summaries]
    for source in sorted({name for summary in summaries for name in summary}):
        sums = [summary.get(source, -1) for summary in summaries]
        found[sums.index(max(sums))].append(source)
    return found
