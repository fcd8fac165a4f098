"""Control traffic of one instance: all bytes of membership, digests, probes and events polls.

Instances run the product's placement and membership in virtual time; bytes are those of encoded
frames. Probe and events poll are real HTTP exchanges with the stand-in engine, request and answer.
TCP, IP and Ethernet headers are not counted, nor are reads of the platform's list.
"""

from __future__ import annotations

import asyncio

from bench import _slope_messages as messages
from bench.fakes import FleetSimulation, generate_trace, measure_message
from bench.result import Result
from jayyoke.core.config import ServiceSpec
from jayyoke.ops.probe import PROBE_INTERVAL_S, PROBES_PER_EVENTS_POLL
from jayyoke.wire.gen.ttypes import Digest

NODES = 30
ENGINES = 260
UNTIL_S = 9.0
FROM_S = 4.0
RUN_S = 12.7
REQUESTS_PER_S = 510.0
ACKNOWLEDGED_EVERY = 2
SERVICE = ServiceSpec("pool", "engine", full_work_tokens=1 << 30)


class CountingSimulation(FleetSimulation):
    """Counts the digests that all instances send and their bytes."""

    digest_bytes = 0
    digests = 0

    def build_digest(self, index: int, only: str | None) -> Digest:
        """Return a digest with the fields that the heartbeat adds, and count its bytes."""
        digest = super().build_digest(index, only)
        if only is None:
            digest.sequence = 100_000
            digest.control_version = 100_000
            digest.confirmed_age_ms = 1000
        elif not digest.loads and not digest.changes:
            return digest
        if self.now_s() >= FROM_S:
            self.digest_bytes += measure_message(digest) * (len(self.nodes) - 1)
            self.digests += 1
        return digest


def measure_probe_bytes(rate: float, events_per_poll: int) -> dict[str, float]:
    """Return the bytes a second of probes and events polls, both directions and sent only.

    `rate` is in probes a second; each events poll returns `events_per_poll` events.
    """
    byte_counts = asyncio.run(messages.probe_once(events_per_poll))
    load, events = byte_counts["load"], byte_counts["events"]
    return {
        "both": rate * (sum(load) + sum(events) / PROBES_PER_EVENTS_POLL),
        "sent": rate * (load[0] + events[0] / PROBES_PER_EVENTS_POLL),
    }


def measure(seed: int) -> list[Result]:
    """Return the bytes per second of one instance."""
    simulation = CountingSimulation("owner", NODES, ENGINES, SERVICE, seed)
    simulation.at(
        FROM_S, lambda: [setattr(p, "size", measure_message) for p in simulation.hub.values()]
    )
    for index, node in enumerate(simulation.nodes):
        # Every tenth digest is full; this spreads the full ones evenly over the window.
        node._load_reporter._digest_count = index
    simulation.schedule_fill_digests()
    simulation.run(
        UNTIL_S, generate_trace(seed, REQUESTS_PER_S, UNTIL_S, RUN_S, int(REQUESTS_PER_S * RUN_S))
    )
    instance_seconds = (UNTIL_S - FROM_S) * NODES
    digest_bytes = simulation.digest_bytes / instance_seconds
    answer_bytes = measure_message(Digest()) * (NODES - 1) / ACKNOWLEDGED_EVERY
    probes = measure_probe_bytes(ENGINES / NODES / PROBE_INTERVAL_S, 0)
    placement_bytes = (
        sum(sum(peers.sent.values()) for peers in simulation.hub.values()) / instance_seconds
    )
    case = f"{NODES} instances, {ENGINES} workers"
    total_bytes = digest_bytes + answer_bytes + probes["both"]
    rows = []
    for name, value, unit, target in (
        ("digests built", simulation.digests / instance_seconds, "1/s", None),
        ("digest bytes sent", digest_bytes, "B/s", None),
        ("heartbeat answers sent", answer_bytes, "B/s", None),
        ("probes and events polls", probes["both"], "B/s", None),
        ("control traffic, sent alone", total_bytes - probes["both"] + probes["sent"], "B/s", None),
        ("control traffic", total_bytes, "B/s", 6000.0),
        ("per-request placement", placement_bytes, "B/s", None),
    ):
        rows.append(Result(name, case, "owner", value, unit, target, seed))
    return rows
