"""Connects the parts of an instance to the store's era."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from jayyoke.edge.storeera import StoreEra
from jayyoke.edge.view import FleetView
from jayyoke.ops.metrics import Metrics
from jayyoke.ops.quarantinerows import QuarantineRows
from jayyoke.ops.rendezvous import rank

# With two, the death of one instance loses no row that the store has lost.
ROW_WRITERS = 2


def build_row_writer(
    instance: str, list_alive: Callable[[], Sequence[str]]
) -> Callable[[str], bool]:
    """Return a function that tells whether an instance writes a part's lost row again."""
    return lambda key: instance in rank(key, list_alive())[:ROW_WRITERS]


def connect_era(era: StoreEra, view: FleetView, rows: QuarantineRows, metrics: Metrics) -> None:
    """Show the era in the metrics, and write the rows of quarantined parts when it rises."""
    metrics.add_gauge("jayyoke_store_era", "Era of the store.", lambda: era.value)
    metrics.add_gauge("jayyoke_kept_rows", "Rows of older eras in force.", view.count_kept)

    def write_again(_: int) -> None:
        if era.risen:
            rows.write_again()

    era.changes.subscribe(write_again)
