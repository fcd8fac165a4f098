"""The tables of docs/CAPACITY.md, computed from bench/slopes.json.

`python -m bench.capacity` rewrites the tables of the page; bench/capacity_test.py compares them.
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
INSTANCES_PER_DOMAIN = 30
# Each instance dials two links to every other domain and accepts as many on average.
LINKS_TO_OTHER_DOMAINS = 2 * LINKS_PER_DOMAIN * (DOMAINS - 1)
WORKERS = 260
REQUESTS_PER_S = 7100.0
RETURNING_CHATS = 3_300_000
TEAMS = 3900
MODELS = 6
LIST_ENTRIES = INSTANCES + 3600
CHANGES_PER_DAY = 5000

# Assumptions about the load, which design.md leaves open.
ONCE_SHARE = 0.06
TAG_SHARE = 0.02
LATE_SHARE = 0.02
POLLS_PER_LATE = 4.0
REPEAT_SHARE = 0.01
POLLS_PER_REPEAT = 4.0
CONCURRENT_MOVES = MODELS
TABLE_WRITES_PER_S = 400.0
TABLE_READS_PER_S = 2000.0


@dataclass(frozen=True, slots=True)
class TableLine:
    """Holds one line of a table; `source` names the mechanism and the slope or count behind it."""

    label: str
    value: float
    unit: str
    source: str
    machine: bool = False


def read_slopes(path: Path = SLOPES) -> dict[str, Slope]:
    """Return the recorded slopes by name."""
    found = {}
    for fields in json.loads(path.read_text(encoding="utf-8"))["slopes"]:
        fields |= {"sizes": tuple(fields["sizes"]), "values": tuple(fields["values"])}
        found[fields["name"]] = Slope(**fields)
    return found


def list_reads() -> list[TableLine]:
    """Return the table service's reads per second at the peak, by reader."""
    late_per_s = REQUESTS_PER_S * LATE_SHARE
    repeats_per_s = REQUESTS_PER_S * ONCE_SHARE * REPEAT_SHARE
    moves = CONCURRENT_MOVES
    return [
        TableLine("change log, a reader a domain", DOMAINS / POLL_INTERVAL_S, "1/s", "`changelog`"),
        TableLine("rows of moves, a reader a domain", DOMAINS / READ_INTERVAL_S, "1/s", "`moves`"),
        TableLine(
            "evidence rows", DOMAINS * moves / EVIDENCE_INTERVAL_S, "1/s", "`moves`, 6 moves"
        ),
        TableLine("read-back of lease renewals", moves / MOVE_RENEW_S, "1/s", "`moverow`, 6 moves"),
        TableLine(
            "own outbox rows", INSTANCES / SWEEP_INTERVAL_S, "1/s", "`outbox`, every instance"
        ),
        TableLine("owners, a sweeper a domain", 2 * DOMAINS / SWEEP_INTERVAL_S, "1/s", "`outbox`"),
        TableLine("replies before they are recorded", late_per_s, "1/s", "`reply`, 2% late"),
        TableLine(
            "callers' polls for replies",
            late_per_s * POLLS_PER_LATE,
            "1/s",
            "`reply`, 4 polls each",
        ),
        TableLine(
            "repeats of once-only calls",
            repeats_per_s * (1 + POLLS_PER_REPEAT),
            "1/s",
            "`settle`, 1%",
        ),
    ]


def list_writes() -> list[TableLine]:
    """Return the table service's transactions per second at the peak, by writer.

    A domain's writer commits at most once per batch interval, however many groups wait.
    """
    moves = CONCURRENT_MOVES
    batches_per_s = DOMAINS / BATCH_INTERVAL_S
    return [
        TableLine(
            "batches: claims, answers, outbox, replies, owner leases",
            batches_per_s,
            "1/s",
            "`batch`",
        ),
        TableLine("leases and steps of moves", moves / MOVE_RENEW_S, "1/s", "`moverow`, 6 moves"),
        TableLine(
            "evidence rows", DOMAINS * moves / EVIDENCE_INTERVAL_S, "1/s", "`moves`, 6 moves"
        ),
        TableLine("configuration, all in one hour", CHANGES_PER_DAY / 3600, "1/s", "`changerows`"),
    ]


