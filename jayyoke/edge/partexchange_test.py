"""Tests of what instances tell each other of suspected parts."""

from __future__ import annotations

import asyncio
import random

import pytest

from jayyoke.core.error import PeerProtocolError, PeerUnavailable
from jayyoke.edge.partexchange import (
    MAX_MESSAGE_BYTES,
    PartExchange,
    decode_evidence,
    encode_evidence,
)
from jayyoke.ops.partkeys import MAX_KEY_CHARACTERS
from jayyoke.ops.partmessage import MAX_ADDED, MAX_TOLD, split_evidence, take_batch
from jayyoke.ops.partrecord import MAX_ENDS_PER_PART, EngineEnd, PartEvidence
from jayyoke.ops.quarantine import Quarantine
from jayyoke.utils.boottime import read_boot_time_s
from jayyoke.utils.task import cancel_tasks


class Fleet:
    """Connects the exchanges of instances; `cut` holds those that nobody reaches."""

    def __init__(self, size: int, domains: int = 1):
        self.cut: set[str] = set()
        self.messages = 0
        self.far_messages = 0
        self.domains = domains
        self.sent_bytes = 0
        self.quarantines: dict[str, Quarantine] = {}
        self.exchanges: dict[str, PartExchange] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}
        for number in range(size):
            self.start(f"i{number}")

    def start(self, name: str) -> None:
        """Start an instance that knows nothing."""

        async def send(peer: str, message: bytes) -> bytes:
            self.messages += 1
            self.far_messages += peer not in list_near()
            self.sent_bytes += len(message)
            if {name, peer} & self.cut:
                raise PeerUnavailable(f"{peer} is cut off")
            return self.exchanges[peer].answer(message)

        def list_peers() -> list[str]:
            return [found for found in self.quarantines if found != name]

        def list_near() -> list[str]:
            domain = int(name[1:]) % self.domains
            return [found for found in list_peers() if int(found[1:]) % self.domains == domain]

        quarantine = Quarantine(read_boot_time_s, name)
        self.quarantines[name] = quarantine
        source = random.Random(name)
        self.exchanges[name] = PartExchange(
            quarantine, send, list_peers, read_boot_time_s, source, list_near
        )

    def run(self) -> None:
        """Run the exchanges that do not run yet."""
        for name, exchange in self.exchanges.items():
            if name not in self.tasks:
                self.tasks[name] = asyncio.create_task(exchange.run())

    async def restart(self, name: str) -> None:
        """Replace an instance by one that knows nothing."""
        await cancel_tasks([self.tasks.pop(name)])
        self.start(name)
        self.run()

    def end(self, name: str, key: str, engine: str, ago_s: float = 0.0) -> None:
        """Let an instance see that an engine ended."""
        end = EngineEnd(engine, read_boot_time_s() - ago_s)
        self.quarantines[name].record_end([key], end)

    def count_quarantined(self, key: str) -> int:
        """Return how many instances keep a part from engines."""
        return sum(key in found.list_quarantined() for found in self.quarantines.values())

    async def wait_until(self, condition) -> None:
        """Wait until a condition holds."""
        async with asyncio.timeout(20):
            while not condition():
                await asyncio.sleep(0.02)

    async def close(self) -> None:
        """Stop all exchanges."""
        await cancel_tasks(self.tasks.values())


def run_fleet(size: int, test, domains: int = 1) -> None:
    """Run a test with a fleet of this size."""

    async def main() -> None:
        fleet = Fleet(size, domains)
        fleet.run()
        await asyncio.sleep(0.1)
        try:
            await test(fleet)
        finally:
            await fleet.close()

    asyncio.run(main())


