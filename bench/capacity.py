"""The table of docs/CAPACITY.md, worked out from bench/slopes.json.

`python -m bench.capacity` rewrites the table of the page; bench/capacity_test.py compares them.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path

from bench._fit import Slope
from jayyoke.ops.batch import BATCH_INTERVAL_S
from jayyoke.ops.changelog import POLL_INTERVAL_S
from jayyoke.ops.evidencerows import EXCHANGE_INTERVAL_S as EVIDENCE_INTERVAL_S
from jayyoke.ops.membership import LINKS_PER_DOMAIN
from jayyoke.ops.moverow import RENEW_INTERVAL_S as MOVE_RENEW_S
from jayyoke.ops.moves import READ_INTERVAL_S
from jayyoke.ops.outbox import RENEW_INTERVAL_S, SWEEP_INTERVAL_S
from jayyoke.ops.probe import PROBE_INTERVAL_S, PROBES_PER_EVENTS_POLL
from jayyoke.platform.listing import INTERVAL_PER_ENTRY_S, MAX_INTERVAL_S
from jayyoke.platform.table import MAX_PUTS_PER_COMMIT

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
SLOPES = Path(__file__).parent / "slopes.json"
BEGIN = "<!-- begin: bench/capacity.py -->"
END = "<!-- end: bench/capacity.py -->"

INSTANCES = 410
DOMAINS = 14
GROUP = 30
# Two dialled links to each other domain, and as many accepted ones on average.
OTHER_LINKS = 2 * LINKS_PER_DOMAIN * (DOMAINS - 1)
WORKERS = 260
REQUESTS_PER_S = 7100.0
RETURNING_CHATS = 3_300_000
TEAMS = 3900
MODELS = 6
LISTED = INSTANCES + 3600
CHANGES_A_DAY = 5000

# Assumptions about the work, which design.md leaves open.
ONCE_SHARE = 0.06
TAG_SHARE = 0.02
LATE_SHARE = 0.02
POLLS_PER_LATE = 4.0
REPEAT_SHARE = 0.01
POLLS_PER_REPEAT = 4.0
MOVES_AT_ONCE = MODELS
TABLE_WRITES_PER_S = 400.0
TABLE_READS_PER_S = 2000.0


@dataclass(frozen=True, slots=True)
class Line:
    """Holds one line of a table: what, how much, which slope or count it comes from."""

    what: str
    value: float
    unit: str
    source: str
    machine: bool = False


def read_slopes(path: Path = SLOPES) -> dict[str, Slope]:
    """Return the recorded slopes by name."""
    found = {}
    for plain in json.loads(path.read_text(encoding="utf-8"))["slopes"]:
        plain |= {"sizes": tuple(plain["sizes"]), "values": tuple(plain["values"])}
        found[plain["name"]] = Slope(**plain)
    return found


def list_reads() -> list[Line]:
    """Return the table's reads a second at the peak, by reader."""
    late = REQUESTS_PER_S * LATE_SHARE
    repeats = REQUESTS_PER_S * ONCE_SHARE * REPEAT_SHARE
    moves = MOVES_AT_ONCE
    return [
        Line("change log, a reader a domain", DOMAINS / POLL_INTERVAL_S, "1/s", "`control`"),
        Line("rows of moves, a reader a domain", DOMAINS / READ_INTERVAL_S, "1/s", "`moves`"),
        Line("evidence rows", DOMAINS * moves / EVIDENCE_INTERVAL_S, "1/s", "`moves`, 6 moves"),
        Line("read-back of lease renewals", moves / MOVE_RENEW_S, "1/s", "`moverow`, 6 moves"),
        Line("own outbox rows", INSTANCES / SWEEP_INTERVAL_S, "1/s", "`outbox`, every instance"),
        Line("owners, a sweeper a domain", 2 * DOMAINS / SWEEP_INTERVAL_S, "1/s", "`outbox`"),
        Line("replies before they are recorded", late, "1/s", "`reply`, 2% late"),
        Line("callers' polls for replies", late * POLLS_PER_LATE, "1/s", "`reply`, 4 polls each"),
        Line("repeats of once-only calls", repeats * (1 + POLLS_PER_REPEAT), "1/s", "`settle`, 1%"),
    ]


def list_writes() -> list[Line]:
    """Return the table's transactions a second at the peak, by writer.

    A domain's writer commits at most once a batch interval, however many groups wait.
    """
    moves = MOVES_AT_ONCE
    batches = DOMAINS / BATCH_INTERVAL_S
    return [
        Line("batches: claims, answers, outbox, replies, owner leases", batches, "1/s", "`batch`"),
        Line("leases and steps of moves", moves / MOVE_RENEW_S, "1/s", "`moverow`, 6 moves"),
        Line("evidence rows", DOMAINS * moves / EVIDENCE_INTERVAL_S, "1/s", "`moves`, 6 moves"),
        Line("configuration, all in one hour", CHANGES_A_DAY / 3600, "1/s", "`append`"),
    ]


