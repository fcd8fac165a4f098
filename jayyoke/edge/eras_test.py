"""Tests of views whose store comes back from an older copy, and of relaying between eras."""

from __future__ import annotations

import asyncio
import json
import random
from types import SimpleNamespace

import pytest
from thrift.TSerialization import deserialize, serialize

from jayyoke.core.route import MoveState, MoveStatus
from jayyoke.edge.canary import split_versions
from jayyoke.edge.follow import PeerFollower
from jayyoke.edge.limitexchange import LimitExchange
from jayyoke.edge.loadexchange import LoadExchange
from jayyoke.edge.relay import RelayServer, decode_peer_answer, encode_fetch_request
from jayyoke.edge.storeclock import StoreClock
from jayyoke.edge.storeera import StoreEra
from jayyoke.edge.view import FleetView
from jayyoke.eras.fact import RESTORE_S
from jayyoke.ops.requestlimit import RequestLimits
from jayyoke.platform.decode import encode_move_status
from jayyoke.platform.table import Row
from jayyoke.wire.gen import ttypes

ORDER = {"backend": "desk", "to": "v2", "durationS": 10.0}


def build_upstream(key: str, version: int, state: str = "ready", born: int = 1) -> Row:
    body = {"backend": "p", "address": "10.0.0.1:80", "az": "a", "state": state, "born": born}
    return build_row(key, version, body)


def build_row(key: str, version: int, body: object) -> Row:
    return Row(key, json.dumps(body).encode(), version)


def build_config(version: int, revision: int) -> Row:
    return build_row("config", revision, {"version": version, "routes": [], "backends": []})


def build_status(state: MoveState, order: int, row_version: int, version: str = "v2") -> Row:
    status = MoveStatus("desk", version, state, order, 0)
    return Row("rollout/desk", encode_move_status(status), row_version)


class Peer:
    """Holds an instance's view, and asks other instances without a network."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.view = FleetView(lambda: self.now_s)
        self.era = StoreEra()
        self.loads = LoadExchange(lambda: self.now_s, lambda load: None)
        self.limits = LimitExchange(RequestLimits("i", lambda: ["i"], self.read_s, self.read_s))
        self.server = RelayServer(self.view, self.loads, self.limits, self.era)
        self.asked: list[ttypes.FetchedTables] = []
        self.target: Peer | None = None
        self.previous_release = False
        self.follower = PeerFollower(
            self.view,
            None,  # type: ignore[arg-type]
            self,  # type: ignore[arg-type]
            SimpleNamespace(build_row=lambda: Row("asker", b"{}", 0)),  # type: ignore[arg-type]
            list,
            random.Random(1),
            1e6,
            self.loads,
            self.limits,
            self.era,
        )

    def read_s(self) -> float:
        """Return the time."""
        return self.now_s

    async def fetch(self, peer, known, wait_s, loads, limits, eras, sent, own, member):
        """Ask the target as RelayClient does."""
        if self.target.previous_release:
            eras = sent = own = None
        request = encode_fetch_request(known, 0.0, loads, self.now_s, limits, eras, sent, own)
        body = await self.target.server.answer(request)
        answer = deserialize(ttypes.FetchedTables(), body)
        if self.target.previous_release:
            for table in answer.tables:
                table.era = table.base = table.kept = table.kept_digest = None
        self.asked.append(answer)
        return decode_peer_answer(peer, serialize(answer), self.now_s)

    def ask(self, target: Peer) -> None:
        """Merge the target's answer."""
        self.target = target
        assert asyncio.run(self.follower._ask("peer", 0.4))

    def read(self, table: str, rows: list[Row], revision: int, era: int, whole: bool = True):
        """Merge rows as if the store had sent them."""
        self.era.update(era)
        self.view.merge(
            table,
            rows,
            (),
            revision,
            whole=whole,
            confirmed_s=self.now_s,
            source="store",
            era=era,
        )

    def remove(self, table: str, key: str, revision: int, era: int) -> None:
        self.view.merge(
            table,
            (),
            [Row(key, b"", revision)],
            revision,
            whole=False,
            confirmed_s=self.now_s,
            source="store",
            era=era,
        )

    def list_live(self) -> list[str]:
        return [found.name for found in self.view.by_service.get("p", ())]


