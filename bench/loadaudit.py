"""Counts the requests of each engine at every placement, from the logs of all instances.

    python -m bench.loadaudit LOG

An instance logs its estimate of the loads; only the logs of all instances show the real ones. A
request counts at its engine from its `placed` line to the line that ends the attempt. Each line of
a log is a time in seconds, the instance's name and a JSON object. Run the instances with
`--log-lines-per-s` above their traffic, since a request whose end was dropped counts for ever.
"""

from __future__ import annotations

import argparse
import json
import math
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator, Sequence
from dataclasses import dataclass
from pathlib import Path

BOUND_SLACK = 3.0
WINDOW_S = 5.0
WINDOW_STEP_S = 0.5
# While the store is silent, the entry of a live engine may be missing for up to this long.
MAX_GAP_S = 10.0
END_EVENTS = frozenset(
    {
        "answered",
        "attempt-failed",
        "caller-left",
        "failed",
        "failure-passed-on",
        "refused",
        "stream-cut",
    }
)


@dataclass(frozen=True, slots=True)
class LogLine:
    """Holds one event of one instance."""

    at_s: float
    instance: str
    fields: dict[str, object]

    @property
    def event(self) -> str:
        """Return the event's name."""
        return str(self.fields.get("event", ""))


@dataclass(frozen=True, slots=True)
class Placement:
    """Holds the estimated and the real loads when an instance placed a request.

    `requests` and `mean_requests` are the real requests at the engine and on average at the engines
    of its service, without the placed one.
    """

    at_s: float
    instance: str
    upstream: str
    request_id: str
    requests: int
    mean_requests: float
    estimated_requests: float
    estimated_mean: float
    limit: float
    report_age_ms: float | None
    candidates: int
    reason: str

    def exceeds(self, factor: float) -> bool:
        """Tell whether the engine has more requests than the users' bound, with this request."""
        return self.requests + 1 > factor * self.mean_requests + BOUND_SLACK


@dataclass(frozen=True, slots=True)
class Window:
    """Holds the number of placements in some seconds, and those beyond the bound."""

    begins_s: float
    placed: int
    beyond: tuple[Placement, ...]

    @property
    def share(self) -> float:
        """Return the share of placements beyond the bound."""
        return len(self.beyond) / self.placed if self.placed else 0.0


