"""Fleet of change logs, failure domains and halts over one table, for fuzz models."""

from __future__ import annotations

import asyncio
import random

from absl import logging
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, precondition, rule

from bench.memory import VirtualLoop
from jayyoke.core.error import StoreUnavailable
from jayyoke.ops import changelog as changelog_module
from jayyoke.ops.changelog_test import DOMAINS, FakeTable, Fleet, Instance, LossyPeers
from jayyoke.platform.table import Row

INSTANCES = 6
NAMES = [f"i{index}" for index in range(INSTANCES)]
MAX_RESTARTS = 8
LOSS = 0.3
# Small values make short runs use snapshots and ask peers for changes that they dropped.
SNAPSHOT_INTERVAL = 5
RECENT_CHANGES = 6
_PATCHED_CONSTANTS = {"SNAPSHOT_INTERVAL": SNAPSHOT_INTERVAL, "RECENT_CHANGES": RECENT_CHANGES}


class TableAccess:
    """Gives one instance access to the table; `down` cuts off only this instance."""

    def __init__(self, table: FakeTable):
        self.down = False
        self._table = table

    @property
    def reachable(self) -> bool:
        """Tell whether calls get through."""
        return not self.down and not self._table.down

    async def get(self, key):
        """Read a row."""
        await self._pass_or_fail()
        return await self._table.get(key)

    async def scan(self, prefix, after="", limit=100):
        """Read rows."""
        await self._pass_or_fail()
        return await self._table.scan(prefix, after, limit)

    async def commit(self, puts):
        """Write rows."""
        await self._pass_or_fail()
        await self._table.commit(puts)

    async def _pass_or_fail(self) -> None:
        # Lets concurrent calls of several instances interleave.
        for _ in range(LossyPeers.random.randrange(4)):
            await asyncio.sleep(0)
        if self.down:
            raise StoreUnavailable("cut off from the platform")


class AccessFleet(Fleet):
    """Gives every instance access of its own to the table."""

    def start(self, name: str, domain: str) -> Instance:
        """Start an instance; it keeps the table access of its earlier incarnation."""
        self.tables.setdefault(name, TableAccess(self.table))
        return super().start(name, domain)


class FleetMachine(RuleBasedStateMachine):
    """Drives a fleet through outages, partitions, message loss and restarts."""

    @initialize(seed=st.integers(0, 2**16))
    def start(self, seed: int) -> None:
        """Start the instances."""
        logging.set_verbosity(logging.FATAL)
        self.loop = VirtualLoop()
        self.restarts = 0
        self._saved_constants = {
            name: getattr(changelog_module, name) for name in _PATCHED_CONSTANTS
        }
        for name, value in _PATCHED_CONSTANTS.items():
            setattr(changelog_module, name, value)
        LossyPeers.random = random.Random(seed)
        LossyPeers.loss = LOSS
        self.loop.run_until_complete(self._build())

    async def _build(self) -> None:
        self.fleet = AccessFleet(INSTANCES)
        await self.fleet.tick(2)

    @rule(down=st.booleans(), answers=st.integers(0, 2), writes=st.integers(0, 4))
    def fault(self, down: bool, answers: int, writes: int) -> None:
        """Begin or end an outage of the table; lose the next answers and writes."""
        table = self.fleet.table
        table.down, table.lose_answers, table.lose_writes = down, answers, writes

    @rule(name=st.sampled_from(NAMES), down=st.booleans())
    def cut_platform(self, name: str, down: bool) -> None:
        """Cut one instance off from the platform, or connect it again."""
        self.fleet.tables[name].down = down

    @rule(names=st.sets(st.sampled_from(NAMES), min_size=1, max_size=3), cut=st.booleans())
    def partition(self, names: set[str], cut: bool) -> None:
        """Cut some instances off from the others, or connect them again."""
        set_link = self.fleet.hub.partition if cut else self.fleet.hub.heal
        for one in sorted(names):
            for other in NAMES:
                if other not in names:
                    set_link(one, other)

    @rule()
    def heal_all(self) -> None:
        """End every partition."""
        for one in NAMES:
            for other in NAMES:
                if one != other:
                    self.fleet.hub.heal(one, other)

    @rule(loss=st.sampled_from((0.0, LOSS)))
    def set_loss(self, loss: float) -> None:
        """Change the share of lost messages."""
        LossyPeers.loss = loss

    @rule(seconds=st.integers(1, 6))
    def tick(self, seconds: int) -> None:
        """Let time pass."""
        for _ in range(seconds):
            self.loop.run_until_complete(self.fleet.tick(1))
            self.after_tick()

    @rule(name=st.sampled_from(NAMES), reaches=st.booleans())
    def converge(self, name: str, reaches: bool) -> None:
        """Check that peers spread the newest version while at most one reaches the platform."""
        self.end_faults()
        for other in NAMES:
            self.cut_platform(other, other != name or not reaches)
        self.tick(9)
        versions = self.fleet.versions()
        assert len(versions) == 1, f"peers hold {versions}"
        assert not reaches or versions == {len(self.log_rows())}

    def after_tick(self) -> None:
        """Check what must hold after each second."""

    @precondition(lambda self: self.restarts < MAX_RESTARTS)
    @rule(name=st.sampled_from(NAMES))
    def restart(self, name: str) -> None:
        """Replace an instance, which loses its state, also during an outage."""
        self.restarts += 1
        self.loop.run_until_complete(self._restart(name))
        self.after_restart(name)

    async def _restart(self, name: str) -> None:
        self.fleet.stop(name)
        self.fleet.start(name, DOMAINS[NAMES.index(name) % len(DOMAINS)])

    def after_restart(self, name: str) -> None:
        """Update what the model expects of the instance."""

    def log_rows(self) -> list[Row]:
        """Return the rows of the log in order."""
        rows = self.fleet.table.rows
        return [rows[key] for key in sorted(rows) if key.startswith("change/")]

    def end_faults(self) -> None:
        """End every fault."""
        self.fault(False, 0, 0)
        for name in NAMES:
            self.cut_platform(name, False)
        self.heal_all()
        LossyPeers.loss = 0.0

    def teardown(self) -> None:
        """Check that the fleet converges within nine seconds after the last fault."""
        if not hasattr(self, "fleet"):
            return
        try:
            self.end_faults()
            self.tick(9)
            self.check_end()
        finally:
            for name, value in self._saved_constants.items():
                setattr(changelog_module, name, value)
            self.loop.close()

    def check_end(self) -> None:
        """Check that every instance holds the newest version."""
        versions = self.fleet.versions()
        assert versions == {len(self.log_rows())}, f"{versions} of {len(self.log_rows())}"
