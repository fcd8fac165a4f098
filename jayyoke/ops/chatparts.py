"""What `jayyoked` knows of messages on which engines end, and how it shares and keeps that."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable

from absl import logging

from jayyoke.core.clock import Clock
from jayyoke.core.peering import Peers
from jayyoke.ops.endobserver import MAX_LOGGED_PARTS, EndObserver, ObservedEnd
from jayyoke.ops.partsharing import PartSharing
from jayyoke.ops.parttable import TablePartStorage
from jayyoke.ops.quarantine import Quarantine
from jayyoke.ops.quarantinerows import QuarantineRows
from jayyoke.platform.table import Table


class ChatParts:
    """Holds the quarantine of one instance and the parts that feed it."""

    def __init__(self, table: Table, peers: Peers, clock: Clock):
        self.quarantine = Quarantine(
            clock.now_s, peers.me.name, lambda: [member.name for member in peers.members()]
        )
        self.observer = EndObserver(self.quarantine, clock.now_s, self._record_end)
        self._sharing = PartSharing(self.quarantine, peers, clock)
        self._rows = QuarantineRows(
            self.quarantine,
            TablePartStorage(table),
            clock.now_s,
            lambda key: logging.warning("part %s is kept from engines, as the table says", key),
            lambda reason: logging.info("rows of quarantined parts: %s", reason),
        )

    def record_good(self, keys: Iterable[str]) -> list[str]:
        """Record an answer on these parts; return those that were quarantined until now."""
        cleared = self.quarantine.record_good(keys)
        for key in cleared:
            logging.warning("part %s is cleared", key)
            self._rows.mark_changed(key)
        return cleared

    async def run(self) -> None:
        """Share and keep the evidence until cancelled."""
        await asyncio.gather(self._sharing.run(), self._rows.run())

    def _record_end(self, end: ObservedEnd) -> None:
        logging.warning(
            "engine %s ended; request %s was cut, suspect parts: %s",
            end.upstream.name,
            end.request_id,
            ", ".join(end.keys[:MAX_LOGGED_PARTS]) or "none",
        )
        for key in end.quarantined[:MAX_LOGGED_PARTS]:
            logging.warning("part %s is kept from engines", key)
        self._rows.record_end(end.keys)