def count_groups_per_s() -> float:
    """Return the groups of puts a second that one domain's writer receives."""
    share = ONCE_SHARE + TAG_SHARE + LATE_SHARE
    recorded = 2 * REQUESTS_PER_S * share / DOMAINS
    return recorded + INSTANCES / DOMAINS / RENEW_INTERVAL_S


def list_roles(slopes: Mapping[str, Slope]) -> list[Line]:
    """Return what each role of one instance costs at the size to design for."""
    own = WORKERS / GROUP
    rate = REQUESTS_PER_S / INSTANCES
    probes = own / PROBE_INTERVAL_S
    lists = 1 / min(LISTED * INTERVAL_PER_ENTRY_S, MAX_INTERVAL_S)
    chats = RETURNING_CHATS / INSTANCES
    groups = count_groups_per_s()

    def at(name: str, size: float) -> float:
        return slopes[name].at(size)

    def per(name: str) -> float:
        return slopes[name].slope

    probe_bytes = at("probe bytes, both ways", 0) + at("events poll bytes, both ways", 0) / (
        PROBES_PER_EVENTS_POLL
    )
    place = "placement processor time, harness included"
    judge = "judgement processor time, 30 instances"
    return [
        Line(
            "entry, owner and steward: placement messages",
            rate * per("placement bytes"),
            "B/s",
            "`placement`, `owner`, `steward`: placement bytes",
        ),
        Line(
            "entry, owner and steward: processor",
            rate * per(place),
            "s/s",
            f"the same: {place}",
            True,
        ),
        Line("chat owner: remembered chats", chats, "chats", "`memory`: 3.3 M over 410"),
        Line("chat owner: memory", at("chat memory", chats), "B", "`memory`: chat memory"),
        Line(
            "chat owner: one lookup", at("chat lookup", chats), "s", "`memory`: chat lookup", True
        ),
        Line("steward: engines", own, "engines", "`steward`: 260 over 30"),
        Line(
            "steward: load digests sent, frames included",
            at("load digest bytes", WORKERS),
            "B/s",
            "`loads`: load digest bytes",
        ),
        Line(
            "steward: load digests, sent and read",
            at("load digest processor time", WORKERS),
            "s/s",
            "`loads`: load digest processor time",
            True,
        ),
        Line(
            "steward: probes and events polls, both ways",
            probes * probe_bytes,
            "B/s",
            "`probe`, `events`: probe bytes, events poll bytes",
        ),
        Line(
            "steward: cache events received, 2 a request",
            2 * rate * per("events poll bytes, both ways"),
            "B/s",
            "`events`: events poll bytes",
        ),
        Line(
            "steward: probes and events polls, the engine's side included",
            probes * per("probe processor time"),
            "s/s",
            "the same: probe processor time",
            True,
        ),
        Line(
            "membership: heartbeats and acknowledgements sent",
            at("heartbeat bytes", GROUP),
            "B/s",
            "`membership`, `digest`: heartbeat bytes",
        ),
        Line(
            "membership: heartbeats on links to 13 other domains",
            OTHER_LINKS * per("heartbeat bytes"),
            "B/s",
            "`membership`, `peer`: heartbeat bytes, 26 dialled and 26 accepted",
        ),
        Line(
            "membership: processor",
            at("heartbeat processor time", GROUP),
            "s/s",
            "the same: heartbeat processor time",
            True,
        ),
        Line(
            "list reader: bytes received",
            lists * at("list bytes", LISTED),
            "B/s",
            "`listing`, `health`, `membership`: list bytes",
        ),
        Line(
            "list reader: processor",
            lists * at("list processor time", LISTED),
            "s/s",
            "the same: list processor time",
            True,
        ),
        Line(
            "configuration: memory",
            at("configuration memory", TEAMS),
            "B",
            "`control`, `change`: configuration memory",
        ),
        Line(
            "configuration: one snapshot",
            at("snapshot bytes", TEAMS),
            "B",
            "`append`: snapshot bytes",
        ),
        Line(
            "configuration: processor, 5,000 changes a day",
            at("delta processor time", TEAMS) * CHANGES_A_DAY / 86400,
            "s/s",
            "`change`: delta processor time",
            True,
        ),
        Line("writer of a domain: groups received", groups, "1/s", "`batch`: counted"),
        Line(
            "writer of a domain: most groups",
            MAX_PUTS_PER_COMMIT / BATCH_INTERVAL_S / 2,
            "1/s",
            "`batch`: 100 puts each 50 ms, two puts a group",
        ),
        Line(
            "sweeper of a domain: scans",
            per_second(at("scans of a sweep", INSTANCES)),
            "1/s",
            "`outbox`: scans of a sweep",
        ),
        Line(
            "sweeper of a domain: rows",
            per_second(at("rows of a sweep", INSTANCES)),
            "1/s",
            "`outbox`: rows of a sweep",
        ),
        Line(
            "evidence of one move, 16 routes, to 1 reader",
            at("evidence bytes", 16),
            "B/s",
            "`recorder`, `evidence`: evidence bytes",
        ),
        Line(
            "evidence reader: 6 moves of 16 routes",
            MOVES_AT_ONCE * at(judge, 16),
            "s/s",
            "`evidence`: judgement processor time",
            True,
        ),
    ]


