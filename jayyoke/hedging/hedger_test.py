"""Tests which calls are hedged, and how many."""

from __future__ import annotations

import pytest

from jayyoke.core.entrysettings import HedgeSettings
from jayyoke.core.route import Route, RouteKind, ServiceShare
from jayyoke.hedging.hedger import NO_SHARE, SLOW_EVERYWHERE, Hedger

SETTINGS = HedgeSettings(share=0.02)


def build_route(kind: RouteKind = RouteKind.SAFE, **fields: object) -> Route:
    fields = {"attempts": 2} | fields
    shares = (ServiceShare("desk", 1.0),)
    return Route("r", "", "/", kind, shares, timeout_s=3.0, objective_s=0.4, **fields)


def train(hedger: Hedger, route: Route, samples: int = 100) -> Hedger:
    for _ in range(samples):
        hedger.add_request(route, 0.0)
        hedger.record_answer(route, "desk", 0.05, late=False, now_s=0.0)
    return hedger


class TestEligibility:
    @pytest.mark.parametrize(
        ("route", "events", "expected"),
        [
            (build_route(), 0, True),
            (build_route(attempts=1), 0, False),
            (build_route(RouteKind.UNSAFE), 0, False),
            (build_route(RouteKind.STREAM), 0, False),
            (build_route(RouteKind.STREAM, resumable=True), 0, True),
            (build_route(RouteKind.STREAM, resumable=True), 1, False),
        ],
    )
    def test_only_repeatable_calls_without_an_answer(self, route, events, expected):
        """Guards against a second run of unsafe requests and hedges of streams that run."""
        delay_s = train(Hedger(SETTINGS), route).find_delay_s(route, events)
        assert (delay_s is not None) is expected

    def test_no_delay_without_samples_or_share(self):
        """Guards against hedges at an arbitrary delay, and hedges that nobody asked for."""
        route = build_route()
        assert train(Hedger(SETTINGS), route, 99).find_delay_s(route, 0) is None
        assert train(Hedger(HedgeSettings()), route).find_delay_s(route, 0) is None

    def test_delay_follows_recent_times(self):
        """Guards against a delay that keeps the times of an earlier load for good."""
        route = build_route()
        hedger = train(Hedger(SETTINGS), route, 5000)
        for _ in range(2000):
            hedger.record_answer(route, "desk", 0.5, late=False, now_s=1.0)
        for _ in range(2000):
            hedger.record_answer(route, "desk", 0.02, late=False, now_s=2.0)
        assert hedger.find_delay_s(route, 0) == pytest.approx(0.02, rel=0.02)


class TestBudget:
    def test_hedges_stay_below_the_share(self):
        """Guards against more extra work than the operator allows, also after some seconds."""
        route = build_route()
        hedger = train(Hedger(SETTINGS), route)
        assert [hedger.spend(route, "desk", 0.0) for _ in range(3)] == [None, None, NO_SHARE]
        hedger.give_back(route, 0.0)
        assert hedger.spend(route, "desk", 30.0) is None
        assert hedger.spend(route, "desk", 70.0) == NO_SHARE

    def test_no_hedge_while_a_tenth_is_late(self):
        """Guards against hedges that load a service which is slow as a whole."""
        route = build_route()
        hedger = train(Hedger(HedgeSettings(share=1.0)), route)
        for _ in range(11):
            hedger.record_late("desk", 0.0)
        assert hedger.spend(route, "desk", 0.0) is None
        for _ in range(2):
            hedger.record_late("desk", 0.0)
        assert hedger.spend(route, "desk", 0.0) == SLOW_EVERYWHERE
        hedger.record_answer(route, "desk", 0.05, late=False, now_s=10.0)
        assert hedger.spend(route, "desk", 10.0) is None
