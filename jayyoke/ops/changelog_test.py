"""Tests of the change log, domains and halts with peers in one process."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field

import pytest

from jayyoke.core.clock import ManualClock
from jayyoke.core.config import Configuration, TeamSpec
from jayyoke.core.error import Conflict, Effect, StoreUnavailable
from jayyoke.core.member import Member
from jayyoke.ops.change import (
    Delta,
    apply_delta,
    diff_configurations,
    encode_delta,
    encode_snapshot,
)
from jayyoke.ops.changelog import ChangeLog
from jayyoke.ops.changerows import change_key
from jayyoke.ops.digest import Digests
from jayyoke.ops.domain import Domains
from jayyoke.ops.halt import Halts
from jayyoke.platform.table import Row
from jayyoke.wire.local import LocalHub, LocalPeers

DOMAINS = ("a", "b", "c")


class FakeTable:
    """Keeps rows in memory; tests switch outages and lost answers on."""

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.down = False
        self.lose_answers = 0
        self.lose_writes = 0

    def check_reachable(self) -> None:
        if self.down:
            raise StoreUnavailable("down")

    async def get(self, key):
        self.check_reachable()
        return self.rows.get(key)

    async def scan(self, prefix, after="", limit=100):
        self.check_reachable()
        keys = sorted(key for key in self.rows if key.startswith(prefix) and key > after)
        return [self.rows[key] for key in keys[:limit]]

    async def commit(self, puts):
        self.check_reachable()
        if self.lose_writes:
            self.lose_writes -= 1
            raise StoreUnavailable("request lost", Effect.UNKNOWN)
        for index, put in enumerate(puts):
            version = self.rows[put.key].version if put.key in self.rows else 0
            if put.expect not in (None, version):
                raise Conflict([index])
        for put in puts:
            version = self.rows[put.key].version if put.key in self.rows else 0
            self.rows[put.key] = Row(put.key, put.value, version + 1)
        if self.lose_answers:
            self.lose_answers -= 1
            raise StoreUnavailable("answer lost", Effect.UNKNOWN)


class LossyPeers(LocalPeers):
    """Drops a seeded share of the one-way messages and of the requests."""

    random = random.Random(1)
    loss = 0.0

    def tell(self, instance, message):
        if self.random.random() >= self.loss:
            super().tell(instance, message)

    async def ask(self, instance, message, timeout_s):
        if self.random.random() < self.loss:
            raise TimeoutError
        return await super().ask(instance, message, timeout_s)


@dataclass
class Instance:
    peers: LossyPeers
    digests: Digests
    change_log: ChangeLog
    domains: Domains
    halts: Halts
    versions: list[int] = field(default_factory=list)


class Fleet:
    """Runs several instances on one clock; `tick` is one second of all of them."""

    def __init__(self, count: int = 6) -> None:
        self.clock = ManualClock()
        self.hub = LocalHub()
        self.tables: dict[str, FakeTable] = {}
        self.table = FakeTable()
        self.instances: dict[str, Instance] = {}
        for index in range(count):
            self.start(f"i{index}", DOMAINS[index % 3])

    def start(self, name: str, domain: str) -> Instance:
        peers = LossyPeers(self.hub, Member(name, domain, 1, ""))
        self.hub.peers[name] = peers
        digests = Digests(peers)
        table = self.tables.get(name, self.table)
        change_log = ChangeLog(table, peers, digests, self.clock)
        domains = Domains(change_log, peers, digests, self.clock)
        halts = Halts(change_log, peers, digests, self.clock)
        instance = Instance(peers, digests, change_log, domains, halts)
        change_log.changes.subscribe(lambda new: instance.versions.append(new.version))
        self.instances[name] = instance
        return instance

    def stop(self, name: str) -> None:
        self.hub.leave(name)
        del self.instances[name]

    async def tick(self, seconds: int = 1) -> None:
        for _ in range(seconds):
            self.clock.advance(1.0)
            for instance in list(self.instances.values()):
                await instance.change_log.step()
                await instance.domains.step()
                await instance.halts.step()
                instance.digests.broadcast_heartbeat()
            await settle()

    def versions(self) -> set[int]:
        return {instance.change_log.configuration.version for instance in self.instances.values()}


async def settle() -> None:
    """Let every started message and pull finish."""
    for _ in range(200):
        await asyncio.sleep(0)


def team(name: str, key: int) -> dict:
    return {("teams", name): {"key_sha256": f"{key:064x}", "classes": []}}


class TestChangeLog:
    def test_change_reaches_everyone_when_the_platform_is_cut_off_after_the_accept(self):
        """Guards against a change that only the table's readers would learn."""

        async def run() -> None:
            LossyPeers.random, LossyPeers.loss = random.Random(2), 0.5
            fleet = Fleet(9)
            await fleet.tick(1)
            await fleet.instances["i0"].change_log.append(team("p", 1))
            fleet.table.down = True
            await fleet.tick(9)
            assert fleet.versions() == {1}
            assert fleet.instances["i4"].change_log.find_unconfirmed(2) == tuple(fleet.instances)

        asyncio.run(run())

    def test_start_during_an_outage_waits_for_a_newer_peer(self):
        """Guards against a start that, with one lagging peer, ends ready on the old version."""

        async def run() -> None:
            LossyPeers.loss = 0.0
            fleet = Fleet(2)
            await fleet.tick(1)
            await fleet.instances["i0"].change_log.append(team("p", 1))
            await fleet.tick(1)
            fleet.hub.partition("i0", "i1")
            fleet.table.down = True
            started = fleet.start("late", "a")
            fleet.hub.partition("i0", "late")
            ready = []
            for second in range(10):
                if second == 5:
                    fleet.table.down = False
                    await fleet.instances["i0"].change_log.append(team("p", 2))
                    fleet.table.down = True
                if second == 7:
                    fleet.hub.heal("i0", "late")
                await fleet.tick(1)
                ready.append(started.change_log.ready)
            assert started.change_log.configuration.version == 2
            assert not any(ready[:8]) and ready[-1]

        asyncio.run(run())

    def test_snapshot_and_later_changes_start_an_instance(self):
        """Guards against a start that reads the whole log, and a peer that cannot serve it."""

        async def run() -> None:
            LossyPeers.loss = 0.0
            fleet = Fleet(1)
            old = fleet.instances["i0"]
            for index in range(130):
                await old.change_log.append(team(f"t{index % 7}", index))
                if index % 50 == 0:
                    await old.change_log.step()
            await old.change_log.step()
            for version in range(1, 101):
                del fleet.table.rows[change_key(version)]
            started = fleet.start("new", "b")
            await started.change_log.step()
            assert started.change_log.configuration == old.change_log.configuration
            fleet.table.down = True
            third = fleet.start("third", "c")
            for key in range(1, 120):
                old.change_log._recent.pop(key, None)
            fleet.hub.partition("third", "new")
            await fleet.tick(1)
            assert third.change_log.configuration == old.change_log.configuration

        asyncio.run(run())

    def test_older_snapshot_does_not_revert(self):
        """Guards against an older snapshot, of a peer or a row, that undoes a newer version."""

        async def run() -> None:
            fleet = Fleet(1)
            change_log = fleet.instances["i0"].change_log
            await change_log.append(team("p", 1))
            older = encode_snapshot(change_log.configuration)
            await change_log.append(team("p", 2))
            change_log._apply_snapshot(older)
            assert change_log.configuration.version == 2

        asyncio.run(run())

    def test_gap_in_the_log_is_not_skipped(self):
        """Guards against applying changes after a gap that a lost row or a faulty peer leaves."""

        async def run() -> None:
            fleet = Fleet(1)
            change_log = fleet.instances["i0"].change_log
            await change_log.append(team("p", 1))
            body = encode_delta(Delta(team("q", 2)))
            fleet.table.rows[change_key(3)] = Row(change_key(3), body, 1)
            with pytest.raises(StoreUnavailable):
                await change_log.refresh()
            assert change_log.configuration.version == 1

        asyncio.run(run())

    def test_concurrent_changes_rebase_unless_they_touch_the_same_entry(self):
        """Guards against lost updates, and against refusals of unrelated changes."""

        async def run() -> None:
            LossyPeers.loss = 1.0
            fleet = Fleet(2)
            one, two = (instance.change_log for instance in fleet.instances.values())
            await one.append(team("p", 1), 0)
            assert await two.append(team("q", 2), 0) == 2
            with pytest.raises(Conflict):
                await one.append(team("q", 3), 1)
            await one.refresh()
            assert set(one.configuration.teams) == {"p", "q"}

        asyncio.run(run())

    def test_keys_that_move_between_teams_stay_indexed(self):
        """Guards against an index that loses a key when two teams swap theirs."""
        one, two = "1" * 64, "2" * 64
        first = Configuration(teams={"p": TeamSpec("p", one), "q": TeamSpec("q", two)})
        swapped = Configuration(teams={"p": TeamSpec("p", two), "q": TeamSpec("q", one)})
        old = apply_delta(Configuration(), Delta(diff_configurations(Configuration(), first)), 1)
        new = apply_delta(old, Delta(diff_configurations(old, swapped)), 2)
        assert {key: spec.name for key, spec in new.team_by_key.items()} == {two: "p", one: "q"}


