"""Facts of older eras that stay in force over the rows of the present one.

Designed for a store that loses its last seconds while 78 instances route to 300 upstreams: the copy
holds the configuration before the last change, upstreams that have left since, and none of those
that were started. Who wrote the rows writes them again, under other revisions, seconds later.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from jayyoke.core.upstream import Upstream, UpstreamState
from jayyoke.platform import names
from jayyoke.platform.decode import InvalidRow, decode_config, decode_upstream
from jayyoke.platform.table import Row

# Upstreams write their entries every 1.2 s and operators within seconds of the store's return.
# Until then the fleet goes on as before; what is not written by then has ended meanwhile.
RESTORE_S = 10.0
# Tables whose rows are written by one party each. Any instance may write the row of a move.
_ORDERED_TABLES = (names.OPERATOR_TABLE, names.UPSTREAM_TABLE)


@dataclass(frozen=True, slots=True)
class KeptFact:
    """Holds a row of an older era, or its removal if `gone` is set, until `until_s`.

    The row's version, or that of its removal, counts within `era`.
    """

    row: Row
    era: int
    gone: bool = False
    until_s: float = math.inf

    def is_newer_than(self, other: KeptFact) -> bool:
        """Tell whether this fact was written after another one of the same key."""
        return (self.era, self.row.version) > (other.era, other.row.version)


def keep_fact(table: str, fact: KeptFact, found: Row | None, now_s: float) -> KeptFact | None:
    """Return the fact as it is kept over the row of the older copy, or None if it is not.

    `found` is that row, or None if the copy has none.
    """
    if table in _ORDERED_TABLES and found is not None and found.version > fact.row.version:
        # Whether the copy had it or it was written since: it is newer.
        return None
    if table == names.UPSTREAM_TABLE:
        return _keep_upstream(fact, found, now_s)
    if table == names.OPERATOR_TABLE:
        return _keep_operator(fact, found, now_s)
    if table == names.STATUS_TABLE:
        return _keep_until(fact, found, math.inf)
    return _keep_until(fact, found, now_s + RESTORE_S)


def is_replaced(table: str, fact: KeptFact, row: Row) -> bool:
    """Tell whether a row that was written in the present era replaces a kept fact."""
    if table == names.OPERATOR_TABLE and row.key == names.CONFIG_KEY:
        return _read_config_version(row) >= _read_config_version(fact.row)
    # Those who take part in moves decide about their rows.
    return table != names.STATUS_TABLE


def _keep_upstream(fact: KeptFact, found: Row | None, now_s: float) -> KeptFact | None:
    known = _decode_upstream(fact.row)
    if known is None:
        return None
    listed = None if found is None else _decode_upstream(found)
    if fact.gone or known.state is not UpstreamState.LIVE:
        if listed is None:
            return None if fact.gone else _set_end(fact, now_s + RESTORE_S)
        if listed.state is not UpstreamState.LIVE or listed.started_ms > known.started_ms:
            return None
        # The store removes the entry if nobody writes it again.
        return _set_end(fact, math.inf)
    if listed is None:
        return _set_end(fact, now_s + RESTORE_S)
    if listed.started_ms < known.started_ms:
        # Its predecessor, whose entry is older, has ended.
        return _set_end(fact, math.inf)
    return None


def _keep_operator(fact: KeptFact, found: Row | None, now_s: float) -> KeptFact | None:
    key = fact.row.key
    if key == names.CONFIG_KEY:
        if fact.gone or (found is not None and not _is_older_config(found, fact.row)):
            return None
        return _set_end(fact, math.inf)
    if fact.gone:
        # The operator's removal is lost as well, and is repeated.
        return None if found is None else _set_end(fact, now_s + RESTORE_S)
    if found is not None and (found.value == fact.row.value or _is_evacuation(key)):
        return None
    return _set_end(fact, math.inf)


def _keep_until(fact: KeptFact, found: Row | None, until_s: float) -> KeptFact | None:
    if fact.gone or (found is not None and found.value == fact.row.value):
        return None
    return _set_end(fact, until_s)


def _set_end(fact: KeptFact, until_s: float) -> KeptFact:
    return KeptFact(fact.row, fact.era, fact.gone, until_s)


def _is_evacuation(key: str) -> bool:
    return key.startswith(names.EVACUATE_PREFIX)


def _is_older_config(found: Row, known: Row) -> bool:
    return _read_config_version(found) < _read_config_version(known)


def _read_config_version(row: Row) -> int:
    """Return the version of a configuration, or -1 if the row is unreadable."""
    try:
        return decode_config(row.value).version
    except InvalidRow:
        return -1


def _decode_upstream(row: Row) -> Upstream | None:
    try:
        return decode_upstream(row.key, row.value)
    except InvalidRow:
        return None
