"""Load skew: the ratio of the most loaded engine to the mean, by policy."""

from __future__ import annotations

from bench.fakes import POLICIES, FleetSimulation, generate_trace
from bench.result import Result
from jayyoke.core.config import ServiceSpec
from jayyoke.ops.loadbound import compute_bound

NODES = 29
ENGINES = 257
IN_FLIGHT = 25
RUN_S = 12.7
FROM_S = 4.0
UNTIL_S = 13.0
SERVICE = ServiceSpec("pool", "engine", full_work_tokens=1 << 30)
SURGES = ((6.0, 11.0, 1.5),)


class SkewSampler:
    """Keeps the peak ratio of the most loaded engine to the mean for each second."""

    def __init__(self, simulation: FleetSimulation):
        self._simulation = simulation
        self.requests: dict[int, float] = {}
        self.work: dict[int, float] = {}
        self.bounds: list[float] = []

    def sample(self) -> None:
        """Record the load of every engine at this moment."""
        engines = [engine for engine in self._simulation.engines.values() if engine.up]
        window = int(self._simulation.now_s())
        requests = [engine.requests for engine in engines]
        work = [engine.work_tokens for engine in engines]
        mean = sum(requests) / len(engines)
        self.bounds.append(compute_bound(1.25, mean) / mean)
        ratio = max(requests) / mean
        self.requests[window] = max(self.requests.get(window, 0.0), ratio)
        ratio = max(work) * len(engines) / sum(work)
        self.work[window] = max(self.work.get(window, 0.0), ratio)


def find_percentile(values: list[float], share: float) -> float:
    """Return the value that the given share of the values does not exceed."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def run_skew(simulation: FleetSimulation, seed: int, until_s: float = UNTIL_S) -> SkewSampler:
    """Run a stationary load with a surge and return the samples."""
    skew = SkewSampler(simulation)
    for tenth in range(int(FROM_S * 10), int(until_s * 10)):
        simulation.at(tenth / 10 + 0.05, skew.sample)
    simulation.schedule_fill_digests()
    count = len(simulation.engines) * IN_FLIGHT
    trace = generate_trace(seed, count / RUN_S, until_s, RUN_S, count, surges=SURGES)
    simulation.run(until_s, trace)
    return skew


def measure(seed: int) -> list[Result]:
    """Return the skew in requests and in work of every policy."""
    rows = []
    case = f"{NODES} deciders, {ENGINES} engines"
    for policy in POLICIES:
        simulation = FleetSimulation(policy, NODES, ENGINES, SERVICE, seed)
        skew = run_skew(simulation, seed)
        for name, values in (("requests", skew.requests), ("work", skew.work)):
            value = find_percentile(list(values.values()), 0.99)
            rows.append(Result(f"skew in {name}", case, policy, value, "x mean", 1.25, seed))
        if policy == "owner":
            bound = find_percentile(skew.bounds, 0.5)
            rows.append(Result("bound rounded up", case, policy, bound, "x mean", None, seed))
            rows.append(Result("bound unrounded", case, policy, 1.25, "x mean", None, seed))
            total = simulation.placed + simulation.refused
            share = simulation.displaced / max(simulation.placed, 1)
            rows.append(Result("displaced", case, policy, share, "of requests", None, seed))
            share = simulation.refused / max(total, 1)
            rows.append(Result("refused", case, policy, share, "of requests", None, seed))
    return rows