class TestDomains:
    def test_interim_drain_spreads_is_logged_once_and_ends_with_back(self):
        """Guards against drains that need the platform, miss late joiners or outlive `back`."""

        async def run() -> None:
            LossyPeers.random, LossyPeers.loss = random.Random(3), 0.5
            fleet = Fleet(6)
            await fleet.tick(1)
            fleet.table.down = True
            assert await fleet.instances["i0"].domains.take_out("b") is None
            await fleet.tick(3)
            fleet.stop("i0")
            fleet.start("late", "a")
            await fleet.tick(3)
            for instance in fleet.instances.values():
                assert instance.domains.domains_out() == {"b"}
                assert instance.domains.interim_domains() == {"b"}
            stale = fleet.instances["i5"]
            for name in fleet.instances:
                if name != "i5":
                    fleet.hub.partition(name, "i5")
            stale.change_log._table = FakeTable()
            stale.change_log._table.down = True
            fleet.table.down = False
            await fleet.tick(9)
            late = fleet.instances["late"]
            assert late.change_log.configuration.domains_out == {"b"}
            assert len(fleet.table.rows) == 1
            await late.domains.bring_back("b")
            for name in fleet.instances:
                if name != "i5":
                    fleet.hub.heal(name, "i5")
            await fleet.tick(9)
            for instance in fleet.instances.values():
                assert instance.domains.domains_out() == frozenset()
                assert instance.domains._interim == {}

        asyncio.run(run())

    def test_withdrawn_drain_stays_withdrawn(self):
        """Guards against a peer that spreads a drain again after it was withdrawn."""

        async def run() -> None:
            LossyPeers.loss = 0.0
            fleet = Fleet(3)
            await fleet.tick(1)
            fleet.table.down = True
            await fleet.instances["i0"].domains.take_out("b")
            await settle()
            await fleet.instances["i1"].domains.bring_back("b")
            await fleet.tick(2)
            outs = {instance.domains.domains_out() for instance in fleet.instances.values()}
            assert outs == {frozenset()}
            fleet.table.down = False
            await fleet.tick(7)
            assert fleet.instances["i2"].change_log.configuration.domains_out == frozenset()
            assert fleet.instances["i2"].domains._interim == {}

        asyncio.run(run())


class TestHalts:
    def test_halt_reaches_an_instance_that_missed_the_message(self):
        """Guards against a halted version that keeps its traffic at one instance."""

        async def run() -> None:
            LossyPeers.loss = 0.0
            fleet = Fleet(3)
            await fleet.tick(1)
            fleet.table.down = True
            LossyPeers.loss = 1.0
            fleet.instances["i0"].halts.halt("m1", "v2", "errors")
            await settle()
            missed = fleet.instances["i2"].halts
            assert not missed.is_halted("m1", "v2")
            LossyPeers.loss = 0.0
            await fleet.tick(1)
            assert missed.is_halted("m1", "v2") and not missed.is_halted("m1", "v1")
            fleet.table.down = False
            await fleet.tick(7)
            assert missed._pending == {}
            restarted = fleet.start("new", "a")
            await restarted.change_log.step()
            assert restarted.halts.is_halted("m1", "v2")

        asyncio.run(run())