class TestOrder:
    def test_newer_era_replaces_rows_of_higher_revisions(self):
        """Guards against a copy that stays at the revisions which the store has lost."""
        peer = Peer()
        peer.read("servers", [build_upstream("u1", 90)], 100, 1)
        peer.read("servers", [build_upstream("u1", 60), build_upstream("u2", 61)], 70, 2)
        assert peer.view.tables["servers"].revision == 70
        assert peer.list_live() == ["u1", "u2"]

    def test_answers_of_an_older_era_change_nothing(self):
        """Guards against a late answer, or a peer on the older era, that brings rows back."""
        peer = Peer()
        peer.read("op", [build_config(1, 5)], 70, 2)
        peer.read("op", [build_row("evacuate/a", 90, {})], 100, 1, whole=False)
        peer.read("op", [build_row("evacuate/a", 90, {})], 100, 1)
        assert not peer.view.evacuated
        assert peer.view.tables["op"].revision == 70

    def test_changes_of_a_newer_era_wait_for_its_table(self):
        """Guards against changes that are merged into the rows of another era."""
        peer = Peer()
        peer.read("op", [build_config(1, 5)], 70, 1)
        peer.read("op", [build_row("evacuate/a", 90, {})], 100, 2, whole=False)
        assert peer.view.tables["op"].era == 1
        assert not peer.view.evacuated

    def test_late_answer_of_an_older_era_does_not_set_the_clock(self):
        """Guards against members that count as dead by the clock before the store's return."""
        clock = StoreClock(lambda: 50.0)
        clock.update(9_000, 50.0, 2)
        clock.update(90_000, 50.0, 1)
        assert clock.read_ms() == 9_000


class TestUpstreams:
    def test_gone_upstream_stays_gone_until_its_entry_is_written_again(self):
        """Guards against requests to an upstream that has left, through two eras in a row."""
        peer = Peer()
        peer.read("servers", [build_upstream("u1", 90), build_upstream("u2", 91)], 100, 1)
        peer.remove("servers", "u1", 101, 1)
        for era in (2, 3):
            peer.read("servers", [build_upstream("u1", 60), build_upstream("u2", 61)], 70, era)
            assert peer.list_live() == ["u2"]
        peer.now_s += 10 * RESTORE_S
        peer.read("servers", [], 71, 3, whole=False)
        assert peer.list_live() == ["u2"]
        peer.read("servers", [build_upstream("u1", 72)], 72, 3, whole=False)
        assert peer.list_live() == ["u1", "u2"]

    def test_leaving_upstream_stays_leaving(self):
        """Guards against requests to an upstream that drains."""
        peer = Peer()
        peer.read("servers", [build_upstream("u1", 90, "draining")], 100, 1)
        peer.read("servers", [build_upstream("u1", 60)], 70, 2)
        assert peer.list_live() == []
        assert "u1" in peer.view.upstreams

    def test_restarted_upstream_keeps_its_newer_entry(self):
        """Guards against requests to the address of an upstream's ended predecessor."""
        peer = Peer()
        peer.read("servers", [build_upstream("u1", 90, born=2)], 100, 1)
        peer.read("servers", [build_upstream("u1", 60, born=1)], 70, 2)
        assert peer.view.upstreams["u1"].started_ms == 2

    def test_unlisted_upstream_is_dropped_after_some_time(self):
        """Guards against an upstream that ended during the store's absence and is kept for good."""
        peer = Peer()
        peer.read("servers", [build_upstream("u1", 90)], 100, 1)
        peer.read("servers", [], 70, 2)
        assert peer.list_live() == ["u1"]
        for _ in range(int(RESTORE_S) + 1):
            peer.now_s += 1.0
            peer.read("servers", [], 71, 2, whole=False)
        assert peer.list_live() == []