class TestExchange:
    """Tests how evidence spreads."""

    @pytest.mark.parametrize("size", [2, 6, 60])
    def test_ends_seen_at_different_instances_reach_all(self, size):
        """Guards against a part that each instance has to learn by an end of its own."""

        async def test(fleet: Fleet) -> None:
            fleet.end("i0", "p", "e1", ago_s=0.5)
            fleet.end("i1", "p", "e2")
            await fleet.wait_until(lambda: fleet.count_quarantined("p") == size)

        run_fleet(size, test)

    def test_restarted_instance_asks(self):
        """Guards against an instance that ends engines since it has just started."""

        async def test(fleet: Fleet) -> None:
            fleet.end("i0", "p", "e1", ago_s=0.5)
            fleet.end("i0", "p", "e2")
            await fleet.wait_until(lambda: fleet.count_quarantined("p") == 4)
            await fleet.restart("i3")
            await fleet.wait_until(lambda: fleet.count_quarantined("p") == 4)

        run_fleet(4, test)

    def test_instance_that_was_cut_off_learns(self):
        """Guards against an instance that missed the news for good."""

        async def test(fleet: Fleet) -> None:
            fleet.cut.add("i2")
            fleet.end("i0", "p", "e1", ago_s=0.5)
            fleet.end("i0", "p", "e2")
            await fleet.wait_until(lambda: fleet.count_quarantined("p") == 3)
            fleet.cut.clear()
            await fleet.wait_until(lambda: fleet.count_quarantined("p") == 4)

        run_fleet(4, test)

    def test_answer_on_a_part_reaches_all(self):
        """Guards against a part that stays refused at the others after it was mended."""

        async def test(fleet: Fleet) -> None:
            fleet.end("i0", "p", "e1", ago_s=0.5)
            fleet.end("i0", "p", "e2")
            await fleet.wait_until(lambda: fleet.count_quarantined("p") == 6)
            fleet.quarantines["i4"].record_good(["p"])
            await fleet.wait_until(lambda: fleet.count_quarantined("p") == 0)

        run_fleet(6, test)

    def test_instance_that_had_an_answer_says_so(self):
        """Guards against a part that is sound at the instance that its session uses."""

        async def test(fleet: Fleet) -> None:
            fleet.quarantines["i1"].record_good(["session"])
            await asyncio.sleep(0.05)
            fleet.end("i0", "session", "e1")
            await asyncio.sleep(0.15)
            fleet.end("i0", "session", "e2")
            await fleet.wait_until(
                lambda: fleet.quarantines["i0"].describe("session").good_s is not None
            )
            assert fleet.count_quarantined("session") == 0

        run_fleet(3, test)

    def test_answer_to_news_holds_few_other_parts(self):
        """Guards against messages that each bring all suspects of a crash."""
        fleet = Fleet(2)
        for number in range(200):
            fleet.end("i0", f"pool/{number}", "e")

        def count(told: list[PartEvidence]) -> int:
            now_s = read_boot_time_s()
            answer = fleet.exchanges["i0"].answer(encode_evidence(told, now_s))
            return len(decode_evidence(answer, now_s))

        end = EngineEnd("other", read_boot_time_s() - 1.0)
        assert count([PartEvidence("pool/new", (end,))]) <= MAX_ADDED + 1
        # An instance that has just started asks for all that a message holds.
        assert count([]) > 4 * MAX_ADDED

    def test_crash_of_several_engines_is_told_in_few_messages(self):
        """Guards against links and processors that are busy with the ends of a mass crash."""

        async def test(fleet: Fleet) -> None:
            source = random.Random(1)
            began_s = read_boot_time_s()
            for step in range(40):
                for _ in range(8):
                    fleet.end(
                        f"i{source.randrange(60)}", f"p{source.randrange(160)}", f"e{step % 9}"
                    )
                await asyncio.sleep(0.025)
            fleet.end("i0", "deadly", "e1", ago_s=0.5)
            fleet.end("i7", "deadly", "e2")
            await fleet.wait_until(lambda: fleet.count_quarantined("deadly") == 60)
            # Two tellings a second, each of at most two messages for four instances.
            elapsed_s = max(1.0, read_boot_time_s() - began_s)
            assert fleet.messages < 60 * 24 * elapsed_s
            assert fleet.far_messages < 0.4 * fleet.messages

        run_fleet(60, test, domains=3)

    def test_quarantined_part_does_not_wait_for_other_news(self):
        """Guards against requests that end engines while their part is known elsewhere."""

        async def test(fleet: Fleet) -> None:
            exchange = fleet.exchanges["i0"]
            fleet.end("i0", "other", "e0", ago_s=0.5)
            await asyncio.sleep(0.1)
            fleet.end("i0", "deadly", "e1", ago_s=0.5)
            fleet.end("i0", "deadly", "e2")
            await fleet.wait_until(lambda: fleet.count_quarantined("deadly") == 6)
            assert not exchange._news

        exchange_s: list[float] = []
        original = PartExchange._collect_news

        async def collect(self, batch_s: float) -> None:
            exchange_s.append(batch_s)
            await original(self, 60.0 if batch_s > 0.1 else batch_s)

        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(PartExchange, "_collect_news", collect)
            run_fleet(6, test)
        assert max(exchange_s) > 0.1

    def test_nothing_is_sent_without_suspects(self):
        """Guards against control traffic on calm days."""

        async def test(fleet: Fleet) -> None:
            at_start = fleet.messages
            for quarantine in fleet.quarantines.values():
                quarantine.record_good(["a", "b"])
            await asyncio.sleep(2.5)
            assert fleet.messages == at_start

        run_fleet(6, test)


