"""Tests of the orders of upstreams."""

from __future__ import annotations

import math

import pytest

from jayyoke.core.route import ScaleLimits
from jayyoke.duties.scaling import (
    DOWN_AFTER_S,
    DomainLoad,
    ScalePlanner,
    Subject,
    decode_orders,
    encode_orders,
)

SUBJECT = Subject("engines", "d1")
LIMITS = ScaleLimits(13, 30, 8.0)
SLOTS = 16


class Domain:
    """Runs a planner against upstreams that serve some time after their order."""

    def __init__(self, live: int = 20, ordered: int | None = None):
        self.planner = ScalePlanner()
        self.planner.begin({} if ordered is None else {SUBJECT: ordered})
        self.live = live
        # Whether no new upstream starts.
        self.failed = False
        self.now_s = 0.0
        self.orders: list[tuple[float, int]] = []
        self._starting: list[tuple[float, int]] = []

    def step(self, requests: float, fresh_part: float = 1.0, disturbed: bool = False) -> None:
        """Go on by a second with a load."""
        self.now_s += 1.0
        while self._starting and self._starting[0][0] <= self.now_s:
            self.live = self._starting.pop(0)[1]
        load = DomainLoad(self.live, self.live * SLOTS, requests, fresh_part, disturbed)
        self.planner.observe(SUBJECT, load, LIMITS, self.now_s)
        number = self.planner.find_order(SUBJECT, LIMITS, self.now_s)
        if number is None:
            return
        self.planner.record_sent(SUBJECT, number, self.now_s, True)
        self.orders.append((self.now_s, number))
        if not self.failed:
            self._starting.append((self.now_s + LIMITS.startup_s, number))

    def run(self, duration_s: int, requests: float, **options) -> None:
        """Go on with a steady load."""
        for _ in range(duration_s):
            self.step(requests, **options)


class TestOrders:
    def test_steady_load_gets_one_order(self):
        """Guards against orders that repeat or swing while the load does not move."""
        domain = Domain(live=14)
        domain.run(200, 0.6 * 20 * SLOTS)
        assert [number for _, number in domain.orders] == [20]

    def test_fitting_number_is_left(self):
        """Guards against an order where what is there at the start suffices."""
        domain = Domain(live=20)
        domain.run(200, 0.6 * 20 * SLOTS)
        assert domain.orders == []

    def test_wave_leaves_free_slots_while_new_upstreams_start(self):
        """Guards against a wave of +27% in 11 s that fills the slots before new ones serve."""
        domain = Domain(live=20)
        base = 0.6 * 20 * SLOTS
        fullest = 0.0
        for second in range(120):
            wave = 0.27 * min(1.0, max(0.0, (second - 30) / 11))
            domain.step(base * (1 + wave))
            fullest = max(fullest, base * (1 + wave) / (domain.live * SLOTS))
        assert fullest < 0.8
        assert domain.orders[0][0] < 40
        assert domain.live >= math.ceil(20 * 1.27)

    def test_number_falls_late(self):
        """Guards against upstreams that are ordered away between two waves."""
        domain = Domain(live=28)
        domain.run(int(DOWN_AFTER_S * 0.8), 0.6 * 16 * SLOTS)
        assert domain.orders == []
        domain.run(40, 0.6 * 16 * SLOTS)
        assert [number for _, number in domain.orders] == [16]

    @pytest.mark.parametrize(("part", "expected"), [(0.1, 13), (3.0, 30)])
    def test_limits_hold(self, part, expected):
        """Guards against orders outside the limits."""
        domain = Domain(live=20)
        domain.run(200, part * 20 * SLOTS)
        assert domain.orders[-1][1] == expected
        assert all(13 <= number <= 30 for _, number in domain.orders)

    def test_full_upstreams_get_more_than_their_load_shows(self):
        """Guards against orders that creep behind a demand that the slots hide."""
        domain = Domain(live=14)
        domain.run(10, 14.0 * SLOTS)
        assert domain.orders[0][1] == LIMITS.max_upstreams


class TestCaution:
    def test_old_loads_order_nothing(self):
        """Guards against orders by a holder that no longer hears of a domain."""
        domain = Domain(live=20)
        domain.run(100, 5.0, fresh_part=0.5)
        domain.run(100, 2000.0, fresh_part=0.5)
        assert domain.orders == []

    def test_evacuation_orders_nothing_down(self):
        """Guards against a domain that has lost its upstreams when its evacuation ends."""
        domain = Domain(live=20)
        domain.run(60, 0.6 * 20 * SLOTS)
        domain.run(100, 0.0, disturbed=True)
        domain.run(int(DOWN_AFTER_S * 0.8), 1.0)
        assert domain.orders == []

    def test_failed_upstreams_are_no_reason_to_order_fewer(self):
        """Guards against a failed domain that is ordered to what is left of it."""
        domain = Domain(live=20, ordered=20)
        domain.live = 9
        domain.failed = True
        domain.run(200, 0.6 * 9 * SLOTS)
        assert [number for _, number in domain.orders if number < 20] == []

    def test_load_of_a_failed_domain_orders_others_up(self):
        """Guards against a disturbance that stops orders up as well."""
        domain = Domain(live=20)
        domain.run(30, 0.6 * 20 * SLOTS)
        domain.run(10, 0.85 * 20 * SLOTS, disturbed=True)
        assert domain.orders[-1][1] > 25

    def test_new_holder_goes_on_from_the_stored_number(self):
        """Guards against a holder that takes starting upstreams for missing ones."""
        domain = Domain(live=16, ordered=20)
        domain.run(20, 0.6 * 20 * SLOTS)
        assert domain.orders == []

    def test_lost_order_is_repeated(self):
        """Guards against upstreams that never come since the order's answer was lost."""
        planner = ScalePlanner()
        planner.begin({SUBJECT: 20})
        for second in range(10):
            load = DomainLoad(20, 20 * SLOTS, 0.6 * 25 * SLOTS, 1.0)
            planner.observe(SUBJECT, load, LIMITS, float(second))
        number = planner.find_order(SUBJECT, LIMITS, 9.0)
        assert number is not None and number > 20
        planner.record_sent(SUBJECT, number, 9.0, accepted=False)
        assert planner.find_order(SUBJECT, LIMITS, 9.5) == number


class TestRow:
    def test_orders_survive_encoding(self):
        """Guards against a new holder that misreads the numbers."""
        ordered = {SUBJECT: 14, Subject("engines", "d2"): 3}
        assert decode_orders(encode_orders(ordered)) == ordered

    @pytest.mark.parametrize("value", [b"", b"7", b"[1]", b'[["a","b","c"]]', b'[["a","b"]]'])
    def test_malformed_row_is_reported(self, value):
        """Guards against a process that ends on a malformed row."""
        with pytest.raises(ValueError):
            decode_orders(value)
