"""Control traffic of one instance: all bytes of membership, digests, probes and events polls.

Instances run the product's placement and membership in virtual time; bytes are those of sealed
frames. Probe and events poll are real HTTP exchanges with the stand-in engine, request and answer.
TCP, IP and Ethernet headers are not counted, nor are reads of the platform's list.
"""

from __future__ import annotations

import asyncio

from bench import _slope_messages as messages
from bench.fakes import World, generate_trace, measure_message
from bench.result import Result
from jayyoke.core.config import ServiceSpec
from jayyoke.ops.probe import PROBE_INTERVAL_S, PROBES_PER_EVENTS_POLL
from jayyoke.wire.gen.ttypes import Digest

NODES = 30
ENGINES = 260
UNTIL_S = 9.0
FROM_S = 4.0
RUN_S = 12.7
RATE = 510.0
ACKNOWLEDGED_EVERY = 2
SERVICE = ServiceSpec("pool", "engine", full_work_tokens=1 << 30)


class CountingWorld(World):
    """Counts the bytes of digests that all instances send."""

    digest_bytes = 0
    digests = 0

    def build_digest(self, index: int, only: str | None) -> Digest:
        """Return a digest as the heartbeat sends it, and count its bytes."""
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


def measure_probe_bytes(rate: float, polled: int) -> dict[str, float]:
    """Return the bytes a second of probes and events polls, both ways and sent alone.

    `rate` is in probes a second; each events poll finds `polled` new events.
    """
    found = asyncio.run(messages.probe_once(polled))
    load, events = found["load"], found["events"]
    return {
        "both": rate * (sum(load) + sum(events) / PROBES_PER_EVENTS_POLL),
        "sent": rate * (load[0] + events[0] / PROBES_PER_EVENTS_POLL),
    }


def measure(seed: int) -> list[Result]:
    """Return the bytes a second of one instance."""
    world = CountingWorld("owner", NODES, ENGINES, SERVICE, seed)
    world.at(FROM_S, lambda: [setattr(p, "size", measure_message) for p in world.hub.values()])
    for index, node in enumerate(world.nodes):
        # Spreads the full digests, one in ten, evenly over the window.
        node._load_reporter._digest_count = index
    world.fill()
    world.run(UNTIL_S, generate_trace(seed, RATE, UNTIL_S, RUN_S, int(RATE * RUN_S)))
    span = (UNTIL_S - FROM_S) * NODES
    digests = world.digest_bytes / span
    answers = measure_message(Digest()) * (NODES - 1) / ACKNOWLEDGED_EVERY
    probes = measure_probe_bytes(ENGINES / NODES / PROBE_INTERVAL_S, 0)
    placing = sum(sum(peers.sent.values()) for peers in world.hub.values()) / span
    case = f"{NODES} instances, {ENGINES} workers"
    both = digests + answers + probes["both"]
    rows = []
    for name, value, unit, target in (
        ("digests built", world.digests / span, "1/s", None),
        ("digest bytes sent", digests, "B/s", None),
        ("heartbeat answers sent", answers, "B/s", None),
        ("probes and events polls", probes["both"], "B/s", None),
        ("control traffic, sent alone", both - probes["both"] + probes["sent"], "B/s", None),
        ("control traffic", both, "B/s", 6000.0),
        ("per-request placement", placing, "B/s", None),
    ):
        rows.append(Result(name, case, "owner", value, unit, target, seed))
    return rows
