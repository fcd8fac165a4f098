"""Gain from figures of slowness: first tokens in time, copies of prompts and the load bound."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, replace

from bench.arrivals import find_worst_window
from bench.chatfleet import ChatFleet
from bench.chatkinds import USUAL_KINDS, ChatKind
from bench.loadbound import ALLOWED_SHARE, LOAD_FACTOR, SMALL_WEIGHTS, exchange_in_domains
from bench.result import Result
from bench.spells import Figures, Machines, Spells
from jayyoke.edge.loadexchange import MAX_SHARED_AGE_S

LENGTH_S = 9.0
# Seconds to the first token within which a chat of each kind is served in time.
AIMS_S = {"middle": 0.27, "short": 0.42, "long": 1.2}
MACHINES = Machines(
    spells=Spells(),
    speeds=(1.0, 1.0, 1.3),
    slots=16,
    first_token_s=0.11,
    tokens_per_s=10_500 / 0.16,
    swing=0.55,
)
FIGURES: dict[str, Figures | None] = {
    "ignored": None,
    "as reported": Figures(),
    "0 s old": Figures(0.0),
    "0.3 s old": Figures(0.3),
    "0.6 s old": Figures(0.6),
    "1 s old": Figures(1.0),
    "2 s old": Figures(2.0),
    "random": Figures(0.0, "random"),
    "inverted": Figures(0.0, "inverted"),
    "three in ten always slow": Figures(0.0, "always-slow"),
    "huge": Figures(0.0, "huge"),
    "zero": Figures(0.0, "zero"),
}


@dataclass(frozen=True, slots=True)
class FleetSize:
    """Describes the size of a fleet and its traffic."""

    name: str
    weights: Sequence[float]
    engines: int
    kinds: Sequence[ChatKind]


def build_size(instances: int, engines: int, factor: float) -> FleetSize:
    """Return a fleet whose traffic is a multiple of the usual one."""
    kinds = [
        replace(kind, rate=kind.rate * factor, sessions=round(kind.sessions * factor))
        for kind in USUAL_KINDS
    ]
    weights = SMALL_WEIGHTS if instances == len(SMALL_WEIGHTS) else [1.0] * instances
    return FleetSize(f"{instances} instances, {engines} engines", weights, engines, kinds)


SIZES = (build_size(6, 12, 1.0), build_size(60, 70, 6.0), build_size(195, 220, 19.0))


def exchange_all(fleet: ChatFleet) -> None:
    """Exchange loads as large fleets do, or between all instances of a small one."""
    if len(fleet.placers) > len(SMALL_WEIGHTS):
        exchange_in_domains(fleet)
        return
    since_s = fleet.now_s - MAX_SHARED_AGE_S
    for placer in fleet.placers[1:]:
        fleet.placers[0].load_exchange.merge(placer.load_exchange.list_recent(since_s, True))
        placer.load_exchange.merge(fleet.placers[0].load_exchange.list_recent(since_s))


def run_size(size: FleetSize, figures: Figures | None, seed: int) -> dict[str, float]:
    """Return the measures of one run by name."""
    machines = replace(MACHINES, figures=figures)
    fleet = ChatFleet(
        size.weights, size.engines, seed, size.kinds, exchange=exchange_all, machines=machines
    )
    arrivals = fleet.run(LENGTH_S)
    within = [first_s <= AIMS_S[kind] for kind, first_s in fleet.first_tokens]
    times_s = sorted(first_s for _, first_s in fleet.first_tokens)
    copies = sum(
        not part.startswith("own-")
        for engine in fleet.engines.values()
        for part in engine.cached_parts
    )
    beyond = [arrival.exceeds(LOAD_FACTOR) for arrival in arrivals]
    return {
        "within aim": sum(within) / len(within),
        "mean first token": sum(times_s) / len(times_s),
        "95th percentile": times_s[int(0.95 * len(times_s))],
        "copies of prompts": copies,
        "beyond load bound": sum(beyond) / len(beyond),
        "worst five seconds": find_worst_window(arrivals, LOAD_FACTOR)[0],
        "refused": fleet.refused,
    }


UNITS = {
    "within aim": "share",
    "mean first token": "s",
    "95th percentile": "s",
    "copies of prompts": "copies",
    "beyond load bound": "share",
    "worst five seconds": "share",
    "refused": "requests",
}


def measure(seed: int) -> list[Result]:
    """Return the measures by size of the fleet and kind of figures."""
    results = []
    for size in SIZES:
        for label, figures in FIGURES.items():
            for name, value in run_size(size, figures, seed).items():
                target = ALLOWED_SHARE if name == "worst five seconds" else None
                results.append(Result(name, size.name, label, value, UNITS[name], target, seed))
    return results
