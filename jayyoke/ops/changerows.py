"""Rows of the change log in the table; a lost answer to a write is resolved by a read."""

from __future__ import annotations

from jayyoke.core.config import Configuration
from jayyoke.core.error import Conflict, Effect, StoreUnavailable
from jayyoke.ops.change import decode_snapshot, encode_snapshot
from jayyoke.platform.table import Put, Table

SNAPSHOT_KEY = "snapshot/configuration"
PUT_ATTEMPTS = 3


def change_key(version: int) -> str:
    """Return the table key of a change; keys sort in version order."""
    return f"change/{version:012d}"


async def put_change(table: Table, version: int, body: bytes) -> bool:
    """Write the row of a version; return False if it holds another body.

    Raise StoreUnavailable; its effect is UNKNOWN once any write may have reached the table.
    """
    effect = Effect.NONE
    detail = ""
    for _ in range(PUT_ATTEMPTS):
        try:
            await table.commit([Put(change_key(version), body, expect=0)])
            return True
        except Conflict:
            pass
        except StoreUnavailable as error:
            if effect is Effect.NONE and error.effect is Effect.NONE:
                raise
            effect, detail = Effect.UNKNOWN, str(error)
        try:
            row = await table.get(change_key(version))
        except StoreUnavailable as error:
            raise StoreUnavailable(str(error), effect) from error
        if row is not None:
            return row.value == body
        # The write may still arrive. Repeating it is safe: only one put can find no row.
    raise StoreUnavailable(detail, effect)


async def put_snapshot(table: Table, configuration: Configuration) -> None:
    """Replace an older snapshot; raise Conflict if another wrote first, or StoreUnavailable."""
    row = await table.get(SNAPSHOT_KEY)
    if row is not None and decode_snapshot(row.value).version >= configuration.version:
        return
    expect = 0 if row is None else row.version
    await table.commit([Put(SNAPSHOT_KEY, encode_snapshot(configuration), expect)])
