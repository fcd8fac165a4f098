"""Chats whose home domain is in another placement group, over in-process peers."""

from __future__ import annotations

import asyncio
import collections

from jayyoke.core import registry
from jayyoke.core.clock import ManualClock
from jayyoke.core.member import Member
from jayyoke.core.upstream import Upstream
from jayyoke.ops.digest import strip_loads
from jayyoke.ops.dispatch import Dispatch
from jayyoke.ops.homedomain import STEPS_PER_DOUBLING, choose_step
from jayyoke.ops.loads import Loads
from jayyoke.ops.placement_test import _request
from jayyoke.ops.rendezvous import choose
from jayyoke.ops.steward_test import _Directory
from jayyoke.wire.gen.ttypes import Ask, Digest
from jayyoke.wire.local import LocalHub

DOMAINS = ("a", "b")


class _Region:
    """Holds two groups of three instances with four engines each."""

    def __init__(self):
        registry.load_plugins()
        self.clock = ManualClock(100.0)
        self.hub = LocalHub(by_domain=True)
        self.nodes = {}
        self.directory = _Directory(())
        for domain in DOMAINS:
            for number in range(4):
                name = f"{domain}-e{number}"
                self.directory.upstreams[name] = Upstream(name, "pool", domain, name)
        members = [Member(f"{domain}{n}", domain, 1, "") for domain in DOMAINS for n in range(3)]
        peers = [self.hub.join(member) for member in members]
        policy = registry.find_plugin("policy", "owner")()
        for peer in peers:
            loads = Loads(self.clock)
            loads.reporting_members.update(self.hub.peers)
            node = Dispatch(
                self.clock, peer, loads, self.directory, policy, frozenset, self._sleep, 1
            )
            node.home_domains.list_services = lambda: ["pool"]
            self.nodes[peer.me.name] = node
        for node in self.nodes.values():
            for engine in self.directory.upstreams:
                node.steward.confirm(engine, 1, warm=True)
        self.exchange_digests()

    async def _sleep(self, seconds):
        self.clock.advance(seconds)

    def exchange_digests(self):
        for name, node in self.nodes.items():
            digest = Digest()
            node.home_domains.fill_digest(digest)
            for other, receiver in self.nodes.items():
                # Instances of other domains get the short digest.
                if other[0] != name[0]:
                    receiver.home_domains.accept_digest(
                        self.hub.peers[name].me, strip_loads(digest)
                    )

    def sum_work(self):
        total = 0
        for node in self.nodes.values():
            total += sum(load.work_tokens for load in node.steward.list_loads().values())
        return total


async def _settle():
    for _ in range(6):
        await asyncio.sleep(0)


class TestHome:
    def test_chat_goes_to_one_engine_from_every_domain(self):
        """Guards against a chat whose cache is built in each domain through which it enters."""

        async def run():
            region = _Region()
            domains = collections.Counter()
            for number in range(12):
                request = _request(f"chat-{number}")
                used = set()
                for node in region.nodes.values():
                    placement = await node.placer.place(request)
                    used.add(placement.upstream)
                    node.placer.release(request, placement)
                    node.placer.send_releases()
                    await _settle()
                assert len(used) == 1
                domains[used.pop().domain] += 1
            assert set(domains) == set(DOMAINS)
            assert region.sum_work() == 0

        asyncio.run(run())

    def test_engine_has_one_steward_in_its_own_domain(self):
        """Guards against two groups that both admit work to one engine."""
        region = _Region()
        for engine, upstream in region.directory.upstreams.items():
            owners = [name for name, node in region.nodes.items() if node.steward.owns(engine)]
            assert len(owners) == 1
            assert region.hub.peers[owners[0]].me.domain == upstream.domain

    def test_unreachable_home_falls_back_to_the_own_domain(self):
        """Guards against requests that fail while another domain is cut off."""

        async def run():
            region = _Region()
            for left in region.nodes:
                for right in region.nodes:
                    if left[0] == "a" and right[0] == "b":
                        region.hub.partition(left, right)
            for number in range(12):
                placement = await region.nodes["a0"].placer.place(_request(f"chat-{number}"))
                assert placement.upstream.domain == "a"

        asyncio.run(run())

    def test_owner_that_does_not_answer_its_link_leaves_no_reservation(self):
        """Guards against work that stays reserved in a home domain whose owner gives no answer."""

        async def run():
            region = _Region()
            for name in ("b0", "b1", "b2"):

                async def fail(sender, ask, name=name):
                    await region.nodes[name].owner.answer(ask.entry or sender.name, ask)
                    raise TimeoutError

                region.hub.peers[name].handlers[Ask] = fail
            entry = region.nodes["a0"].placer
            for number in range(8):
                request = _request(f"chat-{number}")
                placement = await entry.place(request)
                assert placement.upstream.domain == "a"
                entry.release(request, placement)
            entry.send_releases()
            await _settle()
            assert region.sum_work() == 0

        asyncio.run(run())


class TestStep:
    def test_small_changes_keep_the_step(self):
        """Guards against weights that change with each engine and move chats needlessly."""
        step = choose_step(48, None)
        assert all(choose_step(engines, step) == step for engines in range(45, 52))
        assert choose_step(96, step) == step + STEPS_PER_DOUBLING
        assert choose_step(0, step) == 0

    def test_few_chats_move_with_one_step(self):
        """Guards against a change of capacity that moves most chats to another home domain."""
        region = _Region()
        homes = region.nodes["a0"].home_domains
        before = {chat: homes.find("pool", str(chat)) for chat in range(2000)}
        homes._domains["b"].steps["pool"] += 1
        moved = [chat for chat, home in before.items() if homes.find("pool", str(chat)) != home]
        # 1 / (1 + 2 ** -0.25) - 1 / 2 = 0.043 of the chats move to the larger domain.
        assert 0 < len(moved) < 2000 * 0.08
        assert all(before[chat] == "" for chat in moved)


class TestOneHop:
    def test_link_forwards_to_the_owner(self):
        """Guards against linked instances of the home domain that each keep a chat memory."""

        async def run():
            region = _Region()
            for number in range(8):
                request = _request(f"chat-{number}")
                await region.nodes["a0"].placer.place(request)
            for name, node in region.nodes.items():
                group = [other for other in region.nodes if other[0] == name[0]]
                for chat in node.owner.cache_locations._entries:
                    assert choose(str(chat), group) == name

        asyncio.run(run())