class TestMessage:
    """Tests the encoding of evidence."""

    def test_evidence_survives(self):
        """Guards against evidence that changes on its way."""
        told = [
            PartEvidence("pool/p", (EngineEnd("e1", 90.0), EngineEnd("e2", 95.0)), 80.0),
            PartEvidence("pool/q", (), None),
        ]
        assert decode_evidence(encode_evidence(told, 100.0), 100.0) == told

    def test_largest_message_fits(self):
        """Guards against evidence that peers refuse for its size."""
        ends = tuple(EngineEnd("e" * 40 + str(n), float(n)) for n in range(MAX_ENDS_PER_PART))
        told = [
            PartEvidence("k" * (MAX_KEY_CHARACTERS - 4) + f"{n:04}", ends, 1.0)
            for n in range(3 * MAX_TOLD)
        ]
        batches = list(split_evidence(told))
        for batch in batches:
            message = encode_evidence(batch, 100.0)
            assert len(message) <= MAX_MESSAGE_BYTES
            assert len(decode_evidence(message, 100.0)) == len(batch)
        assert [found for batch in batches for found in batch] == told
        assert take_batch(told) == batches[0]

    @pytest.mark.parametrize("message", [b"", b"\x00", b"{}", b"\xff" * 100, b"\x82" * 50])
    def test_unreadable_message_is_refused(self, message):
        """Guards against a process that ends because of what a peer sends."""
        try:
            assert decode_evidence(message, 1.0) == []
        except PeerProtocolError:
            pass

    def test_random_changes_end_no_process(self):
        """Guards against errors that the decoder does not expect."""
        source = random.Random(1)
        ends = (EngineEnd("e1", 90.0), EngineEnd("e2", 95.0))
        sound = encode_evidence([PartEvidence("pool/p", ends, 80.0)], 100.0)
        for _ in range(3000):
            message = bytearray(sound)
            for _ in range(source.randint(1, 4)):
                message[source.randrange(len(message))] = source.randrange(256)
            try:
                decode_evidence(bytes(message), 100.0)
            except PeerProtocolError:
                continue

    def test_odd_entry_costs_that_entry_alone(self):
        """Guards against one odd part that hides the others."""
        good = PartEvidence("p", (EngineEnd("e1", 90.0),), None)
        odd = [
            PartEvidence("", (EngineEnd("e1", 90.0),), None),
            PartEvidence("k" * 4000, (EngineEnd("e1", 90.0),), None),
        ]
        assert decode_evidence(encode_evidence([*odd, good], 100.0), 100.0) == [good]