def sum_control_processor_s(slopes: Mapping[str, Slope]) -> float:
    """Return the processor seconds a second of heartbeats, load digests, probes and list reads."""
    probes = WORKERS / GROUP / PROBE_INTERVAL_S * slopes["probe processor time"].slope
    lists = slopes["list processor time"].at(LISTED) / min(
        LISTED * INTERVAL_PER_ENTRY_S, MAX_INTERVAL_S
    )
    beats = slopes["heartbeat processor time"].at(GROUP)
    return beats + slopes["load digest processor time"].at(WORKERS) + probes + lists


def sum_control_memory_mb(slopes: Mapping[str, Slope]) -> float:
    """Return the megabytes of remembered chats and of the configuration."""
    chats = slopes["chat memory"].at(RETURNING_CHATS / INSTANCES)
    return (chats + slopes["configuration memory"].at(TEAMS)) / (1 << 20)


def per_second(sweep: float) -> float:
    """Return the rate of what one sweep costs."""
    return sweep / SWEEP_INTERVAL_S


def format_number(value: float) -> str:
    """Return a number with three significant digits."""
    if value != 0 and abs(value) < 0.001:
        return f"{value:.2e}"
    if abs(value) >= 1000:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{value:.3g}"


def build_page_part(slopes: Mapping[str, Slope]) -> str:
    """Return the generated part of the page."""
    parts = [
        "### Slopes",
        "",
        "| figure | sizes | fit | residual | machine-dependent |",
        "| --- | --- | --- | --- | --- |",
    ]
    for slope in slopes.values():
        sizes = ", ".join(f"{size:g}" for size in slope.sizes)
        line = (
            f"{format_number(slope.intercept)} + {format_number(slope.slope)} x {slope.size_name}"
        )
        parts.append(
            f"| {slope.name} ({slope.unit}) | {sizes} | {line} | {slope.residual:.3f} |"
            f" {'yes' if slope.machine else 'no'} |"
        )
    parts += [
        "",
        "### Roles of one instance",
        "",
        "| role | at the size to design for | mechanism: slope | machine-dependent |",
        "| --- | --- | --- | --- |",
    ]
    for line in list_roles(slopes):
        value = f"{format_number(line.value)} {line.unit}"
        parts.append(
            f"| {line.what} | {value} | {line.source} | {'yes' if line.machine else 'no'} |"
        )
    for title, lines, budget in (
        ("Reads of the table, whole fleet", list_reads(), TABLE_READS_PER_S),
        ("Transactions of the table, whole fleet", list_writes(), TABLE_WRITES_PER_S),
    ):
        parts += ["", f"### {title}", "", "| what | per second | module |", "| --- | --- | --- |"]
        for line in lines:
            parts.append(f"| {line.what} | {format_number(line.value)} | {line.source} |")
        total = sum(line.value for line in lines)
        parts.append(f"| **sum** | **{format_number(total)}** | budget {budget:,.0f} |")
    return "\n".join(parts)


def split_page(text: str) -> tuple[str, str, str]:
    """Return what is before, between and after the markers; raise ValueError without them."""
    before, begin, rest = text.partition(BEGIN)
    between, end, after = rest.partition(END)
    if not begin or not end:
        raise ValueError(f"the page lacks {BEGIN} or {END}")
    return before, between.strip(), after


def update_page() -> None:
    """Write the table into the page."""
    before, _, after = split_page(PAGE.read_text(encoding="utf-8"))
    part = build_page_part(read_slopes())
    PAGE.write_text(f"{before}{BEGIN}\n\n{part}\n\n{END}{after}", encoding="utf-8")


if __name__ == "__main__":
    update_page()
