"""Slopes behind docs/CAPACITY.md: what each role costs at several sizes, and the linear fit.

Writes bench/slopes.json and the tables of the page, which bench/capacity.py computes from it.
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from pathlib import Path

from bench import _slope_messages as messages
from bench import _slope_state as state
from bench import capacity
from bench._fit import Slope
from bench.result import Result

PATH = Path(__file__).parent / "slopes.json"


def measure_slopes(seed: int) -> list[Slope]:
    """Return every slope."""
    return [
        *messages.measure_membership(),
        *messages.measure_loads(seed),
        *messages.measure_probes(),
        *messages.measure_listing(),
        *state.measure_chats(),
        *state.measure_configuration(),
        *state.measure_batches(seed),
        *state.measure_sweeps(),
        *state.measure_placement(seed),
        *state.measure_moves(),
    ]


def write_slopes(slopes: list[Slope], seed: int, path: Path = PATH) -> None:
    """Write the slopes with sizes, values, fit and residual as JSON."""
    document = {"seed": seed, "slopes": [slope.to_dict() for slope in slopes]}
    path.write_text(json.dumps(document, indent=1) + "\n", encoding="utf-8")


def measure(seed: int) -> list[Result]:
    """Return slope and residual of each figure; write bench/slopes.json and update the page."""
    slopes = measure_slopes(seed)
    write_slopes(slopes, seed)
    capacity.update_page()
    rows = []
    for slope in slopes:
        unit_per_size = f"{slope.unit} per {slope.size_name}"
        rows.append(Result("slope", slope.name, "fit", slope.slope, unit_per_size, None, seed))
        name = "slope residual"
        rows.append(Result(name, slope.name, "fit", slope.residual, "of largest", None, seed))
    return rows + _list_control_costs(capacity.read_slopes(), seed)


def _list_control_costs(slopes: Mapping[str, Slope], seed: int) -> list[Result]:
    case = f"{capacity.INSTANCES_PER_DOMAIN} instances, {capacity.WORKERS} workers"
    rows = []
    for name, value, unit, target in (
        ("control processor share", capacity.sum_control_processor_s(slopes), "of a core", 0.024),
        ("control memory", capacity.sum_control_memory_mb(slopes), "MB", 64.0),
    ):
        rows.append(Result(name, case, "owner", value, unit, target, seed))
    return rows