class TestOperatorRows:
    def test_configuration_never_goes_back(self):
        """Guards against a removed route or key that the copy brings back."""
        peer = Peer()
        peer.read("op", [build_config(7, 90)], 100, 1)
        peer.read("op", [build_config(5, 40)], 70, 2)
        peer.read("op", [build_config(6, 71)], 71, 2, whole=False)
        assert peer.view.config.version == 7
        assert peer.view.tables["op"].kept
        peer.read("op", [build_config(7, 72)], 72, 2, whole=False)
        assert not peer.view.tables["op"].kept

    def test_evacuation_ends_with_its_removal_in_the_new_era(self):
        """Guards against an evacuation that ends by the copy, or never."""
        peer = Peer()
        peer.read("op", [build_row("evacuate/a", 90, {})], 100, 1)
        peer.read("op", [], 70, 2)
        peer.now_s += 10 * RESTORE_S
        peer.read("op", [], 71, 2, whole=False)
        assert peer.view.evacuated == {"a"}
        peer.remove("op", "evacuate/a", 72, 2)
        assert not peer.view.evacuated

    def test_withdrawn_evacuation_may_be_withdrawn_again(self):
        """Guards against a domain that is evacuated again because the copy is older."""
        peer = Peer()
        peer.read("op", [build_row("evacuate/a", 60, {})], 90, 1)
        peer.remove("op", "evacuate/a", 91, 1)
        peer.read("op", [build_row("evacuate/a", 60, {})], 70, 2)
        assert not peer.view.evacuated
        peer.now_s += RESTORE_S + 0.1
        peer.read("op", [], 71, 2, whole=False)
        assert peer.view.evacuated == {"a"}

    def test_row_of_a_higher_revision_is_newer(self):
        """Guards against an instance that was cut off and keeps an order older than the copy."""
        peer = Peer()
        peer.read("op", [build_row("rollout/desk", 40, ORDER)], 50, 1)
        later = build_row("rollout/desk", 60, ORDER | {"to": "v3"})
        peer.read("op", [later], 70, 2)
        assert peer.view.orders["desk"].version == "v3"


class TestMoves:
    def build_moved(self, state: MoveState) -> Peer:
        peer = Peer()
        peer.read("op", [build_row("rollout/desk", 90, ORDER)], 100, 1)
        peer.read("status", [build_status(state, 90, 95)], 100, 1)
        return peer

    @pytest.mark.parametrize("state", [MoveState.ROLLED_BACK, MoveState.DONE])
    @pytest.mark.parametrize("status_first", [False, True])
    def test_finished_move_stays_finished_under_the_new_revision(self, state, status_first):
        """Guards against a reverted version that is tried again, through two eras in a row."""
        peer = self.build_moved(state)
        revision = 60
        for era in (2, 3):
            if status_first:
                peer.read("status", [], 55, era)
            peer.read("op", [], 55, era)
            peer.read("status", [], 55, era)
            assert peer.view.statuses["desk"].state is state
            revision += era
            row = build_row("rollout/desk", revision, ORDER)
            peer.read("op", [row], revision, era, whole=False)
            status = peer.view.statuses["desk"]
            assert (status.state, status.order) == (state, revision)

    def test_other_order_with_the_revision_of_a_finished_one_begins_anew(self):
        """Guards against a version that gets all requests untested."""
        peer = self.build_moved(MoveState.DONE)
        other = build_row("rollout/desk", 90, ORDER | {"to": "v3"})
        peer.read("op", [other], 92, 2)
        peer.now_s += 1.0
        other = build_row("rollout/desk", 95, ORDER | {"to": "v3"})
        peer.read("op", [other], 95, 2, whole=False)
        peer.read("status", [build_status(MoveState.DONE, 95, 50)], 95, 2)
        order, status = peer.view.orders["desk"], peer.view.statuses["desk"]
        assert order.version == "v3"
        assert split_versions(order, status, False).share == 0.0

    def test_status_of_a_new_instance_does_not_replace_a_final_one(self):
        """Guards against a new instance that begins a reverted move for all."""
        peer = self.build_moved(MoveState.ROLLED_BACK)
        peer.read("op", [build_row("rollout/desk", 60, ORDER)], 60, 2)
        peer.read("status", [], 60, 2)
        peer.read("status", [build_status(MoveState.ACTIVE, 60, 61)], 61, 2, whole=False)
        assert peer.view.statuses["desk"].state is MoveState.ROLLED_BACK
        assert "rollout/desk" in peer.view.tables["status"].kept
        peer.read("status", [build_status(MoveState.ROLLED_BACK, 60, 62)], 62, 2, whole=False)
        assert not peer.view.tables["status"].kept

    def test_repeated_order_of_the_new_era_begins_anew(self):
        """Guards against an order that can never be repeated."""
        peer = self.build_moved(MoveState.ROLLED_BACK)
        peer.read("op", [], 60, 2)
        for revision in (61, 62):
            row = build_row("rollout/desk", revision, ORDER)
            peer.read("op", [row], revision, 2, whole=False)
        order, status = peer.view.orders["desk"], peer.view.statuses["desk"]
        assert (order.revision, status.order) == (62, 61)


