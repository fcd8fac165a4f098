"""Tests of exchanging loads of engines between instances, without a network."""

from __future__ import annotations

import asyncio
from collections import Counter
from dataclasses import replace

import pytest
from thrift.TSerialization import deserialize, serialize

from jayyoke.core.error import PeerProtocolError
from jayyoke.core.upstream import Upstream
from jayyoke.edge import placedlog
from jayyoke.edge.loadexchange import MAX_KNOWN, LoadExchange, ReportedLoad
from jayyoke.edge.placement import Assignment, Placer
from jayyoke.edge.placement_test import DOMAINS, SERVICE, Clock, build_call, build_placement
from jayyoke.edge.relay import RelayServer
from jayyoke.edge.relaymessage import decode_peer_answer, encode_fetch_request
from jayyoke.edge.view import FleetView
from jayyoke.platform.message import AnswerHead, LoadReport, PromptPart
from jayyoke.wire.gen import ttypes
from jayyoke.wire.gen.ttypes import FetchTables, HeardLoads

ENGINES_PER_DOMAIN = 10
ENGINES = ENGINES_PER_DOMAIN * len(DOMAINS)
REQUESTS = 40
# As the users' engines at a busy hour: the bound is twice the mean plus 3.
MEAN_LOAD = 5
FULL_LOAD = 20
SESSION = 7


def build_answer(requests: int) -> AnswerHead:
    return AnswerHead("r", True, False, LoadReport(requests, 0, 64), None, None, False, False)


async def place_session(clock: Clock, placement: Placer) -> Assignment:
    assignment = await placement.assign(build_call(clock, SESSION), SERVICE, set(), False)
    assert isinstance(assignment, Assignment)
    placement.release(SERVICE, assignment.upstream)
    return assignment


def report_all(placement: Placer, full: str) -> None:
    """Give an instance a report of every engine, of which one is full."""
    for upstream in placement._view.by_service[SERVICE]:
        load = FULL_LOAD if upstream.incarnation == full else MEAN_LOAD
        placement.record_answer_head(upstream, build_answer(load))


def ask(asker: Placer, answering: Placer, clock: Clock) -> None:
    """Let an instance ask another one as it does for the store's rows."""
    now_s = clock.read_s()
    own = asker.load_exchange.list_recent(now_s - 0.4, own_only=True)
    request = encode_fetch_request({}, 1.0, own, now_s)
    server = RelayServer(FleetView(clock.read_s), answering.load_exchange)

    async def answer() -> bytes:
        waiting = asyncio.create_task(server.answer(request))
        await asyncio.sleep(0)
        server._notify_waiting()
        return await waiting

    asker.load_exchange.merge(decode_peer_answer("peer", asyncio.run(answer()), now_s).loads)


class TestHotSession:
    def test_full_home_is_left_by_instances_without_own_reports(self):
        """Guards against a hot session that stays at a full home for lack of own reports.

        One of 64 instances in front of 30 engines gets a report of each engine about every 4 s, and
        a load counts for 3 s.
        """
        clock = Clock()
        asker, follower, other = (build_placement(clock, ENGINES_PER_DOMAIN) for _ in range(3))
        home = asyncio.run(place_session(clock, asker)).upstream.incarnation
        clock.now_s += 5.0
        report_all(other, home)
        placed: Counter[str] = Counter()
        for _ in range(REQUESTS):
            placed[asyncio.run(place_session(clock, asker)).upstream.incarnation] += 1
        assert placed == {home: REQUESTS}
        # The other instance sends its loads to the follower, which sends them to the asker.
        ask(other, follower, clock)
        ask(asker, follower, clock)
        for _ in range(REQUESTS):
            assert asyncio.run(place_session(clock, asker)).upstream.incarnation != home

    def test_log_line_of_a_placement_has_the_age_of_the_load(self, monkeypatch):
        """Guards against a load of 0 in the logs that may mean idle or unknown."""
        clock = Clock()
        placer = build_placement(clock, ENGINES_PER_DOMAIN)
        ages_ms = []
        monkeypatch.setattr(
            placedlog, "log_event", lambda event, **fields: ages_ms.append(fields["load_age_ms"])
        )
        asyncio.run(place_session(clock, placer))
        report_all(placer, "")
        clock.now_s += 1.5
        asyncio.run(place_session(clock, placer))
        assert ages_ms == [None, 1500]

    def test_newer_own_load_is_kept(self):
        """Guards against a session that leaves its home because of an older load of a peer."""
        clock = Clock()
        asker, follower = (build_placement(clock, ENGINES_PER_DOMAIN) for _ in range(2))
        home = asyncio.run(place_session(clock, asker)).upstream.incarnation
        report_all(follower, home)
        clock.now_s += 0.3
        report_all(asker, "")
        ask(asker, follower, clock)
        assert asyncio.run(place_session(clock, asker)).upstream.incarnation == home


