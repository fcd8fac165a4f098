"""The change log: accepted configuration changes in order, applied and never reverted."""

from __future__ import annotations

import asyncio
import json
import time

from absl import logging
from reactivex import Observable
from reactivex.subject import Subject

from jayyoke.core.config import Configuration
from jayyoke.core.error import Conflict, StoreUnavailable
from jayyoke.parser.configuration import build_configuration, format_configuration
from jayyoke.platform.table import Put, Table

POLL_INTERVAL_S = 1.0
PAGE_ROWS = 100


def change_key(version: int) -> str:
    """Return the table key of a change; keys sort in version order."""
    return f"change/{version:012d}"


class Control:
    """Holds the newest configuration that this instance knows."""

    def __init__(self, table: Table):
        self._table = table
        self._configuration = Configuration()
        self._confirmed = False
        self._confirmed_at_s: float | None = None
        self._versions: Subject[int] = Subject()

    @property
    def versions(self) -> Observable[int]:
        """Return the stream of versions that come into force at this instance."""
        return self._versions

    @property
    def confirmed_age_s(self) -> float | None:
        """Return how long ago the platform confirmed the version, in seconds; None: never."""
        if self._confirmed_at_s is None:
            return None
        return time.monotonic() - self._confirmed_at_s

    @property
    def configuration(self) -> Configuration:
        """Return the configuration in force at this instance."""
        return self._configuration

    @property
    def confirmed(self) -> bool:
        """Tell whether the platform confirmed the version since the start."""
        return self._confirmed

    async def run(self) -> None:
        """Follow the change log until cancelled."""
        while True:
            try:
                await self.refresh()
            except StoreUnavailable as error:
                logging.warning("change log cannot be read: %s", error)
            await asyncio.sleep(POLL_INTERVAL_S)

    async def refresh(self) -> None:
        """Apply every change that the table holds; raise StoreUnavailable."""
        while True:
            after = change_key(self._configuration.version)
            rows = await self._table.scan("change/", after, PAGE_ROWS)
            for row in rows:
                version = int(row.key.rpartition("/")[2])
                self._configuration = build_configuration(json.loads(row.value), version)
                self._versions.on_next(version)
            if len(rows) < PAGE_ROWS:
                self._confirmed = True
                self._confirmed_at_s = time.monotonic()
                return

    async def accept(self, configuration: Configuration, base: int | None = None) -> int:
        """Append a change and return its version; raise Conflict or StoreUnavailable.

        `base` is the version that the change was made from; a newer version is a conflict.
        """
        await self.refresh()
        if base is not None and base != self._configuration.version:
            raise Conflict([0])
        version = self._configuration.version + 1
        value = json.dumps(format_configuration(configuration)).encode()
        try:
            await self._table.commit([Put(change_key(version), value, expect=0)])
        except StoreUnavailable:
            row = await self._table.get(change_key(version))
            if row is None or row.value != value:
                raise
        except Conflict:
            await self.refresh()
            raise
        await self.refresh()
        return version
