"""Evidence that placement groups share through rows of the table."""

from __future__ import annotations

import json
from collections.abc import Mapping

from absl import logging

from jayyoke.core.clock import Clock
from jayyoke.core.move import OutcomeCounts
from jayyoke.platform.table import Put, Table
from jayyoke.utils.jsontext import parse_json

PREFIX = "evidence/"
EXCHANGE_INTERVAL_S = 2.0

Totals = Mapping[tuple[str, str], OutcomeCounts]


class EvidenceRows:
    """Writes the totals of the own group and reads those of the others, every 2 s at most."""

    def __init__(self, table: Table, clock: Clock):
        self._table = table
        self._clock = clock
        self._totals_by_domain: dict[str, dict[str, dict[tuple[str, str], OutcomeCounts]]] = {}
        self._exchanged_s = 0.0

    def read(self, move_id: str) -> Mapping[str, Totals]:
        """Return the totals of a move by the domain that wrote them."""
        return self._totals_by_domain.get(move_id, {})

    async def exchange(self, pools: Mapping[str, Totals], domain: str, writes: bool) -> None:
        """Exchange the totals of active moves, given by id; raise StoreUnavailable.

        One reader writes for its whole group, under the group's first domain.
        """
        now_s = self._clock.now_s()
        if now_s - self._exchanged_s < EXCHANGE_INTERVAL_S:
            return
        self._exchanged_s = now_s
        for move_id, totals in pools.items():
            prefix = f"{PREFIX}{move_id}/"
            if writes:
                await self._table.commit([Put(prefix + domain, _encode_totals(totals))])
            rows = await self._table.scan(prefix)
            found = {row.key.removeprefix(prefix): _decode_totals(row.value) for row in rows}
            self._totals_by_domain[move_id] = found


def _encode_totals(totals: Mapping[tuple[str, str], OutcomeCounts]) -> bytes:
    plain = []
    for (version, route), counts in totals.items():
        plain.append([version, route, counts.requests, counts.failures, counts.slow])
    return json.dumps(plain).encode()


def _decode_totals(value: bytes) -> dict[tuple[str, str], OutcomeCounts]:
    try:
        totals = {}
        for version, route, requests, failures, slow, *_ in parse_json(value):
            totals[(str(version), str(route))] = OutcomeCounts(
                int(requests), int(failures), int(slow)
            )
        return totals
    except (ValueError, TypeError, OverflowError):
        logging.error("evidence row cannot be decoded")
        return {}
