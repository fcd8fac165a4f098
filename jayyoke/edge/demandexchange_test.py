"""Tests of telling the demand between instances."""

from __future__ import annotations

import asyncio
import random

import pytest
from thrift.TSerialization import deserialize, serialize

from jayyoke.admission.demand import Demand
from jayyoke.admission.exchange import MAX_AGE_S, MAX_TEAMS, DemandExchange, DemandReport
from jayyoke.admission.gate import Gate, Room
from jayyoke.admission.levels import Level
from jayyoke.edge.demandexchange import decode_demands, encode_demands
from jayyoke.edge.loadexchange import LoadExchange
from jayyoke.edge.relay import MAX_REQUEST_BYTES, RelayServer
from jayyoke.edge.relaymessage import decode_peer_answer, encode_fetch_request
from jayyoke.edge.view import FleetView
from jayyoke.wire.gen import ttypes

SERVICE = "engines"
LEVELS = (Level(False, 0), Level(False, 2), Level(True, 2))


def build_demand(rate: float) -> Demand:
    return Demand(
        dict.fromkeys(LEVELS, rate), rate, 4.0, {LEVELS[0]: (rate, 2 * rate)}, {"t": (rate, 1.0)}
    )


class Instance:
    """Holds an instance's exchange over a clock that the test advances."""

    def __init__(self, name: str, domain: str):
        self.now_s = 100.0
        self.gate = Gate(90.0, random.Random(1))
        self.gate.scarce = True
        self.gate.counter.advance(100.0, room=False)
        for _ in range(10):
            self.gate.counter.record_arrival(LEVELS[0], "t", room=False)
        self.exchange = DemandExchange(name, domain, {SERVICE: self.gate}, lambda: self.now_s)

    def sum_arrived(self) -> float:
        demand, _ = self.exchange.find_fleet(SERVICE)
        return 0.0 if demand is None else sum(demand.arrived.values())


class TestEncoding:
    def test_figures_survive_the_wire(self):
        report = DemandReport(SERVICE, "i1", "a", 99.5, build_demand(3.25))
        heard = encode_demands([report], 100.0)
        request = ttypes.FetchTables(known={}, demands=heard)
        decoded = deserialize(ttypes.FetchTables(), serialize(request))
        assert decode_demands(decoded.demands, 100.0) == [report]

    def test_request_stays_small(self):
        """Guards against requests that peers refuse for their size."""
        teams = {f"team-number-{n}": (1.0, 1.0) for n in range(MAX_TEAMS)}
        demand = Demand(dict.fromkeys(LEVELS, 1.0), 1.0, 1.0, {}, teams)
        report = DemandReport(SERVICE, "instance-1", "zone-a", 99.5, demand)
        assert (
            len(encode_fetch_request({}, 0.4, (), 100.0, demands=[report] * 4)) < MAX_REQUEST_BYTES
        )

    def test_odd_figures_are_bounded(self):
        """Guards against a peer whose figures end this process or take its memory."""
        odd = ttypes.HeardDemand(
            service_name="s", levels=[-1, 0], arrived=[5, -5], ended=[0, 0], seconds=[0, 0]
        )
        assert decode_demands([odd], 1.0)[0].demand.arrived == {Level(False, 0): 0.0}
        old = ttypes.HeardDemand(service_name="s", age_ms=int(MAX_AGE_S * 1000) + 1)
        assert decode_demands([old], 1.0) == []
        with pytest.raises(ValueError):
            decode_demands([ttypes.HeardDemand(levels=[1], arrived=[])], 1.0)

    def test_peers_of_the_previous_release_are_understood(self):
        """Guards against relays that fail while instances are replaced one by one."""
        view = FleetView(lambda: 10.0)
        loads = LoadExchange(lambda: 10.0, lambda load: None)
        exchange = Instance("i1", "a").exchange
        answer = asyncio.run(
            RelayServer(view, loads, demand_exchange=exchange).answer(
                serialize(ttypes.FetchTables(known={}))
            )
        )
        assert decode_peer_answer("peer", answer, 10.0).demands == []


class TestRelay:
    def test_request_tells_the_follower_and_its_answer_the_sums(self):
        """Guards against figures that are encoded but never travel with the relay's requests."""
        follower, asker = Instance("a1", "a"), Instance("a2", "a")
        loads = LoadExchange(lambda: 100.0, lambda load: None)
        server = RelayServer(FleetView(lambda: 100.0), loads, demand_exchange=follower.exchange)
        request = encode_fetch_request({}, 0.001, (), 100.0, demands=asker.exchange.list_own())
        answer = decode_peer_answer("a1", asyncio.run(server.answer(request)), 100.0)
        asker.exchange.merge(answer.demands)
        assert asker.sum_arrived() == pytest.approx(follower.sum_arrived(), rel=0.01)
        assert asker.sum_arrived() > sum(asker.gate.counter.read().arrived.values())


class TestSums:
    def test_follower_tells_the_sum_of_all_domains_and_nothing_counts_twice(self):
        """Guards against instances that cut differently since each knows only its own calls."""
        follower, twin, other = Instance("a1", "a"), Instance("a2", "a"), Instance("b1", "b")
        for _ in range(3):
            follower.exchange.merge(twin.exchange.list_own())
            follower.exchange.merge(other.exchange.list_sums())
            other.exchange.merge(follower.exchange.list_sums())
            twin.exchange.merge(follower.exchange.list_totals())
        single = sum(follower.gate.counter.read().arrived.values())
        for instance in (follower, twin, other):
            assert instance.sum_arrived() == pytest.approx(3 * single)

    def test_figures_of_a_lost_instance_lapse(self):
        """Guards against the demand of an instance that has ended."""
        follower, twin = Instance("a1", "a"), Instance("a2", "a")
        follower.exchange.merge(twin.exchange.list_own())
        assert follower.sum_arrived() > 0.0
        follower.now_s += MAX_AGE_S + 0.1
        assert follower.exchange.find_fleet(SERVICE) == (None, None)

    def test_nothing_is_told_while_there_is_room(self):
        calm = Instance("a1", "a")
        calm.gate.scarce = False
        assert calm.exchange.empty
        assert calm.exchange.list_own() == calm.exchange.list_sums() == []

    def test_requests_at_upstreams_without_reports_are_told(self):
        """Guards against upstreams that no instance knows to be full, for want of reports."""
        follower, twin = Instance("a1", "a"), Instance("a2", "a")
        for instance in (follower, twin):
            instance.gate.scarce = False
            for _ in range(6):
                instance.gate.record_placed(True)
            instance.gate.update(100.0, Room(12, 0.1, 1.0, 2))
        follower.exchange.merge(twin.exchange.list_own())
        fleet, _ = follower.exchange.find_fleet(SERVICE)
        assert fleet is not None
        follower.gate.update(100.2, Room(12, 0.1, 1.0, 2), fleet)
        assert follower.gate.scarce

    def test_surging_teams_found_by_a_follower_are_told(self):
        follower, twin = Instance("a1", "a"), Instance("a2", "a")
        follower.exchange.merge(twin.exchange.list_own())
        follower.gate._kept = {"t": 0.25}
        twin.exchange.merge(follower.exchange.list_totals())
        _, kept = twin.exchange.find_fleet(SERVICE)
        assert kept == {"t": pytest.approx(0.25)}