def count_groups_per_s() -> float:
    """Return the groups of puts per second that one domain's writer receives."""
    share = ONCE_SHARE + TAG_SHARE + LATE_SHARE
    recorded_per_s = 2 * REQUESTS_PER_S * share / DOMAINS
    return recorded_per_s + INSTANCES / DOMAINS / RENEW_INTERVAL_S


def list_roles(slopes: Mapping[str, Slope]) -> list[TableLine]:
    """Return what each role of one instance costs at the design size."""
    own_engines = WORKERS / INSTANCES_PER_DOMAIN
    requests_per_s = REQUESTS_PER_S / INSTANCES
    probes = own_engines / PROBE_INTERVAL_S
    list_reads_per_s = 1 / min(LIST_ENTRIES * INTERVAL_PER_ENTRY_S, MAX_INTERVAL_S)
    chats = RETURNING_CHATS / INSTANCES
    groups_per_s = count_groups_per_s()

    def estimate(name: str, size: float) -> float:
        return slopes[name].estimate(size)

    def per_unit(name: str) -> float:
        return slopes[name].slope

    probe_bytes = estimate("probe bytes, both ways", 0) + estimate(
        "events poll bytes, both ways", 0
    ) / (PROBES_PER_EVENTS_POLL)
    placement_time = "placement processor time, harness included"
    judgement_time = "judgement processor time, 30 instances"
    return [
        TableLine(
            "entry, owner and steward: placement messages",
            requests_per_s * per_unit("placement bytes"),
            "B/s",
            "`placement`, `owner`, `steward`: placement bytes",
        ),
        TableLine(
            "entry, owner and steward: processor",
            requests_per_s * per_unit(placement_time),
            "s/s",
            f"the same: {placement_time}",
            True,
        ),
        TableLine(
            "chat owner: remembered chats", chats, "chats", "`cachelocations`: 3.3 M over 410"
        ),
        TableLine(
            "chat owner: memory",
            estimate("chat memory", chats),
            "B",
            "`cachelocations`: chat memory",
        ),
        TableLine(
            "chat owner: one lookup",
            estimate("chat lookup", chats),
            "s",
            "`cachelocations`: chat lookup",
            True,
        ),
        TableLine("steward: engines", own_engines, "engines", "`steward`: 260 over 30"),
        TableLine(
            "steward: load digests sent, frames included",
            estimate("load digest bytes", WORKERS),
            "B/s",
            "`loads`: load digest bytes",
        ),
        TableLine(
            "steward: load digests, sent and read",
            estimate("load digest processor time", WORKERS),
            "s/s",
            "`loads`: load digest processor time",
            True,
        ),
        TableLine(
            "steward: probes and events polls, both ways",
            probes * probe_bytes,
            "B/s",
            "`probe`, `cacheevents`: probe bytes, events poll bytes",
        ),
        TableLine(
            "steward: cache events received, 2 a request",
            2 * requests_per_s * per_unit("events poll bytes, both ways"),
            "B/s",
            "`cacheevents`: events poll bytes",
        ),
        TableLine(
            "steward: probes and events polls, the engine's side included",
            probes * per_unit("probe processor time"),
            "s/s",
            "the same: probe processor time",
            True,
        ),
        TableLine(
            "membership: heartbeats and acknowledgements sent",
            estimate("heartbeat bytes", INSTANCES_PER_DOMAIN),
            "B/s",
            "`membership`, `digest`: heartbeat bytes",
        ),
        TableLine(
            "membership: heartbeats on links to 13 other domains",
            LINKS_TO_OTHER_DOMAINS * per_unit("heartbeat bytes"),
            "B/s",
            "`membership`, `peer`: heartbeat bytes, 26 dialled and 26 accepted",
        ),
        TableLine(
            "membership: processor",
            estimate("heartbeat processor time", INSTANCES_PER_DOMAIN),
            "s/s",
            "the same: heartbeat processor time",
            True,
        ),
        TableLine(
            "list reader: bytes received",
            list_reads_per_s * estimate("list bytes", LIST_ENTRIES),
            "B/s",
            "`listing`, `health`, `membership`: list bytes",
        ),
        TableLine(
            "list reader: processor",
            list_reads_per_s * estimate("list processor time", LIST_ENTRIES),
            "s/s",
            "the same: list processor time",
            True,
        ),
        TableLine(
            "configuration: memory",
            estimate("configuration memory", TEAMS),
            "B",
            "`changelog`, `change`: configuration memory",
        ),
        TableLine(
            "configuration: one snapshot",
            estimate("snapshot bytes", TEAMS),
            "B",
            "`changerows`: snapshot bytes",
        ),
        TableLine(
            "configuration: processor, 5,000 changes a day",
            estimate("delta processor time", TEAMS) * CHANGES_PER_DAY / 86400,
            "s/s",
            "`change`: delta processor time",
            True,
        ),
        TableLine("writer of a domain: groups received", groups_per_s, "1/s", "`batch`: counted"),
        TableLine(
            "writer of a domain: most groups",
            MAX_PUTS_PER_COMMIT / BATCH_INTERVAL_S / 2,
            "1/s",
            "`batch`: 100 puts each 50 ms, two puts a group",
        ),
        TableLine(
            "sweeper of a domain: scans",
            per_sweep_to_per_s(estimate("scans of a sweep", INSTANCES)),
            "1/s",
            "`outbox`: scans of a sweep",
        ),
        TableLine(
            "sweeper of a domain: rows",
            per_sweep_to_per_s(estimate("rows of a sweep", INSTANCES)),
            "1/s",
            "`outbox`: rows of a sweep",
        ),
        TableLine(
            "evidence of one move, 16 routes, to 1 reader",
            estimate("evidence bytes", 16),
            "B/s",
            "`outcomecounter`, `evidence`: evidence bytes",
        ),
        TableLine(
            "evidence reader: 6 moves of 16 routes",
            CONCURRENT_MOVES * estimate(judgement_time, 16),
            "s/s",
            "`evidence`: judgement processor time",
            True,
        ),
    ]