class TestRelay:
    def build_pair(self) -> tuple[Peer, Peer]:
        """Return an instance on the newer era and one on the older."""
        new, old = Peer(), Peer()
        for peer in (new, old):
            peer.read("op", [build_config(7, 90), build_row("evacuate/a", 91, {})], 100, 1)
            peer.read("servers", [build_upstream("u1", 90), build_upstream("u2", 91)], 100, 1)
            peer.remove("servers", "u1", 101, 1)
        new.read("op", [build_config(5, 40)], 70, 2)
        new.read("servers", [build_upstream("u1", 60), build_upstream("u2", 61)], 70, 2)
        return new, old

    def check_in_force(self, peer: Peer) -> None:
        assert peer.view.config.version == 7
        assert peer.view.evacuated == {"a"}
        assert peer.list_live() == ["u2"]

    def test_older_instance_follows_into_the_new_era(self):
        """Guards against an instance that stays on the older era behind its follower."""
        new, old = self.build_pair()
        old.ask(new)
        assert old.view.tables["op"].era == old.era.value == 2
        assert old.view.tables["servers"].revision == 70
        self.check_in_force(old)

    def test_newer_instance_takes_nothing_from_the_older_era(self):
        """Guards against rows that alternate between two eras, and against false confirmation."""
        new, old = self.build_pair()
        new.now_s = old.now_s = 105.0
        new.ask(old)
        assert new.view.tables["op"].era == 2
        assert new.view.tables["op"].confirmed_s == 100.0
        assert new.follower._relayed_s == float("-inf")
        assert old.era.value == 2
        self.check_in_force(new)

    def test_instance_started_in_the_new_era_learns_what_is_kept(self):
        """Guards against a new instance that accepts what the copy brings back."""
        new, _ = self.build_pair()
        started = Peer()
        started.read("op", [build_config(5, 40)], 70, 2)
        started.read("servers", [build_upstream("u1", 60), build_upstream("u2", 61)], 70, 2)
        started.ask(new)
        self.check_in_force(started)

    def test_kept_rows_are_sent_once(self):
        """Guards against a kept configuration that fills the links until it is written again."""
        new, old = self.build_pair()
        for _ in range(3):
            old.ask(new)
        sent = [any(table.kept for table in answer.tables) for answer in old.asked]
        assert sent == [True, False, False]

    @pytest.mark.parametrize("own_read", [False, True])
    def test_what_was_written_again_is_not_kept_by_a_late_instance(self, own_read):
        """Guards against an instance that keeps for good what others saw being replaced."""
        new, old = self.build_pair()
        old.read("op", [build_row("rollout/desk", 102, ORDER)], 102, 1, whole=False)
        third = build_row("rollout/desk", 72, ORDER | {"to": "v3"})
        row = build_row("evacuate/a", 71, {})
        new.read("op", [build_config(7, 71), row, third], 72, 2, whole=False)
        new.remove("op", "evacuate/a", 73, 2)
        if own_read:
            old.read("op", [build_config(7, 71), third], 73, 2)
            assert old.view.evacuated == {"a"}
        old.ask(new)
        assert not old.view.evacuated
        assert old.view.orders["desk"].version == "v3"
        assert not old.view.tables["op"].kept

    def test_removal_before_the_return_reaches_an_instance_that_missed_it(self):
        """Guards against an instance that was cut off and keeps an evacuation for good."""
        new, late = Peer(), Peer()
        for peer in (new, late):
            peer.read("op", [build_config(7, 40), build_row("evacuate/a", 60, {})], 61, 1)
        new.remove("op", "evacuate/a", 62, 1)
        for peer in (new, late):
            peer.read("op", [build_config(7, 40)], 70, 2)
        assert late.view.evacuated == {"a"}
        late.ask(new)
        assert not late.view.evacuated

    def test_calm_messages_hold_no_new_fields_without_eras(self):
        """Guards against bytes and behaviour that only a store with eras needs."""
        one, two = Peer(), Peer()
        one.read("op", [build_config(7, 90)], 100, 0)
        two.ask(one)
        table = two.asked[0].tables[0]
        assert (table.era, table.base, table.kept, table.kept_digest) == (None,) * 4
        assert two.view.config.version == 7

    @pytest.mark.parametrize("risen", [False, True])
    def test_peer_of_the_previous_release_counts_until_the_era_rises(self, risen):
        """Guards against rows of a peer that does not notice the store's return."""
        asker, old = Peer(), Peer()
        old.previous_release = True
        old.read("op", [build_config(9, 90)], 100, 0)
        asker.read("op", [build_config(5, 40)], 70, 1)
        if risen:
            asker.read("op", [build_config(5, 40)], 70, 2)
        asker.ask(old)
        assert asker.view.config.version == (5 if risen else 9)
        assert (asker.follower._relayed_s > 0) is False
