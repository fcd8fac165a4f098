"""Tests of owners and entries when messages are lost, late or out of order."""

from __future__ import annotations

import asyncio
import math
from collections import Counter

from jayyoke.core.error import PeerUnavailable
from jayyoke.ops.account import MAX_RESERVATION_AGE_S
from jayyoke.ops.loads import Load
from jayyoke.ops.placement import HOLDINGS_INTERVAL_S
from jayyoke.ops.placement_test import _Fleet, _request
from jayyoke.ops.steward_test import SERVICE
from jayyoke.wire.gen.ttypes import Ask, Release, Reserve

MEMBERS = 3


def _ask(request_id="r1"):
    return Ask(request_id, "pool", 7, 50, 0, "t", 0, [])


async def _settle():
    for _ in range(4):
        await asyncio.sleep(0)


def _drop_answers(fleet, message_type):
    """Let every instance fail to answer one type of message."""

    async def fail(sender, message):
        raise TimeoutError

    for peers in fleet.hub.peers.values():
        peers.handlers[message_type] = fail


class TestAbandoned:
    def test_decision_before_the_message_is_released(self):
        """Guards against work that stays reserved after the entry decided by itself."""

        async def run():
            fleet = _Fleet()
            owner = fleet.nodes["n1"].owner
            assert (await owner.answer("n0", _ask())).upstream
            assert fleet.sum_work() == 50
            owner.abandon("n0", "r1")
            await _settle()
            assert fleet.sum_work() == 0

        asyncio.run(run())

    def test_message_before_the_decision_releases_it_too(self):
        """Guards against an Abandoned message that arrives before its Ask."""

        async def run():
            fleet = _Fleet()
            owner = fleet.nodes["n1"].owner
            owner.abandon("n0", "r1")
            await owner.answer("n0", _ask())
            await _settle()
            assert fleet.sum_work() == 0
            await owner.answer("n0", _ask("r2"))
            await _settle()
            assert fleet.sum_work() == 50

        asyncio.run(run())


class TestStewardUnreachable:
    def _place(self, limit_tokens, count=20):
        async def run():
            fleet = _Fleet()
            for peers in fleet.hub.peers.values():
                del peers.handlers[Reserve]
            node = fleet.nodes["n0"]
            node.owner.reserve_here = None
            for engine in ("e1", "e2", "e3"):
                load = Load(2, 100, limit_tokens, seen_s=fleet.clock.now_s())
                node.loads.put(engine, load)
            choices = [await node.owner.decide("n0", _ask(str(n))) for n in range(count)]
            return [choice.upstream for choice in choices]

        return asyncio.run(run())

    def test_warming_engine_gets_its_share_of_cold_work(self):
        """Guards against cold engines that each member fills for itself (P2)."""
        placed = Counter(name for name in self._place(SERVICE.full_work_tokens - 1, 500) if name)
        assert placed
        for count in placed.values():
            assert count * 50 * MEMBERS <= SERVICE.cold_work_tokens - 100
        assert not any(self._place(100))

    def test_warm_engines_are_used_evenly_within_the_bound(self):
        """Guards against both no service and a broken bound without stewards (P1)."""
        placed = self._place(SERVICE.full_work_tokens)
        assert all(placed)
        bound = math.ceil(SERVICE.load_bound * len(placed) / 3)
        assert max(Counter(placed).values()) <= bound

    def test_members_together_stay_within_the_limit_of_an_engine(self):
        """Guards against members that each fill the rest of an engine's limit (P1, P2)."""
        placed = Counter(name for name in self._place(SERVICE.full_work_tokens, 2000) if name)
        free_tokens = SERVICE.full_work_tokens - 100
        for count in placed.values():
            # A member without recent admissions on the engine always admits one request.
            assert (count - 1) * 50 * 3 <= free_tokens


class TestSlowSteward:
    def test_work_admitted_without_a_slow_steward_counts_there(self):
        """Guards against a steward that admits up to the bound on top of such work (P1)."""

        async def run():
            fleet = _Fleet(engines=("e1",))
            node = fleet.nodes["n0"]
            node.owner.reserve_here = None
            nodes = fleet.nodes.values()
            steward = next(other.steward for other in nodes if other.steward.owns("e1"))
            node.loads.put("e1", Load(0, 0, SERVICE.full_work_tokens, seen_s=fleet.clock.now_s()))
            asked = node.owner._peers.ask

            async def miss(instance, message, timeout_s):
                raise PeerUnavailable("no answer in time")

            node.owner._peers.ask = miss
            assert (await node.owner.decide("n0", _ask())).upstream == "e1"
            node.owner._peers.ask = asked
            await _settle()
            assert steward.list_loads()["e1"].work_tokens == 50

        asyncio.run(run())


class TestLostRelease:
    def _lose_release(self, request_ids, kept, wait_s):
        async def run():
            fleet = _Fleet(engines=("e1",))
            placer = fleet.nodes["n0"].placer
            placements = []
            for name in request_ids:
                placements.append(await placer.place(_request(name)))
            handlers = {}
            for name, peers in fleet.hub.peers.items():
                handlers[name] = peers.handlers.pop(Release)
            for placement in placements[kept:]:
                placer.release(_request(), placement)
            placer.send_releases()
            for name, peers in fleet.hub.peers.items():
                peers.handlers[Release] = handlers[name]
            fleet.clock.advance(wait_s)
            placer.send_releases()
            await _settle()
            for node in fleet.nodes.values():
                node.steward.sweep()
            return fleet.sum_work()

        return asyncio.run(run())

    def test_next_holdings_end_the_reservation(self):
        """Guards against capacity lost for longer than one report of the entry."""
        assert self._lose_release(("c1", "c2"), 1, HOLDINGS_INTERVAL_S) == 50

    def test_age_ends_the_last_reservation_of_an_engine(self):
        """Guards against a reservation that no report names, since the entry holds no other."""
        assert self._lose_release(("c1",), 0, MAX_RESERVATION_AGE_S) == 0


class TestLocalPeers:
    def test_late_answer_is_an_unavailable_peer(self):
        """Guards against tests that see another error than the one the interface promises."""

        async def run():
            fleet = _Fleet()
            _drop_answers(fleet, Ask)
            try:
                await fleet.hub.peers["n0"].ask("n1", _ask(), 1.0)
            except PeerUnavailable as error:
                return error
            raise AssertionError("no error")

        assert "n1" in str(asyncio.run(run()))
