"""Messages about the rows of older eras that instances keep, for those that do not know them.

An instance that was started after the store's return has only the older copy. Kept rows are sent
when they differ from those that were sent before, and not at all in calm.
"""

from __future__ import annotations

import math
import zlib
from collections.abc import Callable, Iterable, Mapping

from jayyoke.edge.tablecopy import TableCopy
from jayyoke.eras.fact import KeptFact
from jayyoke.platform.rowstore import MAX_ERA
from jayyoke.platform.table import Row
from jayyoke.wire.gen import ttypes


def find_digest(copy: TableCopy) -> int:
    """Return a number that changes with the kept rows, or 0 if there are none."""
    if not copy.kept:
        return 0
    found = []
    for key, fact in sorted(copy.kept.items()):
        found.append((key, fact.era, fact.row.version, fact.gone, zlib.crc32(fact.row.value)))
    return 1 + zlib.crc32(repr((copy.era, found)).encode())


def select_eras(copies: Mapping[str, TableCopy], known_era: int) -> dict[str, int] | None:
    """Return the eras of tables for a request, or None if no era is known."""
    eras = {name: copy.era for name, copy in copies.items()}
    return eras if known_era or any(eras.values()) else None


def decode_eras(eras: Mapping[str, int] | None) -> dict[str, int] | None:
    """Return the eras of a peer's tables; raise ValueError if one is out of range."""
    if eras is None:
        return None
    return {str(name): check_era(era) for name, era in eras.items()}


def check_era(era: int) -> int:
    """Return an era of a peer; raise ValueError if it is out of range."""
    if not 0 <= era <= MAX_ERA:
        raise ValueError(f"{era} is no era")
    return era


def encode_facts(
    facts: Iterable[KeptFact], encode_row: Callable[[Row], ttypes.RelayedRow], now_s: float
) -> list[ttypes.RelayedRow]:
    """Return the kept rows as they are sent."""
    found = []
    for fact in facts:
        row = encode_row(fact.row)
        left_ms = None
        if fact.until_s < math.inf:
            left_ms = max(0, int((fact.until_s - now_s) * 1000))
        found.append(
            ttypes.RelayedRow(
                row.key,
                row.value,
                row.version,
                packed=row.packed,
                era=fact.era,
                gone=fact.gone or None,
                left_ms=left_ms,
            )
        )
    return found


def decode_facts(
    rows: Iterable[ttypes.RelayedRow],
    decode_row: Callable[[ttypes.RelayedRow], Row],
    answered_s: float,
) -> tuple[KeptFact, ...]:
    """Return a peer's kept rows; raise TypeError or ValueError if a field is unusable."""
    found = []
    for row in rows:
        until_s = math.inf if row.left_ms is None else answered_s + row.left_ms / 1000
        era = check_era(row.era or 0)
        found.append(KeptFact(decode_row(row), era, bool(row.gone), until_s))
    return tuple(found)