def sum_control_processor_s(slopes: Mapping[str, Slope]) -> float:
    """Return processor seconds per second of heartbeats, load digests, probes and list reads."""
    probes = (
        WORKERS / INSTANCES_PER_DOMAIN / PROBE_INTERVAL_S * slopes["probe processor time"].slope
    )
    list_reads = slopes["list processor time"].estimate(LIST_ENTRIES) / min(
        LIST_ENTRIES * INTERVAL_PER_ENTRY_S, MAX_INTERVAL_S
    )
    heartbeats = slopes["heartbeat processor time"].estimate(INSTANCES_PER_DOMAIN)
    return heartbeats + slopes["load digest processor time"].estimate(WORKERS) + probes + list_reads


def sum_control_memory_mb(slopes: Mapping[str, Slope]) -> float:
    """Return the memory in MiB of chats' cache locations and of the configuration."""
    chats = slopes["chat memory"].estimate(RETURNING_CHATS / INSTANCES)
    return (chats + slopes["configuration memory"].estimate(TEAMS)) / (1 << 20)


def per_sweep_to_per_s(per_sweep: float) -> float:
    """Return the rate per second of what one sweep costs."""
    return per_sweep / SWEEP_INTERVAL_S


def format_number(value: float) -> str:
    """Return a number with three significant digits."""
    if value != 0 and abs(value) < 0.001:
        return f"{value:.2e}"
    if abs(value) >= 1000:
        return f"{float(f'{value:.3g}'):,.0f}"
    return f"{value:.3g}"


def build_tables(slopes: Mapping[str, Slope]) -> str:
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
            f"| {line.label} | {value} | {line.source} | {'yes' if line.machine else 'no'} |"
        )
    for title, lines, budget in (
        ("Reads of the table, whole fleet", list_reads(), TABLE_READS_PER_S),
        ("Transactions of the table, whole fleet", list_writes(), TABLE_WRITES_PER_S),
    ):
        parts += ["", f"### {title}", "", "| what | per second | module |", "| --- | --- | --- |"]
        for line in lines:
            parts.append(f"| {line.label} | {format_number(line.value)} | {line.source} |")
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
    """Write the tables into the page."""
    before, _, after = split_page(PAGE.read_text(encoding="utf-8"))
    tables = build_tables(read_slopes())
    PAGE.write_text(f"{before}{BEGIN}\n\n{tables}\n\n{END}{after}", encoding="utf-8")


if __name__ == "__main__":
    update_page()
