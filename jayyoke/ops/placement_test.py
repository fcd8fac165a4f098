"""Placement by entry and owner over in-process peers."""

from __future__ import annotations

import asyncio

import pytest

from jayyoke.core import registry
from jayyoke.core.clock import ManualClock
from jayyoke.core.config import ClassKind, ClassSpec, TeamSpec
from jayyoke.core.error import PeerUnavailable, Refusal, RunState
from jayyoke.core.member import Member
from jayyoke.core.request import CallerRequest
from jayyoke.ops.dispatch import Dispatch
from jayyoke.ops.loads import Load, Loads
from jayyoke.ops.steward_test import SERVICE, _Directory
from jayyoke.wire.gen.ttypes import Digest, Reserve
from jayyoke.wire.local import LocalHub


class _Fleet:
    def __init__(self, count=3, engines=("e1", "e2", "e3")):
        registry.load_plugins()
        self.clock = ManualClock(100.0)
        self.hub = LocalHub()
        self.nodes = {}
        members = [Member(f"n{index}", "a", 1, "") for index in range(count)]
        peers = [self.hub.join(member) for member in members]
        policy = registry.find_plugin("policy", "owner")()
        for peer in peers:
            node = Dispatch(
                self.clock,
                peer,
                Loads(self.clock),
                _Directory(engines),
                policy,
                frozenset,
                self._sleep,
                1,
            )
            self.nodes[peer.me.name] = node
        for node in self.nodes.values():
            node.loads.reporting_members.update(self.nodes)
            for engine in engines:
                node.steward.confirm(engine, 1, warm=True)

    async def _sleep(self, seconds):
        self.clock.advance(seconds)

    def sum_work(self):
        total = 0
        for node in self.nodes.values():
            total += sum(load.work_tokens for load in node.steward.list_loads().values())
        return total


def _request(chat="c", prompt=50):
    spec = ClassSpec("draft", ClassKind.CHAT, "pool", 30.0)
    return CallerRequest(
        "r", TeamSpec("t", ""), spec, SERVICE, 100.0, 130.0, chat=chat, prompt_tokens=prompt
    )


class TestPlace:
    def test_returning_chat_goes_to_its_engine_from_any_entry(self):
        """Guards against owners that differ by entry instance."""

        async def run():
            fleet = _Fleet()
            names = set()
            for node in fleet.nodes.values():
                placement = await node.placer.place(_request())
                names.add(placement.upstream.name)
                node.placer.release(_request(), placement)
                node.placer.send_releases()
                await asyncio.sleep(0)
                await asyncio.sleep(0)
            assert len(names) == 1
            assert fleet.sum_work() == 0

        asyncio.run(run())

    def test_entry_places_while_its_owner_is_cut_off(self):
        """Guards against requests that fail with a partition between entry and owner."""

        async def run():
            fleet = _Fleet()
            fleet.hub.partition("n0", "n1")
            fleet.hub.partition("n0", "n2")
            node = fleet.nodes["n0"]
            node.loads.reporting_members.clear()
            for engine in ("e1", "e2", "e3"):
                node.loads.put(engine, Load(0, 0, 10_000, seen_s=100.0))
            for number in range(3):
                placement = await node.placer.place(_request(f"c{number}"))
                assert placement.upstream.name

        asyncio.run(run())

    def test_overload_is_refused_as_not_run_inside_the_deadline(self):
        """Guards against an endless wait when every engine is at its limit."""

        async def run():
            fleet = _Fleet()
            with pytest.raises(Refusal) as caught:
                for number in range(99):
                    await fleet.nodes["n0"].placer.place(_request(f"c{number}", 4000))
            assert caught.value.code == "overloaded"
            assert caught.value.run_state is RunState.NOT_RUN
            assert caught.value.retry_after_s
            assert fleet.clock.now_s() < 130.0

        asyncio.run(run())

    def test_refusal_names_the_stewards_that_did_not_answer(self):
        """Guards against a refusal that reports full engines while their stewards are cut off."""

        async def run():
            fleet = _Fleet(2, ("e1",))
            steward = fleet.nodes["n0"].placer._stewardship.find_steward("e1")
            entry = "n0" if steward == "n1" else "n1"

            async def answer_nothing(*_):
                raise PeerUnavailable("silent")

            fleet.hub.peers[entry].ask = answer_nothing
            with pytest.raises(Refusal) as caught:
                await fleet.nodes[entry].placer.place(_request("c", 4000))
            assert caught.value.code == "overloaded"
            assert "no steward of e1 answered" in caught.value.detail

        asyncio.run(run())


class TestDigest:
    def test_deltas_reach_a_peer_and_a_restart_is_reported(self):
        """Guards against loads that are lost in deltas, which name engines by index."""
        fleet = _Fleet(2)
        one, other = fleet.nodes["n0"], fleet.nodes["n1"]
        sender = fleet.hub.peers["n0"].me
        for turn in range(3):
            for engine in one.steward.list_loads():
                one.steward.reserve(Reserve(f"r{turn}", engine, 70 + turn, "e", 0, 0, True))
            digest = Digest()
            one.fill_loads(digest)
            other.accept_loads(sender, digest)
        owned = one.steward.list_loads()
        assert owned
        assert len(digest.changes) == 3 * len(owned) and digest.loads is None
        for engine, load in owned.items():
            known = other.loads.find(engine)
            assert (known.requests, known.work_tokens) == (load.requests, load.work_tokens)
            assert (known.limit_tokens, known.state) == (load.limit_tokens, load.state)
        for engine in owned:
            assert other.loads.find(engine).incarnation == 1
            one.steward.confirm(engine, 2)
        digest = Digest()
        one.fill_loads(digest)
        assert set(other.loads.accept_loads(sender, digest)) == set(owned)
