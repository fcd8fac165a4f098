"""Counts from the logs of all instances what engines really held when each request was placed.

    python -m bench.loadaudit LOG

An instance logs what it believed. Only the logs of all instances together tell what an engine held:
a request counts from its `placed` line to the line that ends the send. A log has one JSON object a
line, behind a time in seconds and the instance's name. Run the instances with
`--log-lines-per-s` beyond their traffic, since a dropped line leaves a request held for ever.
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
# Entries of live engines that lapse with the store's silence are away for up to this long.
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
    """Holds what an instance believed when it placed a request, and what was so.

    `held` and `mean` are the requests at the engine, and on average at the engines of its service,
    without the placed one.
    """

    at_s: float
    instance: str
    upstream: str
    request_id: str
    held: int
    mean: float
    believed: float
    believed_mean: float
    limit: float
    age_ms: float | None
    candidates: int
    reason: str

    def exceeds(self, factor: float) -> bool:
        """Tell whether the engine holds more than the users' bound, this request included."""
        return self.held + 1 > factor * self.mean + BOUND_SLACK


@dataclass(frozen=True, slots=True)
class Window:
    """Holds the placements of some seconds and those of them beyond the bound."""

    begins_s: float
    placed: int
    beyond: tuple[Placement, ...]

    @property
    def share(self) -> float:
        """Return the share of placements beyond the bound."""
        return len(self.beyond) / self.placed if self.placed else 0.0


def read_log(lines: Iterable[str]) -> Iterator[LogLine]:
    """Yield the events of a log; other lines are passed over."""
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
    """Return the placements that had a load limit, with what the engines held."""
    lives = find_lives(lines)
    ended = {_find_request(line) for line in lines if line.event in END_EVENTS}
    held: dict[str, set[str]] = defaultdict(set)
    places: dict[str, tuple[str, str]] = {}
    found = []
    for line in lines:
        request_id = _find_request(line)
        if line.event in END_EVENTS and request_id in places:
            service, upstream = places.pop(request_id)
            held[upstream].discard(request_id)
            continue
        if line.event != "placed" or request_id not in ended:
            continue
        service, upstream = str(line.fields["service"]), str(line.fields["upstream"])
        if line.fields.get("load_limit") is not None:
            live = lives.list_live(service, line.at_s) | {upstream}
            mean = sum(len(held[name]) for name in live) / len(live)
            found.append(_build_placement(line, len(held[upstream]), mean))
        places[request_id] = (service, upstream)
        held[upstream].add(request_id)
    return found


def _find_request(line: LogLine) -> str:
    # Ids are those of callers, so the instance belongs to the key.
    return f"{line.instance}/{line.fields.get('request_id')}"


def _build_placement(line: LogLine, held: int, mean: float) -> Placement:
    fields = line.fields
    age_ms = fields.get("load_age_ms")
    return Placement(
        at_s=line.at_s,
        instance=line.instance,
        upstream=str(fields["upstream"]),
        request_id=str(fields["request_id"]),
        held=held,
        mean=mean,
        believed=float(str(fields["load"])),
        believed_mean=float(str(fields["mean_load"])),
        limit=float(str(fields["load_limit"])),
        age_ms=None if age_ms is None else float(str(age_ms)),
        candidates=int(str(fields["candidates"])),
        reason=str(fields["reason"]),
    )


class Lives:
    """Tells which upstreams of a service live at a time, as any instance lists them."""

    def __init__(self) -> None:
        self._spans: dict[str, list[list[float]]] = defaultdict(list)
        self._services: dict[str, str] = {}

    def begin(self, upstream: str, service: str, at_s: float) -> None:
        """Note that an instance lists an upstream as live."""
        self._services[upstream] = service
        spans = self._spans[upstream]
        if spans and at_s - spans[-1][1] < MAX_GAP_S:
            spans[-1][1] = math.inf
            return
        spans.append([at_s, math.inf])

    def end(self, upstream: str, at_s: float) -> None:
        """Note that an instance lists an upstream no more."""
        spans = self._spans[upstream]
        if spans:
            spans[-1][1] = min(spans[-1][1], at_s)

    def list_live(self, service: str, at_s: float) -> set[str]:
        """Return the live upstreams of a service."""
        live = set()
        for upstream, spans in self._spans.items():
            if self._services[upstream] != service:
                continue
            if any(begins_s <= at_s < ends_s for begins_s, ends_s in spans):
                live.add(upstream)
        return live


def find_lives(lines: Iterable[LogLine]) -> Lives:
    """Return which upstreams live when; a gap that the same upstream ends is none."""
    lives = Lives()
    for line in lines:
        upstream = str(line.fields.get("upstream"))
        if line.event == "upstream" and line.fields.get("state") == "live":
            lives.begin(upstream, str(line.fields.get("service")), line.at_s)
        elif line.event in {"upstream", "upstream-gone"}:
            lives.end(upstream, line.at_s)
    return lives


def find_worst_window(placements: Sequence[Placement], factor: float, begins_s: float) -> Window:
    """Return the window with the largest share of placements beyond the bound."""
    worst = Window(begins_s, 0, ())
    end_s = placements[-1].at_s if placements else 0.0
    at_s = begins_s
    while at_s <= end_s:
        inside = [found for found in placements if at_s <= found.at_s < at_s + WINDOW_S]
        beyond = tuple(found for found in inside if found.exceeds(factor))
        window = Window(at_s, len(inside), beyond)
        if len(inside) >= 20 and window.share > worst.share:
            worst = window
        at_s += WINDOW_STEP_S
    return worst


def _print_window(window: Window, rows: int) -> None:
    senders = Counter(found.instance for found in window.beyond)
    upstreams = Counter(found.upstream for found in window.beyond)
    print(f"  by sender: {dict(senders.most_common(8))}")
    print(f"  by engine: {dict(upstreams.most_common(8))}")
    knew = sum(found.believed >= found.limit for found in window.beyond)
    print(f"  sent beyond their own limit: {knew}")
    for found in window.beyond[:rows]:
        print(
            f"  {found.at_s:8.3f} {found.instance} {found.request_id} -> {found.upstream}: held"
            f" {found.held} of mean {found.mean:.1f}; believed {found.believed} of mean"
            f" {found.believed_mean}, limit {found.limit}, age {found.age_ms} ms,"
            f" {found.candidates} candidates, {found.reason}"
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
