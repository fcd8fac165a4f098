"""Tests of the messages of counts between instances."""

from __future__ import annotations

import asyncio
import random

import pytest
from thrift.TSerialization import deserialize, serialize

from jayyoke.core.error import PeerProtocolError, PeerUnavailable
from jayyoke.duties.truetime import TrueTime
from jayyoke.duties.usagecount import UsageCounter
from jayyoke.edge.countcollector import CountCollector
from jayyoke.edge.countexchange import CountExchange
from jayyoke.edge.countmessage import pack_counts, unpack_counts
from jayyoke.edge.roster import Member
from jayyoke.wire.gen import ttypes

WINDOW_S = 5.0
UNIX_S = 1000.0
DOMAINS = ("d0", "d1")


class FakeFleet:
    """Connects the exchanges of processes by their addresses; those in `cut` do not answer."""

    def __init__(self) -> None:
        self.now_s = 1.0
        self.exchanges: dict[str, CountExchange] = {}
        self.counters: dict[str, UsageCounter] = {}
        self.cut: set[str] = set()
        self.sent_bytes = 0
        self.collector: CountCollector | None = None
        for domain in DOMAINS:
            for number in range(4):
                self.start(f"{domain}-{number}", domain)

    def start(self, name: str, domain: str, incarnation: str = "1") -> None:
        """Start a process, in place of an earlier one of its name."""
        counter = UsageCounter(WINDOW_S)
        true_time = TrueTime(UNIX_S, 0.0)
        source = random.Random(name + incarnation)
        roster = FakeRoster(domain)
        self.counters[name] = counter
        exchange = CountExchange(
            name,
            domain,
            f"{name}@{incarnation}",
            counter,
            true_time,
            self,
            roster,
            lambda: self.now_s,
            source,
        )
        self.exchanges[name] = exchange
        if name == "d0-0":
            self.collector = CountCollector(
                name, exchange, self, roster, true_time, lambda: self.now_s
            )

    async def report(self, peer: str, report: ttypes.CountReport) -> ttypes.CountReceipt:
        """Deliver counts."""
        raw = self._deliver(peer, serialize(report))
        return deserialize(ttypes.CountReceipt(), self.exchanges[peer].answer_report(raw))

    async def query(self, peer: str, query: ttypes.CountQuery) -> ttypes.CountAnswer:
        """Deliver a query."""
        raw = self._deliver(peer, serialize(query))
        return deserialize(ttypes.CountAnswer(), self.exchanges[peer].answer_query(raw))

    async def copy(self, peer: str, copied: ttypes.CountCopy) -> ttypes.CountReceipt:
        """Deliver a copy."""
        raw = self._deliver(peer, serialize(copied))
        return deserialize(ttypes.CountReceipt(), self.exchanges[peer].answer_copy(raw))

    def _deliver(self, peer: str, raw: bytes) -> bytes:
        if peer in self.cut:
            raise PeerUnavailable(peer)
        self.sent_bytes += len(raw)
        return raw

    async def exchange(self, rounds: int = 4) -> None:
        """Let each process send to a follower a few times."""
        for _ in range(rounds):
            self.now_s += 1.0
            for name, exchange in self.exchanges.items():
                followers = FakeRoster(name[:2]).find_followers()
                exchange._turn += 1
                others = [found for found in followers if found.name != name]
                await exchange._send(others[exchange._turn % len(others)])


class FakeRoster:
    """Names the first two instances of each domain its followers."""

    def __init__(self, domain: str):
        self._domain = domain

    def list_followers(self) -> dict[str, list[Member]]:
        """Return the followers of all domains."""
        return {d: [Member(f"{d}-{n}", d, f"{d}-{n}", 0) for n in range(2)] for d in DOMAINS}

    def find_followers(self) -> list[Member]:
        """Return those of the own domain."""
        return self.list_followers()[self._domain]


