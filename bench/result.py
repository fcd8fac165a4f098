"""Rows of the table of benchmark results."""

from __future__ import annotations

import json
from collections.abc import Sequence
from dataclasses import asdict, dataclass
from pathlib import Path


@dataclass(frozen=True, slots=True)
class Result:
    """Holds one measured value; the target is None if the row has none.

    `at_most` tells whether the target is an upper bound; otherwise it is a lower bound.
    """

    measure: str
    case: str
    policy: str
    value: float
    unit: str
    target: float | None
    seed: int
    at_most: bool = True

    @property
    def met(self) -> bool | None:
        """Tell whether the value meets the target, or None without a target."""
        if self.target is None:
            return None
        return self.value <= self.target if self.at_most else self.value >= self.target


def print_results(results: Sequence[Result]) -> None:
    """Print one table."""
    print(f"{'measure':26} {'case':34} {'policy':16} {'value':>12} {'unit':12} {'target':>9} met")
    for row in results:
        target = "-" if row.target is None else f"{row.target:g}"
        met = {None: "-", True: "yes", False: "MISSED"}[row.met]
        print(
            f"{row.measure:26} {row.case:34} {row.policy:16} {row.value:12.4g} {row.unit:12}"
            f" {target:>9} {met}"
        )


def write_results(results: Sequence[Result], path: Path) -> None:
    """Write all rows as JSON."""
    rows = []
    for row in results:
        fields = asdict(row) | {"met": row.met}
        del fields["at_most"]
        rows.append(fields)
    path.write_text(json.dumps(rows, indent=1) + "\n", encoding="utf-8")
