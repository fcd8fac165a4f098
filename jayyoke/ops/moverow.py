"""Rows of moves in the table: their encoding, and the lease with its fencing token."""

from __future__ import annotations

import json
from dataclasses import asdict, dataclass, replace

from jayyoke.core.error import Conflict, Effect, JayyokeError, StoreUnavailable
from jayyoke.core.move import Move, MovePhase
from jayyoke.platform.table import Put, Row, Table
from jayyoke.utils.jsontext import parse_json
from jayyoke.utils.record import build_record

MOVE_PREFIX = "move/"
LEASE_S = 6.0
RENEW_INTERVAL_S = 2.0


class MalformedRow(JayyokeError):
    """Reports a row of a move that cannot be decoded."""


@dataclass(frozen=True, slots=True)
class MoveRow:
    """Holds a move with the version of its row."""

    move: Move
    version: int

    @property
    def key(self) -> str:
        """Return the key of the row; a service has one row for all its moves."""
        return MOVE_PREFIX + self.move.service


def encode_move(move: Move) -> bytes:
    """Return the row value of a move."""
    return json.dumps(asdict(move) | {"phase": move.phase.value}).encode()


def decode_move(value: bytes) -> Move:
    """Return the move of a row value; raise MalformedRow."""
    try:
        plain = parse_json(value)
        return build_record(Move, plain | {"phase": MovePhase(plain["phase"])})
    except (ValueError, TypeError, KeyError) as error:
        raise MalformedRow(f"row of a move cannot be decoded: {error!r}") from error


def decode_move_row(row: Row) -> MoveRow:
    """Return a row of the table as a row of a move; raise MalformedRow."""
    return MoveRow(decode_move(row.value), row.version)


async def write_move(table: Table, move: Move, expect: int) -> MoveRow:
    """Write a move if its row still has the expected version; raise Conflict, StoreUnavailable.

    The row is read back for its new version, which also resolves a lost answer: `renewal`,
    `holder` and `id` make every value of a row unique.
    """
    value = encode_move(move)
    key = MOVE_PREFIX + move.service
    try:
        await table.commit([Put(key, value, expect)])
    except StoreUnavailable as error:
        if error.effect is Effect.NONE:
            raise
    row = await table.get(key)
    if row is None or row.value != value:
        raise Conflict([0])
    return MoveRow(move, row.version)


class LeaseWatch:
    """Tells when a lease has lapsed, without comparing clocks of different machines.

    A lease has lapsed when its row did not change for LEASE_S seconds of this instance's own
    monotonic clock; the holder renews it every RENEW_INTERVAL_S seconds.
    """

    __slots__ = ("_seen",)

    def __init__(self) -> None:
        self._seen: dict[str, tuple[int, float]] = {}

    def observe(self, row: MoveRow, now_s: float) -> None:
        """Remember when a version of the row was first seen."""
        known = self._seen.get(row.key)
        if known is None or known[0] != row.version:
            self._seen[row.key] = (row.version, now_s)

    def has_lapsed(self, row: MoveRow, now_s: float) -> bool:
        """Tell whether another instance may take the lease."""
        if not row.move.holder:
            return True
        version, since_s = self._seen.get(row.key, (row.version, now_s))
        return version == row.version and now_s - since_s >= LEASE_S


async def take_lease(table: Table, row: MoveRow, holder: str) -> MoveRow | None:
    """Take the lease with a new fencing token; return the row, or None if another was first."""
    move = row.move
    taken = replace(move, holder=holder, fence=move.fence + 1, renewal=move.renewal + 1)
    try:
        return await write_move(table, taken, row.version)
    except Conflict:
        return None


async def reopen_move(table: Table, row: MoveRow) -> MoveRow | None:
    """Reopen a finished move for rollback; return its row, or None if another wrote it first.

    The instance that finished the move may not have known of the halt.
    """
    move = row.move
    reopened = replace(
        move,
        phase=MovePhase.ROLLING_BACK,
        fence=move.fence + 1,
        holder="",
        renewal=move.renewal + 1,
        share_ppm=0,
        reason="an instance halted the version",
    )
    try:
        return await write_move(table, reopened, row.version)
    except Conflict:
        return None