class TestCounts:
    def test_holder_collects_every_request_once(self):
        """Guards against requests that two followers report, or none."""

        async def main():
            fleet = FakeFleet()
            for number, counter in enumerate(fleet.counters.values()):
                for _ in range(number + 1):
                    counter.add("yard", UNIX_S + 1)
            await fleet.exchange()
            fleet.now_s = 6.0
            await fleet.exchange()
            collected = await fleet.collector.collect(200)
            assert collected.counts == {"yard": 36}
            assert collected.complete

        asyncio.run(main())

    def test_counts_outlive_their_instance_and_one_follower(self):
        """Guards against requests that are not billed since an instance has ended."""

        async def main():
            fleet = FakeFleet()
            fleet.counters["d1-3"].add("yard", UNIX_S + 1)
            fleet.counters["d1-0"].add("dock", UNIX_S + 1)
            await fleet.exchange()
            fleet.cut = {"d1-0", "d1-3"}
            collected = await fleet.collector.collect(200)
            assert collected.counts == {"yard": 1, "dock": 1}

        asyncio.run(main())

    def test_follower_that_started_again_gets_all_counts_again(self):
        """Guards against counts that are lost with the process of a follower."""

        async def main():
            fleet = FakeFleet()
            fleet.counters["d1-3"].add("yard", UNIX_S + 1)
            await fleet.exchange()
            fleet.start("d1-0", "d1", "2")
            fleet.start("d1-1", "d1", "2")
            await fleet.exchange(6)
            collected = await fleet.collector.collect(200)
            assert collected.counts == {"yard": 1}

        asyncio.run(main())

    def test_counts_outlive_their_domain(self):
        """Guards against a window without the requests of a domain that has failed."""

        async def main():
            fleet = FakeFleet()
            for name in ("d1-0", "d1-1", "d1-2"):
                fleet.counters[name].add("yard", UNIX_S + 1)
            await fleet.exchange()
            for _ in range(2):
                for exchange in fleet.exchanges.values():
                    await exchange._copy()
            fleet.counters["d1-2"].add("yard", UNIX_S + 2)
            await fleet.exchange()
            for exchange in fleet.exchanges.values():
                await exchange._copy()
            assert (await fleet.collector.collect(200)).counts == {"yard": 4}
            fleet.cut = {"d1-0", "d1-1", "d1-2", "d1-3"}
            collected = await fleet.collector.collect(200)
            assert collected.counts == {"yard": 4}
            assert collected.missing == ["d1"]

        asyncio.run(main())

    def test_copy_goes_again_to_a_follower_that_started_again(self):
        """Guards against a copy that lacks what the follower before had."""

        async def main():
            fleet = FakeFleet()
            fleet.counters["d1-0"].add("yard", UNIX_S + 1)
            await fleet.exchanges["d1-0"]._copy()
            fleet.start("d0-0", "d0", "2")
            for second in range(2):
                fleet.counters["d1-0"].add("dock", UNIX_S + 2 + second)
                await fleet.exchanges["d1-0"]._copy()
            answer = fleet.exchanges["d0-0"].find_counts(ttypes.CountQuery(200, "d1"))
            assert answer.totals == [3]

        asyncio.run(main())

    def test_domain_that_does_not_answer_is_missing(self):
        """Guards against a report that is taken for complete without a domain."""

        async def main():
            fleet = FakeFleet()
            fleet.cut = {"d1-0", "d1-1"}
            collected = await fleet.collector.collect(200)
            assert collected.missing == ["d1"]
            assert not collected.complete

        asyncio.run(main())

    def test_sources_with_counts_to_send_are_waited_for(self):
        """Guards against a report without the last counts of a window."""

        async def main():
            fleet = FakeFleet()
            await fleet.exchange()
            fleet.now_s = 5.1
            assert (await fleet.collector.collect(200)).pending > 0
            fleet.now_s = 6.0
            await fleet.exchange()
            assert (await fleet.collector.collect(200)).complete

        asyncio.run(main())


class TestMessages:
    def test_unknown_fields_and_unset_ones_are_no_fault(self):
        """Guards against releases that cannot read each other's messages."""
        fleet = FakeFleet()
        exchange = fleet.exchanges["d0-0"]
        report = serialize(ttypes.CountReport("x@1", "d0", None, None, None))
        # The stop byte of the struct is replaced by a field 99 of type i32.
        receipt = exchange.answer_report(report[:-1] + b"\x08\x00\x63\x00\x00\x00\x01\x00")
        assert deserialize(ttypes.CountReceipt(), receipt).incarnation is not None

    @pytest.mark.parametrize("raw", [b"", b"\xff" * 40, serialize(ttypes.CountReport())])
    def test_unreadable_message_is_reported(self, raw):
        """Guards against a process that ends on a malformed message."""
        exchange = FakeFleet().exchanges["d0-0"]
        with pytest.raises(PeerProtocolError):
            exchange.answer_report(raw)
        with pytest.raises(PeerProtocolError):
            exchange.answer_query(raw)

    def test_counts_of_other_lengths_are_reported(self):
        """Guards against counts that are given to other teams."""
        exchange = FakeFleet().exchanges["d0-0"]
        windows = [ttypes.WindowCounts(200, ["a", "b"], [1])]
        raw = serialize(ttypes.CountReport("x@1", "d0", 5, 5, windows))
        with pytest.raises(PeerProtocolError):
            exchange.answer_report(raw)

    def test_packed_counts(self):
        """Guards against counts that differ after their transfer, and against endless ones."""
        counts = {f"team-{number}": number for number in range(3900)}
        assert unpack_counts(pack_counts(1, counts)) == counts
        for packed in (None, b"x", pack_counts(1, counts)[:-9], pack_counts(1, {"a" * 2**21: 1})):
            with pytest.raises(PeerUnavailable):
                unpack_counts(packed)
