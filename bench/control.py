"""Control traffic of placement per node, in serialised bytes."""

from __future__ import annotations

from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocol
from thrift.transport.TTransport import TMemoryBuffer

from bench.fakes import World, generate_trace
from bench.result import Result
from jayyoke.core.config import ServiceSpec
from jayyoke.ops.probe import PROBE_INTERVAL_S
from jayyoke.wire.gen.ttypes import Digest

NODES = 30
ENGINES = 260
UNTIL_S = 12.0
FROM_S = 4.0
RUN_S = 12.7
RATE = 510.0
FRAME_BYTES = 4 + 16 + 2  # Length, MAC, kind and sequence.
PROBE_BYTES = 450  # Estimate of request and answer with HTTP headers, 225 bytes each way.
SERVICE = ServiceSpec("pool", "engine", full_work_tokens=1 << 30)


def measure_message(message: Any) -> int:
    """Return the bytes of a message on the wire."""
    if message is None:
        return 0
    buffer = TMemoryBuffer()
    message.write(TCompactProtocol(buffer))
    return len(buffer.getvalue()) + FRAME_BYTES


class CountingWorld(World):
    """Counts the bytes of digests that all instances send."""

    digest_bytes = 0
    digests = 0

    def send_digest(self, index: int, only: str | None = None) -> None:
        """Build a digest, count its bytes and deliver it."""
        names, loads = self.nodes[index].build_loads(only)
        me = self.hub[f"node-{index:02d}"].me
        digest = Digest(0, 0, names, loads, [], False, 0, [])
        if self.now_s() >= FROM_S:
            self.digest_bytes += measure_message(digest) * (len(self.nodes) - 1)
            self.digests += 1
        for other, node in enumerate(self.nodes):
            if other != index:
                node.accept_loads(me, digest)


def measure(seed: int) -> list[Result]:
    """Return the bytes a second per node that placement sends."""
    world = CountingWorld("owner", NODES, ENGINES, SERVICE, seed)
    world.at(FROM_S, lambda: [setattr(p, "size", measure_message) for p in world.hub.values()])
    world.fill()
    world.run(UNTIL_S, generate_trace(seed, RATE, UNTIL_S, RUN_S, int(RATE * RUN_S)))
    span = (UNTIL_S - FROM_S) * NODES
    digests = world.digest_bytes / span
    probes = ENGINES / NODES / PROBE_INTERVAL_S * PROBE_BYTES
    placing = sum(sum(peers.sent.values()) for peers in world.hub.values()) / span
    case = f"{NODES} instances, {ENGINES} workers"
    rate = world.digests / span
    return [
        Result("digest bytes sent", case, "owner", digests, "B/s", None, seed),
        Result("digests built", case, "owner", rate, "1/s", None, seed),
        Result("probe bytes (estimate)", case, "owner", probes, "B/s", None, seed),
        Result("control traffic", case, "owner", digests + probes, "B/s", 6000.0, seed),
        Result("per-request placement", case, "owner", placing, "B/s", None, seed),
    ]
