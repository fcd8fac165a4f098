"""Trade-off of cache reuse against load skew, by load threshold and digest interval."""

from __future__ import annotations

from bench.fakes import FleetSimulation, generate_trace
from bench.result import Result
from bench.skew import SkewSampler, find_percentile
from jayyoke.core import registry
from jayyoke.core.config import ServiceSpec
from jayyoke.ops.loadbound import REQUEST_HEADROOM_SHARE
from jayyoke.ops.policy import PlacementQuery, Policy

NODES = 12
ENGINES = 64
IN_FLIGHT = 25
RUN_S = 12.7
UNTIL_S = 16.0


def build_digest_only() -> Policy:
    """Return the owner policy without admission, which knows loads from digests only."""
    registry.load_plugins()
    order = registry.find_plugin("policy", "owner")().order

    def choose(query: PlacementQuery) -> list[str]:
        engines = list(order(query))
        for engine in engines:
            if query.utilisation(engine) < 1.0:
                return [engine]
        return [min(engines, key=query.utilisation)]

    return Policy(choose, asks_owner=True)


def run_point(
    policy: str | Policy, threshold: float, digest_interval_s: float, seed: int, early_notices: bool
) -> tuple[SkewSampler, FleetSimulation]:
    """Run one combination of policy, threshold and digest interval."""
    multiple = 1 + (threshold - 1) / REQUEST_HEADROOM_SHARE
    service = ServiceSpec("pool", "engine", load_bound=multiple, full_work_tokens=1 << 30)
    simulation = FleetSimulation(
        policy, NODES, ENGINES, service, seed, digest_interval_s, early_notices=early_notices
    )
    skew = SkewSampler(simulation)
    for tenth in range(40, int(UNTIL_S * 10)):
        simulation.at(tenth / 10 + 0.05, skew.sample)
    simulation.schedule_fill_digests()
    count = ENGINES * IN_FLIGHT
    trace = generate_trace(seed, count / RUN_S, UNTIL_S, RUN_S, count, pause_s=8.0)
    simulation.run(UNTIL_S, trace)
    return skew, simulation


def measure(seed: int) -> list[Result]:
    """Return skew and tokens found for each point."""
    rows = []
    points = [
        ("steward", 1.15, 1.0, True),
        ("steward", 1.2, 1.0, True),
        ("steward", 1.2, 1.0, False),
        ("steward", 1.25, 1.0, True),
        ("digest-only", 1.15, 0.5, False),
        ("digest-only", 1.25, 1.0, False),
    ]
    for kind, threshold, digest_interval_s, early_notices in points:
        policy = "owner" if kind == "steward" else build_digest_only()
        skew, simulation = run_point(policy, threshold, digest_interval_s, seed, early_notices)
        notice_label = ", early" if early_notices else ""
        case = f"threshold {threshold}, {digest_interval_s} s{notice_label}"
        value = find_percentile(list(skew.requests.values()), 0.99)
        found_share = simulation.found_tokens / simulation.prompt_tokens
        displaced_share = simulation.displaced / max(simulation.placed, 1)
        rows.append(Result("frontier skew", case, kind, value, "x mean", None, seed))
        rows.append(Result("frontier reuse", case, kind, found_share, "of prompts", None, seed))
        rows.append(
            Result("frontier displaced", case, kind, displaced_share, "of requests", None, seed)
        )
    return rows