def read_log(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events of a log; skip other lines."""
    for line in lines:
        head, brace, body = line.partition("{")
        words = head.split()
        if not brace or len(words) != 2:
            continue
        try:
            yield LogLine(float(words[0]), words[1], json.loads(brace + body))
        except ValueError:
            continue


def audit(lines: Sequence[LogLine]) -> list[Placement]:
    """Return the placements that had a load limit, with the real loads of the engines."""
    periods = find_live_periods(lines)
    ended = {_build_request_key(line) for line in lines if line.event in END_EVENTS}
    requests: dict[str, set[str]] = defaultdict(set)
    placed_at: dict[str, tuple[str, str]] = {}
    found = []
    for line in lines:
        request_id = _build_request_key(line)
        if line.event in END_EVENTS and request_id in placed_at:
            service, upstream = placed_at.pop(request_id)
            requests[upstream].discard(request_id)
            continue
        if line.event != "placed" or request_id not in ended:
            continue
        service, upstream = str(line.fields["service"]), str(line.fields["upstream"])
        if line.fields.get("load_limit") is not None:
            live = periods.list_live(service, line.at_s) | {upstream}
            mean_requests = sum(len(requests[name]) for name in live) / len(live)
            found.append(_build_placement(line, len(requests[upstream]), mean_requests))
        placed_at[request_id] = (service, upstream)
        requests[upstream].add(request_id)
    return found


def _build_request_key(line: LogLine) -> str:
    # Callers choose the ids, so two instances may have the same one.
    return f"{line.instance}/{line.fields.get('request_id')}"


def _build_placement(line: LogLine, requests: int, mean_requests: float) -> Placement:
    fields = line.fields
    report_age_ms = fields.get("load_age_ms")
    return Placement(
        at_s=line.at_s,
        instance=line.instance,
        upstream=str(fields["upstream"]),
        request_id=str(fields["request_id"]),
        requests=requests,
        mean_requests=mean_requests,
        estimated_requests=float(str(fields["load"])),
        estimated_mean=float(str(fields["mean_load"])),
        limit=float(str(fields["load_limit"])),
        report_age_ms=None if report_age_ms is None else float(str(report_age_ms)),
        candidates=int(str(fields["candidates"])),
        reason=str(fields["reason"]),
    )


class LivePeriods:
    """Records when upstreams are live, according to the log of any instance."""

    def __init__(self) -> None:
        self._periods: dict[str, list[list[float]]] = defaultdict(list)
        self._services: dict[str, str] = {}

    def begin(self, upstream: str, service: str, at_s: float) -> None:
        """Record that an instance lists an upstream as live."""
        self._services[upstream] = service
        spans = self._periods[upstream]
        if spans and at_s - spans[-1][1] < MAX_GAP_S:
            spans[-1][1] = math.inf
            return
        spans.append([at_s, math.inf])

    def end(self, upstream: str, at_s: float) -> None:
        """Record that an instance no longer lists an upstream as live."""
        spans = self._periods[upstream]
        if spans:
            spans[-1][1] = min(spans[-1][1], at_s)

    def list_live(self, service: str, at_s: float) -> set[str]:
        """Return the upstreams of a service that are live at a time."""
        live = set()
        for upstream, spans in self._periods.items():
            if self._services[upstream] != service:
                continue
            if any(begins_s <= at_s < ends_s for begins_s, ends_s in spans):
                live.add(upstream)
        return live


def find_live_periods(lines: Iterable[LogLine]) -> LivePeriods:
    """Return the live periods of all upstreams, ignoring gaps shorter than MAX_GAP_S."""
    periods = LivePeriods()
    for line in lines:
        upstream = str(line.fields.get("upstream"))
        if line.event == "upstream" and line.fields.get("state") == "live":
            periods.begin(upstream, str(line.fields.get("service")), line.at_s)
        elif line.event in {"upstream", "upstream-gone"}:
            periods.end(upstream, line.at_s)
    return periods


def find_worst_window(placements: Sequence[Placement], factor: float, begins_s: float) -> Window:
    """Return the window with the largest share of placements beyond the bound."""
    worst = Window(begins_s, 0, ())
    end_s = placements[-1].at_s if placements else 0.0
    at_s = begins_s
    while at_s <= end_s:
        in_window = [found for found in placements if at_s <= found.at_s < at_s + WINDOW_S]
        beyond = tuple(found for found in in_window if found.exceeds(factor))
        window = Window(at_s, len(in_window), beyond)
        if len(in_window) >= 20 and window.share > worst.share:
            worst = window
        at_s += WINDOW_STEP_S
    return worst


def _print_window(window: Window, rows: int) -> None:
    senders = Counter(found.instance for found in window.beyond)
    upstreams = Counter(found.upstream for found in window.beyond)
    print(f"  by sender: {dict(senders.most_common(8))}")
    print(f"  by engine: {dict(upstreams.most_common(8))}")
    above_own_limit = sum(found.estimated_requests >= found.limit for found in window.beyond)
    print(f"  sent beyond their own limit: {above_own_limit}")
    for found in window.beyond[:rows]:
        print(
            f"  {found.at_s:8.3f} {found.instance} {found.request_id} -> {found.upstream}: requests"
            f" {found.requests}, mean {found.mean_requests:.1f};"
            f" estimate {found.estimated_requests}, mean {found.estimated_mean},"
            f" limit {found.limit}, age {found.report_age_ms} ms, {found.candidates} candidates,"
            f" {found.reason}"
        )


def main() -> None:
    """Print the worst five seconds of a log."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("log", type=Path, nargs="+")
    parser.add_argument("--factor", type=float, default=2.0, help="the bound over the mean")
    parser.add_argument("--from", dest="begins_s", type=float, default=0.0, help="seconds")
    parser.add_argument("--rows", type=int, default=0, help="placements to print")
    arguments = parser.parse_args()
    for path in arguments.log:
        with path.open(encoding="utf-8", errors="replace") as text:
            placements = audit(list(read_log(text)))
        window = find_worst_window(placements, arguments.factor, arguments.begins_s)
        beyond = sum(found.exceeds(arguments.factor) for found in placements)
        print(
            f"{path.name}: {beyond} of {len(placements)} beyond the bound; worst five seconds from"
            f" {window.begins_s:.1f} s: {len(window.beyond)} of {window.placed}"
            f" ({window.share:.3f})"
        )
        _print_window(window, arguments.rows)


if __name__ == "__main__":
    main()