class TestLoadExchange:
    def test_newer_loads_win(self):
        """Guards against an older load that replaces a newer one."""
        taken: list[ReportedLoad] = []
        exchange = LoadExchange(lambda: 10.0, taken.append)
        exchange.record_own("e1", 4)
        exchange.merge([ReportedLoad("e1", 9, 9.9, False), ReportedLoad("e2", 2, 9.8, False)])
        assert [load.incarnation for load in taken] == ["e2"]
        assert [load.requests for load in exchange.list_recent(9.0)] == [4, 2]
        assert [load.requests for load in exchange.list_recent(9.0, own_only=True)] == [4]
        assert exchange.list_recent(10.0) == []

    def test_memory_is_bounded(self):
        """Guards against memory that grows with engines that come and go."""
        exchange = LoadExchange(lambda: 10.0, lambda load: None)
        for number in range(2 * MAX_KNOWN):
            exchange.record_own(f"e{number}", 1)
        assert len(exchange._newest) == MAX_KNOWN

    def test_columns_of_different_lengths_are_an_error(self):
        """Guards against loads that are assigned to the wrong engines."""
        clock = Clock()
        server = RelayServer(FleetView(clock.read_s), LoadExchange(clock.read_s, lambda load: None))
        broken = FetchTables(known={}, loads=HeardLoads(["e1", "e2"], [1], [0, 0]))
        with pytest.raises(PeerProtocolError):
            asyncio.run(server.answer(serialize(broken)))


class TestSlowness:
    """Tests that figures of slowness pass between instances with the loads."""

    LOADS = [ReportedLoad("e1", 3, 9.9, True, 2.5), ReportedLoad("e2", 4, 9.8, True)]

    def decode(self, change=None):
        message = deserialize(ttypes.FetchTables(), encode_fetch_request({}, 1.0, self.LOADS, 10.0))
        if change is not None:
            change(message.loads)
        answer = ttypes.FetchedTables(tables=[], loads=message.loads)
        loads = decode_peer_answer("p", serialize(answer), 10.0).loads
        return [(load.incarnation, load.requests, load.slowness) for load in loads]

    def test_figures_pass_with_the_loads(self):
        assert self.decode() == [("e1", 3, 2.5), ("e2", 4, None)]

    @pytest.mark.parametrize("column", [None, [], [250], [250, 100, 100], [-1, 0]])
    def test_useless_column_leaves_the_loads(self, column):
        """Guards against loads of an older or faulty peer that are dropped with its figures."""
        found = self.decode(lambda loads: setattr(loads, "slowness_percent", column))
        assert found == [("e1", 3, None), ("e2", 4, None)]

    def test_message_without_figures_is_as_before(self):
        """Guards against bytes spent where engines report no figures."""
        loads = [ReportedLoad("e1", 3, 9.9, True)]
        message = deserialize(ttypes.FetchTables(), encode_fetch_request({}, 1.0, loads, 10.0))
        assert message.loads.slowness_percent is None

    def test_slow_home_is_left_until_its_figure_is_old(self, monkeypatch):
        """Guards against a figure that counts for longer than a spell lasts."""
        clock = Clock()
        asker, follower = (build_placement(clock, ENGINES_PER_DOMAIN) for _ in range(2))

        def place() -> Upstream:
            call = build_call(clock, SESSION)
            parts = (PromptPart("session", 700), PromptPart("own", 100))
            call = replace(call, head=replace(call.head, parts=parts))
            assignment = asyncio.run(asker.assign(call, SERVICE, set(), False))
            assert isinstance(assignment, Assignment)
            asker.release(SERVICE, assignment.upstream)
            return assignment.upstream

        home = place()
        report_all(asker, "")
        lines = []
        monkeypatch.setattr(placedlog, "log_event", lambda event, **fields: lines.append(fields))
        clock.now_s += 0.1
        report = LoadReport(MEAN_LOAD, 0, 64, 4.0)
        head = AnswerHead("r", True, False, report, None, None, False, False)
        follower.record_answer_head(home, head)
        ask(asker, follower, clock)
        assert asker.count_slow() == 1
        assert place() != home
        assert asker.slow_left == 1
        assert "slowness" not in lines[-1]
        clock.now_s += 2.0
        assert place() == home
        assert (lines[-1]["slowness"], lines[-1]["slowness_age_ms"]) == (1.0, 2000)
