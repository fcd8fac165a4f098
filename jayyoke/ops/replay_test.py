"""Tests of the replay of known caches to new owners."""

from __future__ import annotations

import asyncio

from jayyoke.core.clock import ManualClock
from jayyoke.core.member import Member
from jayyoke.ops.rendezvous import choose
from jayyoke.ops.replay import MAX_CHATS_PER_ENGINE, REPLAYED_PER_S, Replay
from jayyoke.wire.gen.ttypes import CacheEvent, CacheEvents
from jayyoke.wire.local import LocalHub


class _Case:
    def __init__(self, chats=200):
        self.clock = ManualClock(0.0)
        self.hub = LocalHub()
        self.received = {}
        for name in ("n0", "n1", "n2"):
            self.join(name)
        peers = self.hub.peers["n0"]
        self.replay = Replay(peers, self.clock)
        members = {member.name: member for member in peers.members()}
        self.owners = {chat: choose(str(chat), members) for chat in range(chats)}
        for chat, owner in self.owners.items():
            self.replay.record("e", CacheEvent(chat, 10 + chat), members[owner])

    def join(self, name, incarnation=1):
        peers = self.hub.join(Member(name, "a", incarnation, ""))

        async def receive(sender, message):
            for event in message.events:
                self.received.setdefault(name, {})[event.chat] = (event.tokens, message.replayed)

        peers.serve(CacheEvents, receive)

    def settle(self):
        async def run():
            for step in range(100):
                self.clock.advance(0.25)
                sent = self.replay.step()
                assert sent <= REPLAYED_PER_S * 0.25
                await asyncio.sleep(0)
                if step and not self.replay.pending:
                    return
            raise AssertionError("the replay does not end")

        asyncio.run(run())


class TestReplay:
    def test_new_owners_receive_each_chat_of_a_lost_owner(self):
        """Guards against memory that stays lost with its owner, and against needless traffic."""
        case = _Case()
        case.hub.leave("n2")
        case.settle()
        received_chats = {chat for received in case.received.values() for chat in received}
        assert received_chats == {chat for chat, owner in case.owners.items() if owner == "n2"}
        for name, received in case.received.items():
            for chat, (tokens, replayed) in received.items():
                assert choose(str(chat), ("n0", "n1")) == name
                assert (tokens, replayed) == (10 + chat, True)

    def test_joining_owner_receives_only_its_chats(self):
        """Guards against a new member that knows nothing of the chats that it owns."""
        case = _Case()
        case.join("n3")
        case.settle()
        names = ("n0", "n1", "n2", "n3")
        expected = {chat for chat in case.owners if choose(str(chat), names) == "n3"}
        assert set(case.received) == {"n3"}
        assert set(case.received["n3"]) == expected

    def test_restarted_owner_receives_its_chats_again(self):
        """Guards against missing a restart that leaves the names of the members unchanged."""
        case = _Case()
        case.join("n2", incarnation=2)
        case.settle()
        assert set(case.received["n2"]) == {c for c, owner in case.owners.items() if owner == "n2"}

    def test_table_is_bounded_and_evicted_chats_leave_it(self):
        """Guards against a table that grows with the chats of the fleet."""
        case = _Case(0)
        me = case.hub.peers["n0"].me
        for chat in range(MAX_CHATS_PER_ENGINE + 9):
            case.replay.record("e", CacheEvent(chat, 1), me)
        assert len(case.replay) == MAX_CHATS_PER_ENGINE
        case.replay.record("e", CacheEvent(99, 0), me)
        assert len(case.replay) == MAX_CHATS_PER_ENGINE - 1
        case.replay.forget("e")
        assert len(case.replay) == 0


class TestLocalHub:
    def test_a_member_that_leaves_is_announced_as_dead(self):
        """Guards against tests of lost members in which nobody is notified of the loss."""
        hub = LocalHub()
        changes = []
        hub.join(Member("n0", "a", 1, "")).changes.subscribe(changes.append)
        hub.join(Member("n1", "a", 1, ""))
        hub.leave("n1")
        assert [change.state.value for change in changes] == ["live", "dead"]
